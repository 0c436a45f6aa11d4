package promptqueue

import (
	"cmp"
	"math"
	"time"
)

const (
	// earnedPerUrgentStart is the part of a start that less urgent prompts about to miss their latest
	// start earn with each more urgent one: one start in nine is theirs. Without it, urgent prompts
	// beyond the capacity of the engines starve them.
	earnedPerUrgentStart = 1.0 / 8
	// aboutToMiss is the slack below which a prompt may use that share: the longest time between two
	// looks.
	aboutToMiss = time.Duration((1 + lookJitterRatio/2) * float64(maxLookInterval))
	// looksBeforeLessUrgent is the number of failed looks, a quarter of those in its slack, after which
	// a prompt lets smaller ones of less urgent ranks look as well. Most prompts of a burst find room
	// before that, and must not be overtaken by less urgent ones.
	looksBeforeLessUrgent = looksPerSlack / 4
	// smallerRatio is the size, relative to a blocked prompt, below which another one may find room
	// where the blocked one does not. Turns for prompts of about the same size only delay the first.
	smallerRatio = 0.75
)

// mostUrgentRank returns the rank of the most urgent waiting prompts.
func (q *Queue) mostUrgentRank() int {
	lowest := math.MaxInt
	for rank := range q.classes {
		lowest = min(lowest, rank)
	}
	return lowest
}

func (q *Queue) leastUrgentRank() int {
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
	lowest := q.mostUrgentRank()
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
	if q.credit >= 1 && p.Rank > q.mostUrgentRank() && p.Slack(now) < aboutToMiss {
		q.credit -= earnedPerUrgentStart // it is earned again by the next start of an urgent prompt
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
func (q *Queue) firstInOrder() *Prompt { return q.classes[q.mostUrgentRank()].first() }

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
	for _, a := range q.classes[q.leastUrgentRank()].accounts {
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
func (q *Queue) HasBefore(rank int) bool { return q.count > 0 && q.mostUrgentRank() <= rank }
