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
// of a prompt is not considered, or the longest prompts would wait while shorter ones overtake them.
package promptqueue

import (
	"cmp"
	"math"
	"time"
)

const (
	// minShare is the part of the starts that goes to less urgent prompts about to miss their latest
	// start, so that urgent prompts beyond the capacity of the engines cannot starve them entirely.
	minShare = 1.0 / 8
	// aboutToMiss is the slack below which a prompt may use that share: the longest time between two
	// looks.
	aboutToMiss = time.Duration((1 + lookJitterRatio/2) * float64(maxLookInterval))
	// minLookInterval and maxLookInterval bound the time between two looks for room. Reports of
	// engines are 200 to 300 ms old, so looking more often learns little. An engine stays empty for
	// half an interval on average, which is short compared with the ten seconds of a run.
	minLookInterval = 100 * time.Millisecond
	maxLookInterval = 400 * time.Millisecond
	// looksPerStart is the number of looks for each start of a daemon whose prompts start in quick
	// succession, and minBusyInterval the shortest time between two. A daemon with a large part of the
	// fleet's prompts would otherwise leave engines empty. A look is about ten queries, so that the
	// shortest interval means 200 queries a second; 20 ms meant 500, too many for a VM with a seventh of
	// a core.
	looksPerStart   = 2
	minBusyInterval = 50 * time.Millisecond
	// promptsPerLooker is the number of waiting prompts beyond which a daemon looks more often, or
	// the prompts of daemons where few wait would start long before those where many do.
	promptsPerLooker = 2
	// looksPerSlack is the number of looks in the remaining slack: the less time is left, the more
	// often a prompt looks.
	looksPerSlack = 16
	// looksBeforeLessUrgent is the number of failed looks, a quarter of those in its slack, after which
	// a prompt lets smaller ones of less urgent ranks look as well. Most prompts of a burst find room
	// before that, and must not be overtaken by less urgent ones.
	looksBeforeLessUrgent = looksPerSlack / 4
	// smallerRatio is the size, relative to a blocked prompt, below which another one may find room
	// where the blocked one does not. Turns for prompts of about the same size only delay the first:
	// in TestSaturation, 67 daemons started 928 to 956 prompts with them, and 1044 without.
	smallerRatio = 0.75
	// lookJitterRatio is the width of the interval over which looks are spread, relative to the
	// interval. Prompts that found no room at the same time must not look again at the same time.
	lookJitterRatio = 0.5
	// startWeight is the weight of one start in the moving average of the time between starts.
	startWeight = 1.0 / 4
	// minStarts is the number of starts below which their rate is not relied on.
	minStarts = 3
	// rateTTL is how long the rate of starts is relied on once no prompt waits any more: about as long
	// as a run takes, after which the engines hold other runs.
	rateTTL = 10 * time.Second
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

// startRate measures the time between two starts of prompts while prompts wait.
type startRate struct {
	since time.Time // of the last start, or when the first prompt began to wait
	mean  time.Duration
	count int
}

// resume begins a new period in which prompts wait. The rate of a period long ago does not apply.
func (s *startRate) resume(now time.Time) {
	if now.Sub(s.since) > rateTTL {
		s.count = 0
	}
	s.since = now
}

func (s *startRate) observe(now time.Time) {
	took := now.Sub(s.since)
	if s.count == 0 {
		s.mean = took
	}
	s.mean += time.Duration(startWeight * float64(took-s.mean))
	s.since = now
	s.count++
}

// interval returns the expected time between two starts, 0 if it is unknown.
func (s *startRate) interval(now time.Time) time.Duration {
	if s.count < minStarts {
		return 0
	}
	return max(s.mean, now.Sub(s.since))
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
	return min(byTurn, float64(same)/minShare)
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
	if p.Rank > q.lowestRank() {
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
	if q.count > 0 && rank < q.highestRank() {
		q.earn()
	}
}

func (q *Queue) earn() { q.credit = min(1, q.credit+minShare) }

// lowestRank returns the rank of the most urgent waiting prompts.
func (q *Queue) lowestRank() int {
	lowest := math.MaxInt
	for rank := range q.classes {
		lowest = min(lowest, rank)
	}
	return lowest
}

func (q *Queue) highestRank() int {
	highest := math.MinInt
	for rank := range q.classes {
		highest = max(highest, rank)
	}
	return highest
}

// First returns the prompt that looks for room next, nil if none waits. rank is the rank at which it
// is placed: that of the most urgent waiting prompt if it uses the share of less urgent ones.
func (q *Queue) First(now time.Time) (first *Prompt, rank int) {
	if q.count == 0 {
		return nil, 0
	}
	lowest := q.lowestRank()
	if p := q.aboutToMiss(now, lowest); p != nil && q.credit >= 1 {
		return p, lowest
	}
	first = q.firstInOrder()
	if q.blocked == first {
		if other := q.besides(first); other != nil {
			return other, other.Rank
		}
	}
	return first, lowest
}

// Failed records that a prompt has looked for room and found none. The next look belongs to a
// smaller prompt if it was the first in the order, and to the first otherwise, so that a prompt that fits
// nowhere does not stop others. It reports whether the next look should follow at once: the look
// before found room, which the next prompt may fit, or the prompt used the share of less urgent ones,
// and the urgent ones have waited for it.
func (q *Queue) Failed(now time.Time, p *Prompt) (again bool) {
	if p.account == nil {
		return false
	}
	again, q.roomFound = q.roomFound, false
	q.failures++
	p.failedLooks++
	p.failedAt = q.failures
	if q.credit >= 1 && p.Rank > q.lowestRank() && p.Slack(now) < aboutToMiss {
		q.credit -= minShare // it is earned again by the next start of an urgent prompt
		q.blocked = nil
		return true
	}
	if first := q.firstInOrder(); first != p {
		p.account.failedAt = q.failures
		q.blocked = nil
		return false
	}
	q.blocked = p
	return again && q.besides(p) != nil
}

// firstInOrder returns the prompt that comes first by rank, account and slack.
func (q *Queue) firstInOrder() *Prompt { return q.classes[q.lowestRank()].first() }

// besides returns the prompt that looks for room in place of the first one, nil if there is none. It
// is clearly smaller and of the same rank, or, once the first one has failed several times, a less
// urgent prompt that needs less memory than all more urgent ones: otherwise they would fit where it does.
func (q *Queue) besides(first *Prompt) *Prompt {
	var best *Prompt
	for rank, c := range q.classes {
		for _, a := range c.accounts {
			for _, p := range a.prompts {
				if p == first || best != nil && compareTurns(p, best) >= 0 {
					continue
				}
				if mayReplace(first, p) && (rank == first.Rank || q.isSmallest(p)) {
					best = p
				}
			}
		}
	}
	return best
}

// mayReplace reports whether a prompt may look in place of a blocked one.
func mayReplace(blocked, p *Prompt) bool {
	return float64(p.Tokens) < smallerRatio*float64(blocked.Tokens) &&
		(p.Rank == blocked.Rank || blocked.failedLooks >= looksBeforeLessUrgent)
}

// compareTurns orders prompts that look in place of a blocked one: accounts take turns, and so do
// the prompts of an account.
func compareTurns(a, b *Prompt) int {
	return cmp.Or(cmp.Compare(a.account.failedAt, b.account.failedAt), cmp.Compare(a.Rank, b.Rank),
		cmp.Compare(a.account.startTag, b.account.startTag), cmp.Compare(a.failedAt, b.failedAt), comparePrompts(a, b))
}

// isSmallest reports whether a prompt needs less memory than all more urgent ones.
func (q *Queue) isSmallest(p *Prompt) bool {
	for rank, c := range q.classes {
		if rank >= p.Rank {
			continue
		}
		for _, a := range c.accounts {
			for _, other := range a.prompts {
				if other.Tokens <= p.Tokens {
					return false
				}
			}
		}
	}
	return true
}

// aboutToMiss returns the prompt with the least slack among the less urgent ones that are about to
// miss their latest start, nil if there is none.
func (q *Queue) aboutToMiss(now time.Time, lowest int) (least *Prompt) {
	for rank, c := range q.classes {
		if rank == lowest {
			continue
		}
		for _, a := range c.accounts {
			for _, p := range a.prompts {
				if slack := p.Slack(now); slack > 0 && slack < aboutToMiss && (least == nil || comparePrompts(p, least) < 0) {
					least = p
				}
			}
		}
	}
	return least
}

// first returns the prompt of the account with the fewest starts. Among equal accounts, the prompt
// with the least slack comes first.
func (c *class) first() (first *Prompt) {
	var at *account
	for _, a := range c.accounts {
		if len(a.prompts) == 0 {
			continue
		}
		p := a.prompts[0]
		if first == nil || compareStarts(a.startTag, at.startTag, p, first) < 0 {
			first, at = p, a
		}
	}
	return first
}

// last returns the prompt that is refused if the queue exceeds its limits: of the least urgent rank,
// that of the account with the most waiting prompts which has the most slack.
func (q *Queue) last() (last *Prompt) {
	var most *account
	for _, a := range q.classes[q.highestRank()].accounts {
		if len(a.prompts) == 0 {
			continue
		}
		p := a.prompts[len(a.prompts)-1]
		if last == nil || cmp.Or(cmp.Compare(len(a.prompts), len(most.prompts)), comparePrompts(p, last)) > 0 {
			last, most = p, a
		}
	}
	return last
}

// HasBefore reports whether a prompt of the rank that has not waited yet has to let others start
// before it.
func (q *Queue) HasBefore(rank int) bool { return q.count > 0 && q.lowestRank() <= rank }

// Len returns the number of waiting prompts.
func (q *Queue) Len() int { return q.count }

// LookInterval returns the time until a prompt looks for room again that found none. draw is in
// [0, 1).
func (q *Queue) LookInterval(now time.Time, p *Prompt, draw float64) time.Duration {
	interval := min(max(p.Slack(now)/looksPerSlack, minLookInterval), maxLookInterval)
	shortest := minLookInterval
	if starts := q.rate.interval(now); starts > 0 {
		shortest = min(shortest, max(starts/looksPerStart, minBusyInterval))
	}
	if q.count > promptsPerLooker {
		interval = max(interval*promptsPerLooker/time.Duration(q.count), shortest)
	}
	return time.Duration(float64(interval) * (1 - lookJitterRatio/2 + lookJitterRatio*draw))
}
