// Package promptqueue orders the prompts that wait in a daemon for room at an engine, and the
// waiting prompts of all daemons at each engine.
//
// Load pattern: a burst of less urgent prompts fills the slots and the memory of all engines while
// urgent prompts keep arriving, each at another of dozens to hundreds of daemons. A few accounts
// send most of the prompts, and some prompts are much longer than others.
//
// Without it, a prompt without room is either refused, although an engine has room half a second
// later, or queued at one engine, where it waits behind less urgent prompts and is lost with the
// engine. Callers that are refused come back in the same burst, and whichever prompt happens to
// arrive when an engine has room takes it, however urgent the others are.
//
// Decision: a prompt waits in its daemon until its latest start. Queue orders the prompts of one
// daemon: by rank, then fairly between accounts, then by least slack. One prompt at a time looks for
// room, so that the cost of waiting does not grow with the number of prompts: the first in this
// order, and after a failed look a smaller one in turn, which may fit where the first does not. Table,
// kept by the tracker of an engine, orders the first prompts of all daemons by rank and slack. The size
// of a prompt does not change its place in the order, or the longest prompts would wait while shorter
// ones overtake them.
package promptqueue

import (
	"cmp"
	"time"
)

const (
	// waitToleranceRatio is how far the predicted wait may exceed the slack before a prompt is
	// refused on arrival. With few starts per second at one daemon, the prediction is off by a half.
	waitToleranceRatio = 1.5
)

// Limits bound the waiting prompts of one queue.
type Limits struct {
	Prompts int
	Bytes   int64 // of all request bodies; a single prompt may exceed it
}

// Prompt is one waiting prompt. The caller fills the exported fields.
type Prompt struct {
	ID      string
	Account string // "" for callers without an account, which count as one account
	Rank    int    // 0 is the most urgent
	// LatestStart is when the prompt has to be sent to an idle engine for its first event to meet
	// the objective.
	LatestStart time.Time
	Bytes       int64
	Tokens      int // of the prompt; the memory that it needs at an engine

	account     *account // nil unless the prompt is in a queue
	failedLooks int
	failedAt    int // value of Queue.failures at its last failed look
}

// Slack returns the time until the latest start, negative if that has passed.
func (p *Prompt) Slack(now time.Time) time.Duration { return p.LatestStart.Sub(now) }

// account holds the waiting prompts of one account and rank, in the order of their latest start.
type account struct {
	startTag float64 // number of starts, in the virtual time of the rank
	prompts  []*Prompt
	failedAt int // value of Queue.failures at the last failed look in place of a blocked prompt
}

// class holds the accounts of one rank. Accounts without waiting prompts are removed once the
// virtual time has reached their tag, since they would start from there in any case.
type class struct {
	virtualTime float64 // start tag of the last started prompt
	accounts    map[string]*account
}

// Queue holds the waiting prompts of one service at one daemon. The zero value is empty and has no
// limits. It is not safe for concurrent use.
type Queue struct {
	Limits Limits

	classes map[int]*class
	count   int
	bytes   int64
	credit  float64 // starts that less urgent prompts may use
	rate    startRate

	// blocked is the first prompt in the order if its last look failed and another one looks next.
	blocked   *Prompt
	failures  int  // number of failed looks
	roomFound bool // the last look found room
}

// Refusal says why a prompt does not wait.
type Refusal uint8

// The results of Add and Check.
const (
	// Waits means that the prompt waits.
	Waits Refusal = iota
	// NoTime means that the latest start has passed.
	NoTime
	// CannotStart means that, at the rate of recent starts, the prompts before it leave no time.
	CannotStart
)

// String returns the name used in logs and metrics.
func (r Refusal) String() string { return [...]string{"waits", "no_time", "cannot_start"}[r] }

// Add adds a prompt, unless it has no prospect of starting in time. If the limits are exceeded, the
// last prompts in the order are removed and returned, which may be the added one.
func (q *Queue) Add(now time.Time, p *Prompt) (refusal Refusal, evicted []*Prompt) {
	if refusal := q.Check(now, p); refusal != Waits {
		return refusal, nil
	}
	if q.count == 0 {
		q.rate.resume(now)
	}
	q.push(p)
	for q.exceedsLimits() {
		last := q.last()
		q.Remove(last)
		if last == p { // without it, the others are within the limits
			for _, other := range evicted {
				q.push(other)
			}
			return Waits, []*Prompt{p}
		}
		evicted = append(evicted, last)
	}
	return Waits, evicted
}

// Check reports whether a prompt, waiting or not, has no prospect of starting in time any more. The
// first prompt of each rank has one until its latest start.
func (q *Queue) Check(now time.Time, p *Prompt) Refusal {
	slack := p.Slack(now)
	switch {
	case slack <= 0:
		return NoTime
	case q.startsBefore(p)*float64(q.rate.interval(now)) > waitToleranceRatio*float64(slack):
		return CannotStart
	}
	return Waits
}

// startsBefore returns the number of starts expected before that of a prompt. A less urgent prompt
// comes by its turn in the order or by the minimum share, whichever is first.
func (q *Queue) startsBefore(p *Prompt) float64 {
	urgent, same := q.countBefore(p)
	byTurn := float64(urgent + same)
	if urgent == 0 {
		return byTurn
	}
	return min(byTurn, float64(same)/earnedPerUrgentStart)
}

