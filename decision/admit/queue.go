package admit

import (
	"container/heap"
	"time"
)

// Queue holds the waiting work before one set of backend servers. The zero
// value is not usable; it is not safe for concurrent use.
type Queue struct {
	class   [classes]classQueue
	running [classes]int
	last    [classes]time.Time // last arrival
	credit  float64            // tokens that the floor owes to long work
	drain   drain
	spare   int
	scratch []*Item
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	q := &Queue{}
	for c := range q.class {
		q.class[c].flows = map[string]*flow{}
	}
	return q
}

// classQueue shares one class between accounts by start-time fair queueing.
type classQueue struct {
	flows   map[string]*flow
	active  flowHeap
	virtual float64 // start tag of the last started item
	weights float64 // of active flows
	cost    float64 // waiting tokens
	waiting int
}

// flow is the waiting work of one account in one class.
type flow struct {
	account    string
	weight     float64
	tag        float64 // virtual start of the next item
	head, tail *Item
	cost       float64
	index      int // in the heap of active flows, -1 when idle
}

type flowHeap []*flow

func (h flowHeap) Len() int           { return len(h) }
func (h flowHeap) Less(i, j int) bool { return h[i].tag < h[j].tag }
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	f.index = -1
	*h = old[:len(old)-1]
	return f
}

// maxIdleFlows bounds the accounts remembered without waiting work; above it
// those whose debt has passed are forgotten.
const maxIdleFlows = 4096

func (c *classQueue) flowOf(it *Item) *flow {
	f, ok := c.flows[it.Account]
	if !ok {
		if len(c.flows) >= maxIdleFlows {
			c.forget()
		}
		f = &flow{account: it.Account, index: -1}
		c.flows[it.Account] = f
	}
	weight := it.Weight
	if weight <= 0 {
		weight = 1
	}
	if f.index >= 0 {
		c.weights += weight - f.weight
	}
	f.weight = weight
	return f
}

// forget drops idle accounts that owe nothing.
func (c *classQueue) forget() {
	for name, f := range c.flows {
		if f.index < 0 && f.tag <= c.virtual {
			delete(c.flows, name)
		}
	}
}

// charge counts a start of it against its account.
func (c *classQueue) charge(f *flow, cost float64) {
	f.tag = max(f.tag, c.virtual)
	c.virtual = f.tag
	f.tag += cost / f.weight
}

func (q *Queue) push(it *Item) {
	c := &q.class[it.Class]
	f := c.flowOf(it)
	it.flow = f
	if f.head == nil {
		f.head, f.tail = it, it
	} else {
		it.prev, f.tail.next, f.tail = f.tail, it, it
	}
	f.cost += it.Cost
	c.cost += it.Cost
	c.waiting++
	if f.index < 0 {
		f.tag = max(f.tag, c.virtual)
		c.weights += f.weight
		heap.Push(&c.active, f)
	}
}

// Enqueue lets an item wait although nothing can run it yet: capacity is about to
// appear, or the only free slots are on servers it excludes.
func (q *Queue) Enqueue(it *Item) { q.push(it) }

// Remove takes a waiting item out, for instance because its caller left.
func (q *Queue) Remove(it *Item) {
	f := it.flow
	if f == nil {
		return
	}
	c := &q.class[it.Class]
	if it.prev != nil {
		it.prev.next = it.next
	} else {
		f.head = it.next
	}
	if it.next != nil {
		it.next.prev = it.prev
	} else {
		f.tail = it.prev
	}
	it.prev, it.next, it.flow = nil, nil, nil
	f.cost -= it.Cost
	c.cost -= it.Cost
	c.waiting--
	if f.head == nil {
		f.cost = 0
		c.weights -= f.weight
		heap.Remove(&c.active, f.index)
	}
	if c.waiting == 0 {
		c.cost, c.weights = 0, 0
	}
}

// RecordStart records that it runs now. An item that was offered with Action
// Start and one returned by Next are both reported here.
func (q *Queue) RecordStart(it *Item) {
	c := &q.class[it.Class]
	f := c.flowOf(it)
	c.charge(f, it.Cost)
	if f.index >= 0 {
		heap.Fix(&c.active, f.index)
	}
	q.running[it.Class]++
	switch it.Class {
	case Long:
		q.credit = max(0, q.credit-it.Cost)
	case Urgent, Normal:
		if q.class[Long].waiting > 0 {
			q.credit += longFloor * it.Cost
		}
	}
}

// RecordFinish records the end of work that ran for held and cost that many tokens.
func (q *Queue) RecordFinish(class Class, cost float64, held time.Duration) {
	q.running[class]--
	q.drain.finished(class, cost, held)
}

// Next offers waiting items in order to try until one is taken, and returns it,
// or nil. try picks a backend server; it returns false where none has room for
// this item, which lets the next class have its turn.
func (q *Queue) Next(now time.Time, slots int, try func(*Item) bool) *Item {
	for _, class := range q.order() {
		c := &q.class[class]
		if len(c.active) == 0 || !q.allowed(now, class, slots) {
			continue
		}
		it := c.active[0].head
		if !it.Deadline.After(now) && class != Resumed {
			continue
		}
		if !try(it) {
			continue
		}
		q.Remove(it)
		q.RecordStart(it)
		return it
	}
	return nil
}

// order is the order of classes: long work comes before normal work when the
// floor owes it at least its next item.
func (q *Queue) order() [classes]Class {
	if l := &q.class[Long]; len(l.active) > 0 && q.credit >= l.active[0].head.Cost {
		return [classes]Class{Resumed, Urgent, Long, Normal}
	}
	return [classes]Class{Resumed, Urgent, Normal, Long}
}

// Shed takes out the items that have expired or can no longer start in time,
// so that their callers hear of it at once. The slice is valid until the next call.
func (q *Queue) Shed(now time.Time, slots int) []*Item {
	q.scratch = q.scratch[:0]
	for class := Urgent; class < classes; class++ {
		for _, f := range q.class[class].active {
			ahead := 0.0
			for it := f.head; it != nil; it = it.next {
				if q.hopeless(now, it, ahead, slots) {
					q.scratch = append(q.scratch, it)
					continue
				}
				ahead += it.Cost
			}
		}
	}
	for _, it := range q.scratch {
		q.Remove(it)
	}
	return q.scratch
}

func (q *Queue) hopeless(now time.Time, it *Item, ahead float64, slots int) bool {
	patience := it.Deadline.Sub(now)
	if patience <= 0 {
		return true
	}
	return float64(q.predict(now, it, ahead, slots)) > shedSlack*float64(patience)
}

// RefusalFor is the decision for an item that Shed returned.
func (q *Queue) RefusalFor(now time.Time, it *Item, slots int) Decision {
	why := ReasonDeadlineUnreachable
	if !it.Deadline.After(now) {
		why = ReasonExpired
	}
	return q.refuse(now, it, slots, q.predict(now, it, q.aheadOf(it), slots), why)
}

// Waiting returns the number of waiting items and their tokens.
func (q *Queue) Waiting() (items int, tokens float64) {
	for c := range q.class {
		items += q.class[c].waiting
		tokens += q.class[c].cost
	}
	return items, tokens
}

// Running returns the number of started items that have not finished.
func (q *Queue) Running() int {
	n := 0
	for _, r := range q.running {
		n += r
	}
	return n
}

func (q *Queue) waitingUpTo(class Class) int {
	n := 0
	for c := Resumed; c <= class; c++ {
		n += q.class[c].waiting
	}
	return n
}

// IsEmpty reports whether nothing waits.
func (q *Queue) IsEmpty() bool { return q.waitingUpTo(Long) == 0 }
