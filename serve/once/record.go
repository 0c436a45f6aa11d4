package once

import (
	"encoding/hex"
	"time"

	"mallowwind.dev/decision/slot"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/external/plain"
)

// state is what is known of a key. Within one attempt it only grows.
type state uint8

const (
	// bound: some daemon may dispatch the call, or did and did not say how it ended.
	bound state = iota
	// refused: given up before anything was sent.
	refused
	// unknown: sent, and no whole answer came back.
	unknown
	// ran: a whole answer came back.
	ran
	// abandoned: given up before the witness's consent was known. It is only
	// reported, never kept: the key is forgotten, and another copy may bind it.
	abandoned
)

// sent reports whether bytes of the call may have left.
func (s state) sent() bool { return s == unknown || s == ran }

// String returns the name used in logs.
func (s state) String() string {
	return [...]string{"bound", "refused", "unknown", "ran", "abandoned"}[s]
}

// outcome is how a call ended, or what its caller is told.
type outcome struct {
	answer *plain.Response // nil unless it ran and the answer is kept
	err    *verdict.Error  // nil when answer is set
	moved  bool            // another daemon serves the slot
}

// cause is the error that the flow is told of.
func (o outcome) cause() error {
	if o.err == nil {
		return nil
	}
	return o.err
}

// record is one remembered key. The table's mutex guards it.
type record struct {
	key        slot.Key
	digest     digest
	attempt    uint64      // grows each time the key is bound
	dispatcher slot.Member // the only process that may send this attempt
	state      state
	refusedAt  uint64 // number of the refusal
	out        outcome
	expires    time.Time
	call       *call // set at the dispatcher while it works on the attempt
}

func keyString(k slot.Key) string { return hex.EncodeToString(k[:]) }

// bytes is the size of the kept answer.
func (r *record) bytes() int {
	if r.out.answer == nil {
		return 0
	}
	return len(r.out.answer.Body)
}

// call is one attempt being worked on by this daemon. out may be read after
// done is closed.
type call struct {
	slot    int
	key     slot.Key
	attempt uint64
	req     execution
	done    chan struct{}
	out     outcome
}

func (c *call) end(out outcome) {
	c.out = out
	close(c.done)
}

// digest identifies a request's method, path and body.
type digest [16]byte
