// Package load plays patterns of load against the decisions that the daemon
// runs, in virtual time: flow.Core with admission, limits, routing, health and
// budget on simulated engines, beside baselines that get the same requests.
package load

import (
	"container/heap"
	"time"
)

// clock runs events in the order of virtual time; ties in order of scheduling.
type clock struct {
	now    time.Time
	events eventHeap
	seq    uint64
}

// timer is one scheduled event. A stopped one is skipped when its time comes.
type timer struct {
	at      time.Time
	seq     uint64
	run     func()
	stopped bool
}

func newClock() *clock { return &clock{now: time.Unix(0, 0).UTC()} }

func (c *clock) after(d time.Duration, run func()) *timer {
	c.seq++
	t := &timer{at: c.now.Add(max(d, 0)), seq: c.seq, run: run}
	heap.Push(&c.events, t)
	return t
}

func (t *timer) stop() {
	if t != nil {
		t.stopped = true
	}
}

// every runs f each d until the run ends.
func (c *clock) every(d time.Duration, f func()) {
	var step func()
	step = func() {
		f()
		c.after(d, step)
	}
	c.after(d, step)
}

func (c *clock) runUntil(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		t := heap.Pop(&c.events).(*timer)
		c.now = t.at
		if !t.stopped {
			t.run()
		}
	}
	c.now = end
}

type eventHeap []*timer

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(*timer)) }
func (h *eventHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	*h = old[:len(old)-1]
	return t
}
