package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1000, 0)

func item(account string, class Class, cost float64, patience time.Duration) *Item {
	return &Item{Account: account, Weight: 1, Class: class, Cost: cost, Deadline: epoch.Add(patience)}
}

// taught returns a queue that has seen work of every class hold a slot for
// held and cost that many tokens.
func taught(held time.Duration, cost float64) *Queue {
	q := NewQueue()
	for _, c := range []Class{Resumed, Urgent, Normal, Long} {
		it := item("t", c, cost, time.Hour)
		q.RecordStart(it)
		q.RecordFinish(c, cost, held)
	}
	return q
}

// fill starts work until slots are taken.
func fill(q *Queue, class Class, n int) {
	for range n {
		q.RecordStart(item("fill", class, 100, time.Hour))
	}
}

func always(*Item) bool { return true }

func TestWhatCannotStartInTimeIsRefusedOnArrival(t *testing.T) {
	q := taught(10*time.Second, 100)
	fill(q, Normal, 2)
	must.Eq(t, Wait, q.Offer(epoch, item("a", Normal, 100, 40*time.Second), 2).Action)
	must.Eq(t, Wait, q.Offer(epoch, item("a", Normal, 100, 40*time.Second), 2).Action)
	d := q.Offer(epoch, item("a", Normal, 100, 30*time.Second), 2)
	test.Eq(t, Refuse, d.Action)
	test.Eq(t, ReasonCannotStartInTime, d.Reason)
	test.Eq(t, 10*time.Second, d.PredictedWait)
	test.Between(t, 10*time.Second, d.RetryAfter, 20*time.Second)
}

// A driver's lookup waits behind contracts although it needs an answer at once.
// Long work has filled every slot it may have when the lookup arrives.
// The reserve must let the lookup start at once, and long work must not take it.
func TestReserveKeepsSlotsForUrgentWork(t *testing.T) {
	q := taught(time.Second, 100)
	now := epoch
	for range 200 { // ten lookups a second keep about ten slots busy
		now = now.Add(100 * time.Millisecond)
		q.Offer(now, item("shop", Urgent, 100, time.Hour), 100)
	}
	started := 0
	for q.Offer(now, item("mill", Long, 100, time.Hour), 100).Action == Start {
		q.RecordStart(item("mill", Long, 100, time.Hour))
		started++
	}
	test.Between(t, 70, started, 90)
	test.Eq(t, Start, q.Offer(now, item("shop", Urgent, 100, time.Hour), 100).Action)
}

// One account sends a hundred long requests, another one a minute later.
// In order of arrival the second waits for all hundred.
// With fair sharing it starts with the next free slot.
func TestHeavyAccountWaitsBehindItself(t *testing.T) {
	q := taught(time.Second, 100)
	fill(q, Normal, 1)
	for range 100 {
		must.Eq(t, Wait, q.Offer(epoch, item("heavy", Normal, 100, time.Hour), 1).Action)
	}
	light := item("light", Normal, 100, time.Hour)
	must.Eq(t, Wait, q.Offer(epoch, light, 1).Action)
	for k := 0; ; k++ {
		must.Less(t, 3, k)
		q.RecordFinish(Normal, 100, time.Second)
		if q.Next(epoch, 1, always) == light {
			break
		}
	}
}

// Reviews wait for ever while normal requests keep every slot busy.
// Normal work always waits too and comes first.
// The floor must start long work for its share of the tokens.
func TestFloorKeepsLongWorkMoving(t *testing.T) {
	q := taught(time.Second, 100)
	fill(q, Normal, 1)
	long, normal := 0, 0
	for range 400 {
		q.Enqueue(item("a", Normal, 100, time.Hour))
		q.Enqueue(item("b", Long, 100, time.Hour))
	}
	class := Normal
	for range 400 {
		q.RecordFinish(class, 100, time.Second)
		it := q.Next(epoch, 1, always)
		must.NotNil(t, it)
		class = it.Class
		if class == Long {
			long++
		} else {
			normal++
		}
	}
	test.Between(t, 0.1, float64(long)/float64(long+normal), 0.2)
}

