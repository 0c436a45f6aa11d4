package promptqueue

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1000, 0)

func prompt(id, account string, rank int, slack time.Duration) *Prompt {
	return &Prompt{ID: id, Account: account, Rank: rank, LatestStart: epoch.Add(slack), Bytes: 1000}
}

func mustAdd(t *testing.T, q *Queue, list ...*Prompt) {
	t.Helper()
	for _, p := range list {
		refusal, evicted := q.Add(epoch, p)
		must.Eq(t, Waits, refusal)
		must.SliceEmpty(t, evicted)
	}
}

// startAll starts all prompts in order and returns their ids.
func startAll(now time.Time, q *Queue) (ids []string) {
	for q.Len() > 0 {
		p, _ := q.First(now)
		ids = append(ids, p.ID)
		q.Started(now, p)
	}
	return ids
}

// Guards against urgent prompts behind less urgent ones, and against a prompt that misses its latest
// start behind one of the same rank with more time.
func TestOrderIsByRankThenSlack(t *testing.T) {
	q := &Queue{}
	mustAdd(t, q, prompt("less-late", "a", 2, 9*time.Second), prompt("less-soon", "a", 2, time.Second),
		prompt("urgent-late", "a", 0, 3*time.Second), prompt("urgent-soon", "a", 0, 2*time.Second))
	must.Eq(t, []string{"urgent-soon", "urgent-late", "less-soon", "less-late"}, startAll(epoch, q))
	must.Eq(t, 0, len(q.classes))
}

// Guards against an account with many waiting prompts that delays those of other accounts: its
// prompts came earlier and have less slack.
func TestAccountsShareStarts(t *testing.T) {
	q := &Queue{}
	for i := range 20 {
		mustAdd(t, q, prompt(fmt.Sprintf("heavy-%02d", i), "heavy", 1, time.Duration(i+1)*10*time.Millisecond))
	}
	mustAdd(t, q, prompt("light-0", "light", 1, 2*time.Second), prompt("other-0", "other", 1, 3*time.Second))
	must.Eq(t, []string{"heavy-00", "light-0", "other-0", "heavy-01"}, startAll(epoch, q)[:4])
}

// Guards against less urgent prompts that starve while urgent ones use the whole capacity: one start
// in nine goes to a prompt about to miss its latest start. One with time left gets none of them.
func TestMinimumShareOfLessUrgentPrompts(t *testing.T) {
	q := &Queue{}
	for i := range 100 {
		mustAdd(t, q, prompt(fmt.Sprintf("urgent-%02d", i), "a", 0, 5*time.Second), prompt(fmt.Sprintf("patient-%02d", i), "a", 1, time.Minute))
	}
	less := 0
	for n := range 90 {
		mustAdd(t, q, prompt(fmt.Sprintf("less-%02d", n), "b", 2, 150*time.Millisecond))
		p, rank := q.First(epoch)
		must.Eq(t, 0, rank)
		must.NotEq(t, 1, p.Rank)
		if p.Rank == 2 {
			less++
		}
		q.Started(epoch, p)
	}
	must.Eq(t, 10, less)
}

// Guards against urgent prompts that do not look for room while a less urgent one, which finds none,
// may use the minimum share: each of its looks costs a part of the share.
func TestFailedLookCostsMinimumShare(t *testing.T) {
	q := &Queue{credit: 1}
	mustAdd(t, q, prompt("less", "b", 2, 400*time.Millisecond))
	for i := range 20 {
		mustAdd(t, q, prompt(fmt.Sprintf("urgent-%02d", i), "a", 0, 5*time.Second))
	}
	for i := range 20 {
		p, rank := q.First(epoch)
		must.Eq(t, "less", p.ID)
		must.Eq(t, 0, rank)
		must.True(t, q.Failed(epoch, p)) // the urgent prompt looks at once
		p, _ = q.First(epoch)
		must.Eq(t, fmt.Sprintf("urgent-%02d", i), p.ID)
		must.False(t, q.Failed(epoch, p))
		next, _ := q.First(epoch)
		must.Eq(t, p, next)
		q.Started(epoch, p)
	}
}

