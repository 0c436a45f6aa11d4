package poison

import "time"

const (
	// firstTrialDelay is the time from a refusal to its first trial. It is longer than the servers of a
	// service take to come back together.
	firstTrialDelay = 10 * time.Second
	// trialDelayFactor is by how much the delay grows with each trial, and maxTrialDelay its bound: three
	// trials in three hours, eight a day from then on.
	trialDelayFactor = 10
	maxTrialDelay    = 3 * time.Hour
)

// Trials is the history of a refusal: a request that is refused is sent to one server from time to time, since
// servers may have crashed for other reasons. A complete answer lifts the refusal. A request that does
// crash servers costs one of them for each trial.
type Trials struct {
	Count int       // trials so far
	Last  time.Time // the last one, or the refusal if there was none
}

// IsDue reports whether the refused request may be tried.
func (t Trials) IsDue(now time.Time) bool {
	delay := firstTrialDelay
	for range t.Count {
		delay = min(delay*trialDelayFactor, maxTrialDelay)
	}
	return now.Sub(t.Last) >= delay
}