// A zone is lost while requests wait; half of them can no longer start in time.
// They must be given back for their answer at once, not at their deadline.
func TestLossOfCapacityShedsWhatBecameHopeless(t *testing.T) {
	q := taught(10*time.Second, 100)
	fill(q, Normal, 20)
	for range 20 {
		must.Eq(t, Wait, q.Offer(epoch, item("a", Normal, 100, 34*time.Second), 20).Action)
	}
	must.SliceEmpty(t, q.Shed(epoch, 20))
	shed := q.Shed(epoch, 3)
	test.Between(t, 5, len(shed), 9)
	for _, it := range shed {
		test.False(t, it.IsWaiting())
		test.Eq(t, ReasonDeadlineUnreachable, q.RefusalFor(epoch, it, 3).Reason)
	}
}

func TestUrgentIsRefusedRatherThanHeld(t *testing.T) {
	q := taught(time.Second, 100)
	fill(q, Urgent, 2)
	must.Eq(t, Wait, q.Offer(epoch, item("a", Urgent, 100, 20*time.Second), 2).Action)
	must.Eq(t, Wait, q.Offer(epoch, item("a", Urgent, 100, 20*time.Second), 2).Action)
	must.Eq(t, Wait, q.Offer(epoch, item("a", Urgent, 100, 20*time.Second), 2).Action)
	d := q.Offer(epoch, item("a", Urgent, 100, 20*time.Second), 2)
	test.Eq(t, Refuse, d.Action)
	test.Eq(t, ReasonUrgentWouldWait, d.Reason)
}

// Whatever is offered, started and finished: nothing starts beyond the slots
// but continuations, those by a bounded number, every waiting item is given
// back exactly once, and counts return to zero.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := taught(time.Second, 100)
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		now := epoch
		waiting := map[*Item]bool{}
		var running []*Item
		begin := func(it *Item) {
			running = append(running, it)
			most := slots
			if it.Class == Resumed {
				most += slots/resumedOvershoot + 1
			}
			if len(running) > most {
				t.Fatalf("%s started as number %d of %d", it.Class, len(running), slots)
			}
		}
		settle := func() {
			for it := q.Next(now, slots, always); it != nil; it = q.Next(now, slots, always) {
				if !waiting[it] {
					t.Fatal("an item came out that did not wait")
				}
				delete(waiting, it)
				begin(it)
			}
			for _, it := range q.Shed(now, slots) {
				delete(waiting, it)
			}
			if n, _ := q.Waiting(); n != len(waiting) || q.Running() != len(running) {
				t.Fatalf("%d waiting, %d running, want %d and %d", n, q.Running(), len(waiting), len(running))
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "arrive") || len(running) == 0 {
				it := item(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"),
					Class(rapid.IntRange(0, int(Long)).Draw(t, "class")), float64(rapid.IntRange(1, 500).Draw(t, "cost")), 0)
				it.Deadline = now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(t, "patience")) * time.Millisecond)
				switch q.Offer(now, it, slots).Action {
				case Start:
					q.RecordStart(it)
					begin(it)
				case Wait:
					waiting[it] = true
				}
			} else {
				it := running[0]
				running = running[1:]
				q.RecordFinish(it.Class, it.Cost, time.Second)
			}
			settle()
		}
	})
}

// BenchmarkOffer measures one request through a busy queue: offered, waiting,
// started, finished.
func BenchmarkOffer(b *testing.B) {
	for _, accounts := range []int{10, 810} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			q := taught(time.Millisecond, 100)
			items := make([]*Item, 4*accounts)
			fill(q, Normal, 1)
			for i := range items {
				items[i] = item(fmt.Sprint("account-", i%accounts), Normal, 100, time.Hour)
				q.Offer(epoch, items[i], 1)
			}
			b.ReportAllocs()
			for b.Loop() {
				q.RecordFinish(Normal, 100, time.Millisecond)
				it := q.Next(epoch, 1, always)
				q.Offer(epoch, it, 1)
			}
		})
	}
}
