// Package resume decides how to continue an answer whose engine is silent or has failed, and
// which tokens of which attempt are accepted.
//
// It handles an engine that dies with many long streams, and all engines slowing down
// together.
//
// Without it, callers wait until the loss is certain, or each silence starts the generation
// again, which doubles the work exactly when engines are busiest; and many takeovers at once
// can keep a pool overloaded after the cause has gone. A takeover therefore races the
// suspected attempt, takeovers start one at a time, and they are paid for by a budget.
package resume

// Race merges the tokens of competing attempts into one answer.
//
// Invariant: the accepted tokens are the prefix given to the attempt that delivered last,
// followed only by tokens of that attempt. As soon as one attempt extends the answer, every
// other attempt has therefore lost: its tokens continue a different text. The zero value is an
// empty answer. It is not safe for concurrent use.
type Race struct {
	acceptedTokens int
	finished       bool
	leader         uint64         // attempt that delivered last, 0 if none
	prefixTokens   map[uint64]int // length of the answer when the attempt was added, by attempt
}

// DropReason says why tokens were not accepted.
type DropReason uint8

// The reasons for dropping tokens.
const (
	Accepted    DropReason = iota
	Superseded             // another attempt extended the answer first
	Duplicate              // the whole chunk lies before the next offset
	Gap                    // the chunk begins after the next offset
	AfterFinish            // the answer is already complete
)

// String returns the name used in logs and metrics.
func (d DropReason) String() string {
	return [...]string{"accepted", "outrun", "repeated", "gap", "after_finish"}[d]
}

// Restore sets the race to an answer of length tokens that another owner began.
func (r *Race) Restore(length int, finished bool) {
	r.acceptedTokens, r.finished = length, finished
}

// Length returns the number of accepted tokens.
func (r *Race) Length() int { return r.acceptedTokens }

// Leader returns the attempt that delivered last, 0 if none did.
func (r *Race) Leader() uint64 { return r.leader }

// IsFinished reports whether the answer is complete.
func (r *Race) IsFinished() bool { return r.finished }

// AddAttempt adds an attempt whose prefix is the current answer.
func (r *Race) AddAttempt(attempt uint64) {
	if r.prefixTokens == nil {
		r.prefixTokens = make(map[uint64]int)
	}
	r.prefixTokens[attempt] = r.acceptedTokens
}

// AddReattached adds an attempt that produced the last accepted tokens itself.
func (r *Race) AddReattached(attempt uint64) {
	r.AddAttempt(attempt)
	r.leader = attempt
}

// RemoveAttempt removes an attempt that failed or was cancelled.
func (r *Race) RemoveAttempt(attempt uint64) { delete(r.prefixTokens, attempt) }

// Running returns the number of attempts that can still win.
func (r *Race) Running() int { return len(r.prefixTokens) }

// Offer decides whether to accept a chunk of n tokens at offset; finish marks the last chunk.
// If the result is Accepted, skip is the number of leading tokens of the chunk that the answer
// already has.
func (r *Race) Offer(attempt uint64, offset, n int, finish bool) (skip int, drop DropReason) {
	prefix, running := r.prefixTokens[attempt]
	switch {
	case r.finished:
		return 0, AfterFinish
	case !running || (r.acceptedTokens > prefix && r.leader != attempt):
		return 0, Superseded
	case offset > r.acceptedTokens:
		return 0, Gap
	case offset+n <= r.acceptedTokens && !finish:
		return 0, Duplicate
	case offset+n < r.acceptedTokens:
		return 0, Duplicate
	}
	skip = r.acceptedTokens - offset
	r.acceptedTokens = offset + n
	r.leader = attempt
	r.finished = finish
	return skip, Accepted
}

// Losers returns the attempts that can no longer win.
func (r *Race) Losers() []uint64 {
	var out []uint64
	for a, prefix := range r.prefixTokens {
		if a != r.leader && r.acceptedTokens > prefix {
			out = append(out, a)
		}
	}
	return out
}