// Guards against prompts that wait behind one that finds no room, and against less urgent ones that
// overtake it although it would fit wherever they do.
func TestOtherPromptLooksAfterFailedOne(t *testing.T) {
	q := &Queue{}
	sizedPrompt := func(id, account string, rank, tokens int, slack time.Duration) *Prompt {
		p := prompt(id, account, rank, slack)
		p.Tokens = tokens
		return p
	}
	mustAdd(t, q, sizedPrompt("large", "a", 0, 100, time.Second), sizedPrompt("next", "a", 0, 70, 2*time.Second),
		sizedPrompt("like", "b", 0, 90, 2*time.Second), sizedPrompt("other", "b", 0, 60, 3*time.Second), sizedPrompt("same", "c", 1, 60, time.Second),
		sizedPrompt("small", "c", 2, 10, 9*time.Second))
	var ids []string
	for range 2*looksBeforeLessUrgent + 2 {
		p, rank := q.First(epoch)
		must.Eq(t, p.Rank, rank)
		ids = append(ids, p.ID)
		q.Failed(epoch, p)
	}
	must.Eq(t, []string{"large", "next", "large", "other", "large", "next", "large", "small", "large", "other"}, ids)
	p, _ := q.First(epoch)
	must.Eq(t, "large", p.ID)
	q.Failed(epoch, p)
	p, _ = q.First(epoch)
	q.Started(epoch, p)
	p, _ = q.First(epoch)
	must.True(t, q.Failed(epoch, p)) // a prompt has started, so another one may fit as well
	other, _ := q.First(epoch)
	must.NotEq(t, p, other)
	must.False(t, q.Failed(epoch, other))
}

// Guards against urgent prompts that are refused because less urgent ones fill the queue, and against
// an account that fills it and displaces those of others.
func TestLastInOrderIsEvicted(t *testing.T) {
	q := &Queue{Limits: Limits{Prompts: 4, Bytes: 10_000}}
	mustAdd(t, q, prompt("less-1", "heavy", 2, time.Second), prompt("less-2", "heavy", 2, 2*time.Second),
		prompt("less-3", "heavy", 2, 3*time.Second), prompt("light", "light", 2, 9*time.Second))
	for _, want := range []string{"less-3", "less-2"} {
		_, evicted := q.Add(epoch, prompt("urgent-"+want, "heavy", 0, time.Second))
		must.Len(t, 1, evicted)
		must.Eq(t, want, evicted[0].ID)
	}
	tooLarge := prompt("too-large", "light", 1, time.Second)
	tooLarge.Bytes = 9000
	_, evicted := q.Add(epoch, tooLarge) // does not fit beside the urgent ones, so the others stay
	must.Len(t, 1, evicted)
	must.Eq(t, "too-large", evicted[0].ID)
	must.Eq(t, 4, q.Len())
	large := prompt("large", "light", 1, time.Second)
	large.Bytes = 8000
	_, evicted = q.Add(epoch, large)
	must.Len(t, 2, evicted) // one for the count, one for the bytes
	must.Eq(t, 3, q.Len())
	must.Eq(t, []string{"urgent-less-2", "urgent-less-3", "large"}, startAll(epoch, q))
}

// Guards against prompts that wait although those before them leave no time, and against a refusal of
// an urgent prompt because of the many less urgent ones.
func TestPromptWithoutProspectIsRefused(t *testing.T) {
	q := &Queue{}
	for i := range 20 {
		mustAdd(t, q, prompt(fmt.Sprintf("less-%02d", i), "a", 2, time.Minute))
	}
	now := epoch
	for range 5 { // two starts in a second
		now = now.Add(500 * time.Millisecond)
		p, _ := q.First(now)
		q.Started(now, p)
	}
	at := func(id, account string, rank int, slack time.Duration) *Prompt {
		return &Prompt{ID: id, Account: account, Rank: rank, LatestStart: now.Add(slack)}
	}
	refusal, _ := q.Add(now, at("behind", "a", 2, 3*time.Second)) // first of its account by slack
	must.Eq(t, Waits, refusal)
	for i := range 2 { // the first of a rank may start by the minimum share
		refusal, _ = q.Add(now, at(fmt.Sprint("least-", i), "a", 3, time.Duration(1+8*i)*time.Second))
		must.Eq(t, Waits, refusal)
	}
	refusal, _ = q.Add(now, at("far-behind", "b", 3, 3*time.Second)) // one before it leaves time
	must.Eq(t, Waits, refusal)
	refusal, _ = q.Add(now, at("farther-behind", "a", 3, 3*time.Second)) // two before it, 16 starts take 8 s
	must.Eq(t, CannotStart, refusal)
	urgent := at("urgent", "a", 0, 70*time.Second)
	refusal, _ = q.Add(now, urgent)
	must.Eq(t, Waits, refusal)
	refusal, _ = q.Add(now, at("late", "a", 0, 0))
	must.Eq(t, NoTime, refusal)
	must.Eq(t, CannotStart, q.Check(now.Add(time.Minute), at("no-start-since", "a", 2, 70*time.Second)))
	must.Eq(t, Waits, q.Check(now.Add(time.Minute), urgent))
}

