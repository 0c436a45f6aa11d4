package enginesim

import (
	"container/list"
	"math/rand/v2"
	"time"

	"mallowwind.dev/external/engine"
)

// keptEvents is how many cache events an engine remembers.
const keptEvents = 4096

type timedEvent struct {
	engine.CacheEvent
	at time.Time
}

// cache keeps prompt blocks, least recently used first out, and the events
// that its changes gave. The engine's mutex guards it.
type cache struct {
	limit  int
	order  *list.List // of uint64, most recent first
	blocks map[uint64]*list.Element
	events []timedEvent
	seq    uint64
	delay  time.Duration
	loss   float64
	random *rand.Rand
}

func newCache(c Config, random *rand.Rand) *cache {
	return &cache{
		limit: c.CacheBlocks, order: list.New(), blocks: make(map[uint64]*list.Element),
		delay: c.EventDelay, loss: c.EventLossRatio, random: random,
	}
}

// held counts how many of the leading blocks are kept, and touches them.
func (c *cache) held(hashes []uint64) int {
	for i, h := range hashes {
		e, ok := c.blocks[h]
		if !ok {
			return i
		}
		c.order.MoveToFront(e)
	}
	return len(hashes)
}

func (c *cache) add(hashes []uint64, now time.Time) {
	for _, h := range hashes {
		if e, ok := c.blocks[h]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.blocks[h] = c.order.PushFront(h)
		c.emit(h, true, now)
	}
	for c.order.Len() > c.limit {
		h := c.order.Remove(c.order.Back()).(uint64)
		delete(c.blocks, h)
		c.emit(h, false, now)
	}
}

func (c *cache) emit(h uint64, held bool, now time.Time) {
	c.seq++
	if c.loss > 0 && c.random.Float64() < c.loss {
		return
	}
	e := engine.CacheEvent{Seq: c.seq, Prefix: h, Held: held}
	c.events = append(c.events, timedEvent{e, now.Add(c.delay)})
	if len(c.events) > 2*keptEvents {
		c.events = append([]timedEvent(nil), c.events[len(c.events)-keptEvents:]...)
	}
}

// after returns the events past seq that are due.
func (c *cache) after(seq uint64, now time.Time) []engine.CacheEvent {
	var due []engine.CacheEvent
	for _, e := range c.events {
		if e.Seq > seq && !e.at.After(now) {
			due = append(due, e.CacheEvent)
		}
	}
	return due
}

// clear forgets everything, as a restart does. Sequence numbers begin anew.
func (c *cache) clear() {
	c.order.Init()
	clear(c.blocks)
	c.events, c.seq = nil, 0
}