func (q *Queue) exceedsLimits() bool {
	return q.count > 1 && (q.Limits.Prompts > 0 && q.count > q.Limits.Prompts || q.Limits.Bytes > 0 && q.bytes > q.Limits.Bytes)
}

// countBefore returns the number of waiting prompts that start before p: those that are more urgent,
// and those of the same rank that fair sharing between accounts puts first.
func (q *Queue) countBefore(p *Prompt) (urgent, same int) {
	for rank, c := range q.classes {
		if rank < p.Rank {
			urgent += c.waiting()
		}
	}
	if c := q.classes[p.Rank]; c != nil {
		same = c.countBefore(p)
	}
	return urgent, same
}

func (c *class) countBefore(p *Prompt) (n int) {
	tag := c.virtualTime // of the start of p
	if own := c.accounts[p.Account]; own != nil {
		i := own.index(p)
		n, tag = i, max(tag, own.startTag)+float64(i)
		if p.account == own {
			tag = own.startTag + float64(i)
		}
	}
	for name, other := range c.accounts {
		if name != p.Account {
			n += other.countBefore(tag, p)
		}
	}
	return n
}

// countBefore returns the number of prompts of the account that start before one of another account
// with the given tag.
func (a *account) countBefore(tag float64, p *Prompt) (n int) {
	for i, other := range a.prompts {
		if compareStarts(a.startTag+float64(i), tag, other, p) < 0 {
			n++
		}
	}
	return n
}

// compareStarts orders the starts of prompts of two accounts: by tag, and then by slack.
func compareStarts(tagA, tagB float64, a, b *Prompt) int {
	return cmp.Or(cmp.Compare(tagA, tagB), comparePrompts(a, b))
}

func (c *class) waiting() (n int) {
	for _, a := range c.accounts {
		n += len(a.prompts)
	}
	return n
}

// index returns where a prompt belongs among those of its account.
func (a *account) index(p *Prompt) int {
	i := 0
	for i < len(a.prompts) && comparePrompts(a.prompts[i], p) < 0 {
		i++
	}
	return i
}

// comparePrompts orders the prompts of one rank by slack. The ID breaks ties, so that every daemon
// has the same order.
func comparePrompts(a, b *Prompt) int {
	return cmp.Or(a.LatestStart.Compare(b.LatestStart), cmp.Compare(a.ID, b.ID))
}

func (q *Queue) push(p *Prompt) {
	if q.classes == nil {
		q.classes = map[int]*class{}
	}
	c := q.classes[p.Rank]
	if c == nil {
		c = &class{accounts: map[string]*account{}}
		q.classes[p.Rank] = c
	}
	a := c.accounts[p.Account]
	if a == nil {
		a = &account{startTag: c.virtualTime}
		c.accounts[p.Account] = a
	}
	if len(a.prompts) == 0 {
		a.startTag = max(a.startTag, c.virtualTime)
	}
	i := a.index(p)
	a.prompts = append(a.prompts, nil)
	copy(a.prompts[i+1:], a.prompts[i:])
	a.prompts[i], p.account = p, a
	q.count++
	q.bytes += p.Bytes
}

// Remove removes a prompt that no longer waits without having started. It does nothing if the
// prompt is not in the queue.
func (q *Queue) Remove(p *Prompt) {
	a := p.account
	if a == nil {
		return
	}
	for i, other := range a.prompts {
		if other == p {
			a.prompts = append(a.prompts[:i], a.prompts[i+1:]...)
			break
		}
	}
	p.account = nil
	if q.blocked == p {
		q.blocked = nil
	}
	q.count--
	q.bytes -= p.Bytes
	q.prune(p.Rank)
}

// prune removes accounts that have no waiting prompts and no start ahead of the virtual time.
func (q *Queue) prune(rank int) {
	c := q.classes[rank]
	for name, a := range c.accounts {
		if len(a.prompts) == 0 && (a.startTag <= c.virtualTime || c.waiting() == 0) {
			delete(c.accounts, name)
		}
	}
	if len(c.accounts) == 0 {
		delete(q.classes, rank)
	}
}

// Started removes a prompt that starts now, and charges its account.
func (q *Queue) Started(now time.Time, p *Prompt) {
	a := p.account
	if a == nil {
		return
	}
	q.rate.observe(now)
	q.roomFound, q.blocked = true, nil
	if p.Rank > q.mostUrgentRank() {
		q.credit = max(0, q.credit-1)
	} else {
		q.earn()
	}
	c := q.classes[p.Rank]
	c.virtualTime = max(c.virtualTime, a.startTag)
	a.startTag++
	q.Remove(p)
}

// StartedAtOnce records that a prompt started without having waited. It counts for the share of the
// less urgent prompts that wait.
func (q *Queue) StartedAtOnce(rank int) {
	if q.count > 0 && rank < q.leastUrgentRank() {
		q.earn()
	}
}

func (q *Queue) earn() { q.credit = min(1, q.credit+earnedPerUrgentStart) }

// Len returns the number of waiting prompts.
func (q *Queue) Len() int { return q.count }
