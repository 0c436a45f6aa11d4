// Package cooldown decides when a backend server that asked for a pause gets requests again.
//
// Load pattern: a server that cannot keep up rejects a request and states for how many seconds it
// wants no further ones.
//
// Without this package, such a server gets more requests than before: it rejects them at once, so it
// has none in flight and looks idle. If it got all of its share again at the end of the pause, it
// would be overloaded again in the next moment.
//
// Decision: the server gets nothing until the end of the longest pause that it asked for. After that
// it gets single requests, one at a time, until it serves one. A response to a request that was sent
// before the end changes nothing. If all servers of a service pause, requests are refused with the
// time until the first pause ends.
package cooldown

import (
	"math"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxPause bounds a pause. A server that needs longer asks again.
	maxPause = 10 * time.Minute
	// unreadablePause stands for a pause that cannot be parsed.
	unreadablePause = time.Second
	// trialInterval is the least time between two requests to a server whose pause has ended and that
	// has not served since. It is many times the duration of a short request.
	trialInterval = 250 * time.Millisecond
	// jitterRatio lengthens pauses by up to this part, so that the daemons that were told of the same
	// pause do not all return at its end.
	jitterRatio = 0.1
	// returnSpreadRatio is the part of a wait over which refused callers return after its end.
	returnSpreadRatio = 0.25
)

// ParsePause parses the pause that a server asks for, in seconds with an optional fraction; asked is
// false if the text is empty or asks for no time. A text that cannot be parsed returns an error and a
// short pause.
func ParsePause(text string) (pause time.Duration, asked bool, err error) {
	if text == "" {
		return 0, false, nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(seconds) || seconds < 0 {
		return unreadablePause, true, errors.Errorf("pause %q is not a valid number of seconds", text)
	}
	pause = time.Duration(min(seconds, maxPause.Seconds()) * float64(time.Second))
	return pause, pause > 0, nil
}

// RetryAfter returns the delay until a caller should retry whose request was refused because all
// servers pause; the first pause ends after wait. draw is in [0, 1).
func RetryAfter(wait time.Duration, draw float64) time.Duration {
	return time.Duration(float64(wait) * (1 + returnSpreadRatio*draw))
}

// State is what one daemon knows of the pause of one incarnation of a server. The zero value has no
// pause. It is not safe for concurrent use.
type State struct {
	until     time.Time // end of the pause; zero if the server has served since the last one
	nextTrial time.Time // earliest time of the next request after the end
}

// Ask records that the server asked for a pause at now, and reports whether it was serving until
// then. A shorter pause than a known one does not end that one earlier. draw is in [0, 1).
func (s *State) Ask(now time.Time, pause time.Duration, draw float64) (isNew bool) {
	isNew = s.until.IsZero()
	until := now.Add(time.Duration(float64(pause) * (1 + jitterRatio*draw)))
	if until.After(s.until) {
		s.until = until
	}
	return isNew
}

// IsActive reports whether the server has asked for a pause and not served since its end.
func (s *State) IsActive() bool { return !s.until.IsZero() }

// Left returns the time until the end of the pause; 0 if there is none.
func (s *State) Left(now time.Time) time.Duration { return max(0, s.until.Sub(now)) }

// Wait returns the time until a request may be sent; 0 if it may be sent now.
func (s *State) Wait(now time.Time) time.Duration {
	if !s.IsActive() {
		return 0
	}
	return max(0, s.until.Sub(now), s.nextTrial.Sub(now))
}

// CanSend reports whether a request may be sent now.
func (s *State) CanSend(now time.Time) bool { return s.Wait(now) == 0 }

// TrySend is CanSend for a request that is sent at once if the result is true.
func (s *State) TrySend(now time.Time) bool {
	if !s.CanSend(now) {
		return false
	}
	if s.IsActive() {
		s.nextTrial = now.Add(trialInterval)
	}
	return true
}

// Served records that the server did not reject a request that was sent at the given time, and
// reports whether that ends the pause.
func (s *State) Served(sent time.Time) bool {
	if !s.IsActive() || sent.Before(s.until) {
		return false
	}
	*s = State{}
	return true
}