// Guards against a rate of starts from an earlier burst that refuses prompts after the recovery.
func TestRateOfStartsIsForgotten(t *testing.T) {
	q, now := &Queue{}, epoch
	for i := range 5 {
		q.Add(now, &Prompt{ID: fmt.Sprint(i), LatestStart: now.Add(time.Minute)})
	}
	for q.Len() > 0 {
		now = now.Add(5 * time.Second)
		p, _ := q.First(now)
		q.Started(now, p)
	}
	now = now.Add(rateTTL + time.Second)
	for i := range 3 {
		refusal, _ := q.Add(now, &Prompt{ID: fmt.Sprint("new-", i), LatestStart: now.Add(2 * time.Second)})
		must.Eq(t, Waits, refusal)
	}
}

// Guards against counts that drift, and against an order that depends on the order of arrival: every
// prompt is started, removed or evicted once, and countBefore predicts the order of the starts.
func TestQueueKeepsItsCounts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		q := &Queue{Limits: Limits{Prompts: 12, Bytes: 40_000}}
		var waiting []*Prompt
		drop := func(p *Prompt) {
			for i, other := range waiting {
				if other == p {
					waiting = append(waiting[:i], waiting[i+1:]...)
					return
				}
			}
			rt.Fatalf("%s is not waiting", p.ID)
		}
		for n := range rapid.IntRange(1, 60).Draw(rt, "steps") {
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0, 1:
				p := prompt(fmt.Sprint(n), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "account"), rapid.IntRange(0, 2).Draw(rt, "rank"), time.Duration(rapid.IntRange(1, 9).Draw(rt, "slack"))*time.Second)
				p.Bytes = int64(rapid.IntRange(1, 9000).Draw(rt, "bytes"))
				_, evicted := q.Add(epoch, p)
				waiting = append(waiting, p)
				for _, e := range evicted {
					drop(e)
				}
			case 2:
				if p, _ := q.First(epoch); p != nil {
					must.Eq(rt, 0, q.startsBefore(p))
					q.Started(epoch, p)
					drop(p)
				}
			case 3:
				if len(waiting) > 0 {
					p := waiting[rapid.IntRange(0, len(waiting)-1).Draw(rt, "left")]
					q.Remove(p)
					q.Remove(p)
					drop(p)
				}
			}
			must.Eq(rt, len(waiting), q.Len())
		}
		before := map[string]int{}
		for _, p := range waiting {
			urgent, same := q.countBefore(p)
			before[p.ID] = urgent + same
		}
		q.credit = -100 // no prompt uses the minimum share
		for n, id := range startAll(epoch, q) {
			must.Eq(rt, n, before[id], must.Sprint(id))
		}
		must.Eq(rt, 0, q.bytes)
		must.Eq(rt, 0, len(q.classes))
	})
}

// Guards against looks that are so frequent that they cost the smallest VMs their processor time, or
// so rare that an engine stays empty.
func TestLookIntervalIsBounded(t *testing.T) {
	q, now := &Queue{}, epoch
	interval := func(slack time.Duration, draw float64) time.Duration {
		return q.LookInterval(now, &Prompt{LatestStart: now.Add(slack)}, draw)
	}
	for _, slack := range []time.Duration{-time.Second, 0, time.Millisecond, 3 * time.Second, time.Hour} {
		for _, draw := range []float64{0, 0.5, 0.999} {
			must.Between(t, 75*time.Millisecond, interval(slack, draw), 500*time.Millisecond)
		}
	}
	must.Less(t, interval(9*time.Second, 0.5), interval(3*time.Second, 0.5))
	must.Less(t, remoteTTL, interval(time.Hour, 0.999)) // a prompt keeps its place between two looks
	for i := range 60 {
		q.Add(now, &Prompt{ID: fmt.Sprint(i), LatestStart: now.Add(time.Minute)})
	}
	must.Eq(t, minLookInterval, interval(time.Minute, 0.5))
	start := func(count int, every time.Duration) {
		for range count {
			now = now.Add(every)
			p, _ := q.First(now)
			q.Started(now, p)
		}
	}
	start(20, 150*time.Millisecond)
	must.Between(t, 74*time.Millisecond, interval(time.Minute, 0.5), 76*time.Millisecond)
	start(20, 10*time.Millisecond)
	must.Eq(t, 50*time.Millisecond, interval(time.Minute, 0.5)) // not half of the time between two starts
	now = now.Add(10 * time.Second)                             // no room any more
	must.Eq(t, minLookInterval, interval(time.Minute, 0.5))
	for q.Len() > 1 {
		p, _ := q.First(now)
		q.Remove(p)
	}
	must.Eq(t, maxLookInterval, interval(time.Minute, 0.5))
}
