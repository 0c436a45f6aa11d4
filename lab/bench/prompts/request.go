package prompts

import (
	"time"
)

// request is one long answer.
type request struct {
	daemon             int
	promptTokens       int // tokens
	events             int // of the whole answer
	emittedEvents      int
	arrivedAt          time.Duration
	firstEventAt       time.Duration // 0 before it
	lastEventAt        time.Duration // of the last event
	longestPause       time.Duration // longest
	endedAt            time.Duration
	engine             *engine
	prefilling         bool // at that engine, for the first time or again
	wasSent            bool // was sent to an engine
	sentAt             time.Duration
	copyEngine         *engine
	wastedPromptTokens int // prompt tokens read in vain
	// refusals is how often it was turned away before it ran, and over that its caller
	// waits no more, or came back once already.
	refusals  int
	abandoned bool
}

// contextTokens is how many tokens of memory the request takes so far.
func (r *request) contextTokens() int { return r.promptTokens + r.emittedEvents*tokensPerEvent }

// isOnTime reports whether the answer met both objectives.
func (r *request) isOnTime() bool {
	return r.endedAt > 0 && r.firstEventAt-r.arrivedAt <= firstEventObjective && r.longestPause <= pauseObjective
}
