package prompts

import (
	"time"
)

// request is one generation request of a caller.
type request struct {
	daemon             int
	promptTokens       int
	events             int // in the complete answer
	emittedEvents      int
	arrivedAt          time.Duration
	firstEventAt       time.Duration // 0 until then
	lastEventAt        time.Duration
	longestPause       time.Duration // between two events
	endedAt            time.Duration
	engine             *engine
	prefilling         bool // on that engine, for the first time or again
	wasSent            bool // to an engine, at least once
	sentAt             time.Duration
	copyEngine         *engine
	wastedPromptTokens int // prefilled in vain
	// refusals counts how often admission control refused the request. abandoned is set once
	// the caller has timed out or was refused maxAttempts times.
	refusals  int
	abandoned bool
}

// contextTokens returns the tokens of the prompt and of the events emitted so far.
func (r *request) contextTokens() int { return r.promptTokens + r.emittedEvents*tokensPerEvent }

// isOnTime reports whether the answer is complete and met both latency objectives.
func (r *request) isOnTime() bool {
	return r.endedAt > 0 && r.firstEventAt-r.arrivedAt <= firstEventObjective && r.longestPause <= pauseObjective
}
