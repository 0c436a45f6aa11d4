package once

import (
	"encoding/hex"
	"time"

	"mallowwind.dev/decision/slot"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/external/plain"
)

// state is the state of a key. Within one attempt it only increases.
type state uint8

const (
	// stateBound: some daemon may dispatch the call, or did and has not reported how it ended.
	stateBound state = iota
	// stateRefused: given up before anything was sent.
	stateRefused
	// stateUnknown: sent, and no whole answer came back.
	stateUnknown
	// stateRan: a whole answer came back.
	stateRan
	// stateAbandoned: given up before the witness's consent was known. It is only reported,
	// never stored: the key is removed, and another copy may bind it.
	stateAbandoned
)

// wasSent reports whether bytes of the call may have been sent.
func (s state) wasSent() bool { return s == stateUnknown || s == stateRan }

// String returns the name used in logs.
func (s state) String() string {
	return [...]string{"bound", "refused", "unknown", "ran", "abandoned"}[s]
}

// outcome is how a call ended, or what its caller is told.
type outcome struct {
	answer *plain.Response // nil unless the call ran and the answer is kept
	err    *verdict.Error  // nil if answer is set
	moved  bool            // another daemon serves the slot
}

// asError returns the error that is reported to the flow dispatcher, a plain nil if there is
// none.
func (o outcome) asError() error {
	if o.err == nil {
		return nil
	}
	return o.err
}

// record is the state of one key. The table's mutex guards it.
type record struct {
	key        slot.Key
	digest     digest
	attempt    uint64      // increases each time the key is bound
	dispatcher slot.Member // the only process that may send this attempt
	state      state
	refusalSeq uint64 // sequence number of the refusal
	out        outcome
	expires    time.Time
	call       *inFlightCall // set at the dispatcher while it works on the attempt
}

func keyString(k slot.Key) string { return hex.EncodeToString(k[:]) }

// answerBytes returns the size of the kept answer's body.
func (r *record) answerBytes() int {
	if r.out.answer == nil {
		return 0
	}
	return len(r.out.answer.Body)
}

// inFlightCall is one attempt that this daemon works on. out may be read after done is closed.
type inFlightCall struct {
	slot    int
	key     slot.Key
	attempt uint64
	req     executeRequest
	done    chan struct{}
	out     outcome
}

func (c *inFlightCall) complete(out outcome) {
	c.out = out
	close(c.done)
}

// digest identifies a request's method, path and body.
type digest [16]byte
