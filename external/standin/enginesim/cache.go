package enginesim

import (
	"container/list"
	"math/rand/v2"
	"time"

	"mallowwind.dev/external/engine"
)

// maxRetainedEvents is how many cache events remain when older ones are discarded, which
// happens when there are more than twice as many.
const maxRetainedEvents = 4096

type timedEvent struct {
	engine.CacheEvent
	visibleAt time.Time
}

// promptCache is an LRU cache of prompt blocks, identified by their hashes, together with the
// cache events that its changes caused. It is guarded by the engine's mutex.
type promptCache struct {
	maxBlocks int
	lru       *list.List // of uint64, most recently used first
	blocks    map[uint64]*list.Element
	events    []timedEvent
	seq       uint64
	delay     time.Duration
	lossRatio float64
	random    *rand.Rand
}

func newCache(c Config, random *rand.Rand) *promptCache {
	return &promptCache{
		maxBlocks: c.CacheBlocks, lru: list.New(), blocks: make(map[uint64]*list.Element),
		delay: c.EventDelay, lossRatio: c.EventLossRatio, random: random,
	}
}

// matchPrefix returns how many leading blocks are cached and marks them as recently used.
func (c *promptCache) matchPrefix(hashes []uint64) int {
	for i, h := range hashes {
		e, ok := c.blocks[h]
		if !ok {
			return i
		}
		c.lru.MoveToFront(e)
	}
	return len(hashes)
}

func (c *promptCache) add(hashes []uint64, now time.Time) {
	for _, h := range hashes {
		if e, ok := c.blocks[h]; ok {
			c.lru.MoveToFront(e)
			continue
		}
		c.blocks[h] = c.lru.PushFront(h)
		c.emit(h, true, now)
	}
	for c.lru.Len() > c.maxBlocks {
		h := c.lru.Remove(c.lru.Back()).(uint64)
		delete(c.blocks, h)
		c.emit(h, false, now)
	}
}

func (c *promptCache) emit(h uint64, held bool, now time.Time) {
	c.seq++
	if c.lossRatio > 0 && c.random.Float64() < c.lossRatio {
		return
	}
	e := engine.CacheEvent{Seq: c.seq, Prefix: h, Held: held}
	c.events = append(c.events, timedEvent{e, now.Add(c.delay)})
	if len(c.events) > 2*maxRetainedEvents {
		c.events = append([]timedEvent(nil), c.events[len(c.events)-maxRetainedEvents:]...)
	}
}

// eventsAfter returns the events with a sequence number above seq whose delay has passed.
func (c *promptCache) eventsAfter(seq uint64, now time.Time) []engine.CacheEvent {
	var due []engine.CacheEvent
	for _, e := range c.events {
		if e.Seq > seq && !e.visibleAt.After(now) {
			due = append(due, e.CacheEvent)
		}
	}
	return due
}

// reset drops all blocks and events, as a crash does. Sequence numbers start over.
func (c *promptCache) reset() {
	c.lru.Init()
	clear(c.blocks)
	c.events, c.seq = nil, 0
}
