// Package resume decides what becomes of an answer whose engine is silent or
// has failed, and which tokens of which attempt are accepted.
//
// The load pattern: an engine dies with many long streams, or all engines slow
// down together. Waiting for certainty makes callers wait; starting over at
// every silence doubles the work exactly when engines are busiest, and many
// takeovers at once can keep a pool overloaded after the cause has gone. Takeovers
// therefore race the suspected attempt, at most one at a time, and draw on a budget.
package resume

// Race admits tokens of competing attempts into one answer.
//
// Invariant: the accepted tokens are the prefix given to the attempt that
// delivered last, followed only by tokens of that attempt. So as soon as one
// attempt extends the answer, every other attempt has lost: its tokens continue
// a text that is no longer the answer. The zero value is an empty answer. It is
// not safe for concurrent use.
type Race struct {
	length   int
	finished bool
	leader   uint64 // attempt that delivered last, 0 if none
	base     map[uint64]int
}

// DropReason says why tokens were not accepted.
type DropReason uint8

// The reasons for dropping tokens.
const (
	Accepted    DropReason = iota
	Superseded             // another attempt extended the answer first
	Duplicate              // the whole chunk lies before the next offset
	Gap                    // the chunk begins after the next offset
	AfterFinish            // the answer is already whole
)

// String returns the lower-case name.
func (d DropReason) String() string {
	return [...]string{"accepted", "outrun", "repeated", "gap", "after_finish"}[d]
}

// Restore sets the race to an answer of length tokens that another owner began.
func (r *Race) Restore(length int, finished bool) {
	r.length, r.finished = length, finished
}

// Length returns the number of accepted tokens.
func (r *Race) Length() int { return r.length }

// Leader returns the attempt that delivered last, 0 if none did.
func (r *Race) Leader() uint64 { return r.leader }

// IsFinished reports whether the answer is whole.
func (r *Race) IsFinished() bool { return r.finished }

// AddAttempt enters an attempt whose prefix is the answer as it stands.
func (r *Race) AddAttempt(attempt uint64) {
	if r.base == nil {
		r.base = make(map[uint64]int)
	}
	r.base[attempt] = r.length
}

// AddReattached enters an attempt that produced the last accepted tokens itself.
func (r *Race) AddReattached(attempt uint64) {
	r.AddAttempt(attempt)
	r.leader = attempt
}

// RemoveAttempt removes an attempt: it failed or was cancelled.
func (r *Race) RemoveAttempt(attempt uint64) { delete(r.base, attempt) }

// Running returns the number of attempts that may still win.
func (r *Race) Running() int { return len(r.base) }

// Offer decides about a chunk of n tokens at offset, the last one if finish is
// set. On Accepted, skip is the number of leading tokens already held.
func (r *Race) Offer(attempt uint64, offset, n int, finish bool) (skip int, drop DropReason) {
	base, running := r.base[attempt]
	switch {
	case r.finished:
		return 0, AfterFinish
	case !running || (r.length > base && r.leader != attempt):
		return 0, Superseded
	case offset > r.length:
		return 0, Gap
	case offset+n <= r.length && !finish:
		return 0, Duplicate
	case offset+n < r.length:
		return 0, Duplicate
	}
	skip = r.length - offset
	r.length = offset + n
	r.leader = attempt
	r.finished = finish
	return skip, Accepted
}

// Losers returns the attempts that can no longer win.
func (r *Race) Losers() []uint64 {
	var out []uint64
	for a, base := range r.base {
		if a != r.leader && r.length > base {
			out = append(out, a)
		}
	}
	return out
}
