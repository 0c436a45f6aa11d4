package prompts

import "time"

const (
	// leastPart is the part of the shortest reading seen below which a prompt
	// certainly cannot be read: engines of one service differ by a third in speed.
	leastPart = 0.7
	// forget lets the shortest reading grow by a hundredth with each one seen, so
	// that engines that became slower are believed after some seventy prompts.
	forget = 1.01
)

// Pace learns how fast the engines of one service read prompts.
//
// Load it answers: callers that come back after an outage with little time
// left. Without it their prompts are read for a second each and the answers
// come when nobody waits, while the prompts behind them miss their time too.
// The zero value knows nothing. It is not safe for concurrent use.
type Pace struct {
	perToken float64 // nanoseconds, of the fastest reading
}

// Observe records that the first event of a prompt took so long.
func (p *Pace) Observe(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	seen := float64(took) / float64(tokens)
	if p.perToken == 0 || seen < p.perToken {
		p.perToken = seen
		return
	}
	p.perToken *= forget
}

// Hopeless reports whether a prompt certainly cannot be read in what is left.
func (p *Pace) Hopeless(tokens int, left time.Duration) bool {
	return float64(left) < leastPart*p.perToken*float64(tokens)
}
