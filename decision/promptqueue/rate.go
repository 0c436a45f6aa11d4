package promptqueue

import "time"

const (
	// minLookInterval and maxLookInterval bound the time between two looks for room. Reports of
	// engines are 200 to 300 ms old, so looking more often learns little. An engine stays empty for
	// half an interval on average, which is short compared with a run.
	minLookInterval = 100 * time.Millisecond
	maxLookInterval = 400 * time.Millisecond
	// looksPerStart is the number of looks for each start of a daemon whose prompts start in quick
	// succession, and minBusyInterval the shortest time between two. A daemon with a large part of the
	// fleet's prompts would otherwise leave engines empty. A look is about ten queries, so that the
	// shortest interval means 200 queries a second, as many as a VM with a seventh of a core can send.
	looksPerStart   = 2
	minBusyInterval = 50 * time.Millisecond
	// promptsPerInterval is the number of waiting prompts beyond which a daemon looks more often, or
	// the prompts of daemons where few wait would start long before those where many do.
	promptsPerInterval = 2
	// looksPerSlack is the number of looks in the remaining slack: the less time is left, the more
	// often a prompt looks.
	looksPerSlack = 16
	// lookJitterRatio is the width of the interval over which looks are spread, relative to the
	// interval. Prompts that found no room at the same time must not look again at the same time.
	lookJitterRatio = 0.5
	// startWeight is the weight of one start in the moving average of the time between starts.
	startWeight = 1.0 / 4
	// minStarts is the number of starts below which their rate is not relied on.
	minStarts = 3
	// rateTTL is how long the rate of starts is relied on once no prompt waits any more: about as long
	// as a run takes, after which the engines hold other runs.
	rateTTL = 10 * time.Second
)

// startRate measures the time between two starts of prompts while prompts wait.
type startRate struct {
	since time.Time // of the last start, or when the first prompt began to wait
	mean  time.Duration
	count int
}

// resume begins a new period in which prompts wait. The rate of a period long ago does not apply.
func (s *startRate) resume(now time.Time) {
	if now.Sub(s.since) > rateTTL {
		s.count = 0
	}
	s.since = now
}

func (s *startRate) observe(now time.Time) {
	took := now.Sub(s.since)
	if s.count == 0 {
		s.mean = took
	}
	s.mean += time.Duration(startWeight * float64(took-s.mean))
	s.since = now
	s.count++
}

// interval returns the expected time between two starts, 0 if it is unknown.
func (s *startRate) interval(now time.Time) time.Duration {
	if s.count < minStarts {
		return 0
	}
	return max(s.mean, now.Sub(s.since))
}

// LookInterval returns the time until a prompt looks for room again that found none. draw is in
// [0, 1).
func (q *Queue) LookInterval(now time.Time, p *Prompt, draw float64) time.Duration {
	interval := min(max(p.Slack(now)/looksPerSlack, minLookInterval), maxLookInterval)
	shortest := minLookInterval
	if starts := q.rate.interval(now); starts > 0 {
		shortest = min(shortest, max(starts/looksPerStart, minBusyInterval))
	}
	if q.count > promptsPerInterval {
		interval = max(interval*promptsPerInterval/time.Duration(q.count), shortest)
	}
	return time.Duration(float64(interval) * (1 - lookJitterRatio/2 + lookJitterRatio*draw))
}
