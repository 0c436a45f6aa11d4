package admit

import (
	"container/heap"
	"time"
)

// Queue holds the work that waits for one set of backend servers. The zero value is not
// usable; a Queue is not safe for concurrent use.
type Queue struct {
	byClass          [classCount]classQueue
	running          [classCount]int
	lastArrival      [classCount]time.Time
	longCreditTokens float64 // tokens that long work may start before normal work
	stats            loadStats
	urgentOverflow   int // requests beyond the slots that urgent work may run
	scratch          []*Item
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	q := &Queue{}
	for c := range q.byClass {
		q.byClass[c].flows = map[string]*flow{}
	}
	return q
}

// classQueue shares one class between accounts by start-time fair queueing.
type classQueue struct {
	flows        map[string]*flow
	active       flowHeap
	virtualTime  float64 // start tag of the last started item
	activeWeight float64 // sum over active flows
	queuedCost   float64 // tokens
	waiting      int
}

// flow is the waiting work of one account in one class.
type flow struct {
	account    string
	weight     float64
	startTag   float64 // virtual start time of the next item
	head, tail *Item
	queuedCost float64 // tokens
	heapIndex  int     // in the heap of active flows, -1 when idle
}

type flowHeap []*flow

func (h flowHeap) Len() int           { return len(h) }
func (h flowHeap) Less(i, j int) bool { return h[i].startTag < h[j].startTag }
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.heapIndex = len(*h)
	*h = append(*h, f)
}

func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	f.heapIndex = -1
	*h = old[:len(old)-1]
	return f
}

// maxFlowCount is the number of flows in a class from which a new flow first evicts the idle
// flows whose start tag has passed.
const maxFlowCount = 4096

func (c *classQueue) flowOf(it *Item) *flow {
	f, ok := c.flows[it.Account]
	if !ok {
		if len(c.flows) >= maxFlowCount {
			c.evictIdle()
		}
		f = &flow{account: it.Account, heapIndex: -1}
		c.flows[it.Account] = f
	}
	weight := it.Weight
	if weight <= 0 {
		weight = 1
	}
	if f.heapIndex >= 0 {
		c.activeWeight += weight - f.weight
	}
	f.weight = weight
	return f
}

// evictIdle drops idle flows whose start tag is not ahead of the virtual time: they would
// start from the virtual time anyway.
func (c *classQueue) evictIdle() {
	for name, f := range c.flows {
		if f.heapIndex < 0 && f.startTag <= c.virtualTime {
			delete(c.flows, name)
		}
	}
}

// charge advances the flow's start tag by the cost of a started item.
func (c *classQueue) charge(f *flow, cost float64) {
	f.startTag = max(f.startTag, c.virtualTime)
	c.virtualTime = f.startTag
	f.startTag += cost / f.weight
}

func (q *Queue) push(it *Item) {
	c := &q.byClass[it.Class]
	f := c.flowOf(it)
	it.flow = f
	if f.head == nil {
		f.head, f.tail = it, it
	} else {
		it.prev, f.tail.next, f.tail = f.tail, it, it
	}
	f.queuedCost += it.Cost
	c.queuedCost += it.Cost
	c.waiting++
	if f.heapIndex < 0 {
		f.startTag = max(f.startTag, c.virtualTime)
		c.activeWeight += f.weight
		heap.Push(&c.active, f)
	}
}

// Enqueue queues an item unconditionally: capacity is about to appear, or the only free slots
// are on servers that the item excludes.
func (q *Queue) Enqueue(it *Item) { q.push(it) }

// Remove takes a waiting item out, for instance because its caller disconnected.
func (q *Queue) Remove(it *Item) {
	f := it.flow
	if f == nil {
		return
	}
	c := &q.byClass[it.Class]
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
	f.queuedCost -= it.Cost
	c.queuedCost -= it.Cost
	c.waiting--
	if f.head == nil {
		f.queuedCost = 0
		c.activeWeight -= f.weight
		heap.Remove(&c.active, f.heapIndex)
	}
	if c.waiting == 0 {
		c.queuedCost, c.activeWeight = 0, 0
	}
}

