package prompts

import (
	"time"
)

// request is one long answer.
type request struct {
	daemon  int
	prompt  int // tokens
	events  int // of the whole answer
	made    int
	arrived time.Duration
	first   time.Duration // 0 before it
	last    time.Duration // of the last event
	pause   time.Duration // longest
	end     time.Duration
	at      *engine
	reading bool // at that engine, for the first time or again
	ran     bool // was sent to an engine
	sent    time.Duration
	copyAt  *engine
	wasted  int // prompt tokens read in vain
	// refused is how often it was turned away before it ran, and over that its caller
	// waits no more, or came back once already.
	refused int
	over    bool
}

// size is how many tokens of memory the request takes so far.
func (r *request) size() int { return r.prompt + r.made*eventTokens }

// onTime reports whether the answer met both objectives.
func (r *request) onTime() bool {
	return r.end > 0 && r.first-r.arrived <= firstObjective && r.pause <= pauseObjective
}
