// Package repeats decides whether one more send of a request is affordable
// within a budget that all daemons share, without a message between them.
//
// Load it answers: a zone of backend servers lost at once, servers that fail
// part of their requests, and callers that repeat without waiting.
//
// Without it, each failure adds a send exactly when there is least room, and
// the sum over all daemons is unbounded.
//
// How it holds: in any window the fleet may repeat Ratio times the requests of
// the service plus Slack. Each daemon keeps to Ratio times its own requests
// plus an equal part of Slack, so the sum over daemons keeps to the whole. The
// requests counted are those of the window that ends now.
package repeats

import "time"

// buckets divide the window; a send is forgotten up to a tenth of a window late.
const buckets = 10

// safety is the part of the budget that is used: the windows of the daemons
// and of whoever judges them do not begin together.
const safety = 0.85

// Rule is the budget of the whole fleet at one service.
type Rule struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Budget counts one daemon's sends to one service. It is not safe for
// concurrent use.
type Budget struct {
	rule     Rule
	requests [buckets + 1]int
	repeats  [buckets + 1]int
	tick     int64
}

// New returns an empty budget.
func New(rule Rule) *Budget { return &Budget{rule: rule} }

// Request counts a request of a caller.
func (b *Budget) Request(now time.Time) {
	b.advance(now)
	b.requests[b.at()]++
}

// Repeat asks for one more send, among daemons that share the slack, and
// counts it if it is affordable.
func (b *Budget) Repeat(now time.Time, daemons int) bool {
	b.advance(now)
	allowed := safety * (b.rule.Ratio*sum(b.requests) + b.rule.Slack/float64(max(daemons, 1)))
	if sum(b.repeats)+1 > allowed {
		return false
	}
	b.repeats[b.at()]++
	return true
}

func (b *Budget) at() int { return int(b.tick % (buckets + 1)) }

// advance clears the buckets that lie between the last use and now.
func (b *Budget) advance(now time.Time) {
	tick := now.UnixNano() / (int64(b.rule.Window) / buckets)
	if b.tick == 0 || tick-b.tick > buckets {
		b.tick = tick
		clear(b.requests[:])
		clear(b.repeats[:])
		return
	}
	for b.tick < tick {
		b.tick++
		b.requests[b.at()] = 0
		b.repeats[b.at()] = 0
	}
}

func sum(counts [buckets + 1]int) float64 {
	total := 0
	for _, n := range counts {
		total += n
	}
	return float64(total)
}