// RecordStart records that an item was started after Offer returned Start. Next calls it for
// the items that it returns.
func (q *Queue) RecordStart(it *Item) {
	c := &q.byClass[it.Class]
	f := c.flowOf(it)
	c.charge(f, it.Cost)
	if f.heapIndex >= 0 {
		heap.Fix(&c.active, f.heapIndex)
	}
	q.running[it.Class]++
	switch it.Class {
	case Long:
		q.longCreditTokens = max(0, q.longCreditTokens-it.Cost)
	case Urgent, Normal:
		if q.byClass[Long].waiting > 0 {
			q.longCreditTokens += minLongTokenRatio * it.Cost
		}
	}
}

// RecordFinish records the end of a request that cost that many tokens and held a slot for
// slotTime.
func (q *Queue) RecordFinish(class Class, cost float64, slotTime time.Duration) {
	q.running[class]--
	q.stats.recordFinish(class, cost, slotTime)
}

// Next calls try with the first waiting item of each class, in class order, until one is
// accepted, and returns that item, or nil. try picks a backend server; it returns false if no
// server has room for the item, and the next class is tried.
func (q *Queue) Next(now time.Time, slots int, try func(*Item) bool) *Item {
	for _, class := range q.classOrder() {
		c := &q.byClass[class]
		if len(c.active) == 0 || !q.canStart(now, class, slots) {
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

// classOrder returns the order in which classes are served: long work comes before normal work
// once its credit covers its next item.
func (q *Queue) classOrder() [classCount]Class {
	if l := &q.byClass[Long]; len(l.active) > 0 && q.longCreditTokens >= l.active[0].head.Cost {
		return [classCount]Class{Resumed, Urgent, Long, Normal}
	}
	return [classCount]Class{Resumed, Urgent, Normal, Long}
}

// Shed removes and returns the items that have expired or can no longer start in time, so that
// their callers are refused at once. The slice is valid until the next call.
func (q *Queue) Shed(now time.Time, slots int) []*Item {
	q.scratch = q.scratch[:0]
	for class := Urgent; class < classCount; class++ {
		for _, f := range q.byClass[class].active {
			ahead := 0.0
			for it := f.head; it != nil; it = it.next {
				if q.cannotMeetDeadline(now, it, ahead, slots) {
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

func (q *Queue) cannotMeetDeadline(now time.Time, it *Item, ahead float64, slots int) bool {
	timeLeft := it.Deadline.Sub(now)
	if timeLeft <= 0 {
		return true
	}
	return float64(q.predictWait(now, it, ahead, slots)) > shedToleranceRatio*float64(timeLeft)
}

// RefusalFor returns the decision for an item that Shed returned.
func (q *Queue) RefusalFor(now time.Time, it *Item, slots int) Decision {
	why := ReasonDeadlineUnreachable
	if !it.Deadline.After(now) {
		why = ReasonExpired
	}
	return q.refuse(now, it, slots, q.predictWait(now, it, q.accountQueuedCost(it), slots), why)
}

// Waiting returns the number of waiting items and their cost in tokens.
func (q *Queue) Waiting() (items int, tokens float64) {
	for c := range q.byClass {
		items += q.byClass[c].waiting
		tokens += q.byClass[c].queuedCost
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

// waitingUpTo returns the number of waiting items of class and of the more urgent classes.
func (q *Queue) waitingUpTo(class Class) int {
	n := 0
	for c := Resumed; c <= class; c++ {
		n += q.byClass[c].waiting
	}
	return n
}

// IsEmpty reports whether no item waits.
func (q *Queue) IsEmpty() bool { return q.waitingUpTo(Long) == 0 }
