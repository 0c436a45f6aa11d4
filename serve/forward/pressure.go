package forward

import (
	"math/rand/v2"
	"sync"
	"time"

	"mallowwind.dev/decision/prompts"
	"mallowwind.dev/decision/retryafter"
	"mallowwind.dev/decision/throttle"
)

// pressure is what this daemon has learned of how busy each service is. It is safe
// for concurrent use.
type pressure struct {
	mu       sync.Mutex
	services map[string]*servicePressure
}

// servicePressure is what was learned of one service.
type servicePressure struct {
	pace     prompts.Estimator
	throttle throttle.Throttle
	refusing retryafter.Streak // of refusals by this daemon
}

func newPressure() *pressure { return &pressure{services: map[string]*servicePressure{}} }

// lockService locks what is known of a service; the caller unlocks it.
func (p *pressure) lockService(service string) *servicePressure {
	p.mu.Lock()
	return getOrCreate(p.services, service)
}

// isPrefillTooLate reports whether a prompt cannot be read in the time that is left.
func (p *pressure) isPrefillTooLate(service string, tokens int, left time.Duration) bool {
	defer p.mu.Unlock()
	return p.lockService(service).pace.CannotPrefillWithin(tokens, left)
}

// isAnswerTooLate reports whether an answer cannot be whole in the time that is left, where
// its prompt is still to be read or not.
func (p *pressure) isAnswerTooLate(service string, c Call, unread bool, left time.Duration) bool {
	defer p.mu.Unlock()
	return p.lockService(service).pace.CannotFinishWithin(c.PromptTokens, unread, c.LastEventID, left)
}

// hasEstimates reports whether enough answers were seen to tell which cannot be whole in time.
func (p *pressure) hasEstimates(service string) bool {
	defer p.mu.Unlock()
	return p.lockService(service).pace.HasEnoughAnswers()
}

// learned is what was learned of the engines of a service, here and from others.
func (p *pressure) learned(service string) prompts.Estimates {
	defer p.mu.Unlock()
	return p.lockService(service).pace.Estimates()
}

// mergeEstimates takes in what another daemon learned.
func (p *pressure) mergeEstimates(service string, l prompts.Estimates) {
	defer p.mu.Unlock()
	p.lockService(service).pace.Merge(l)
}

// recordAnswer records a whole answer: the ids of its events from first to last are counted, and
// the time that those after the first took.
func (p *pressure) recordAnswer(service string, events int64, took time.Duration) {
	defer p.mu.Unlock()
	p.lockService(service).pace.ObserveAnswer(events, took)
}

// recordPrompt records that a prompt is to be read.
func (p *pressure) recordPrompt(service string, tokens int) {
	defer p.mu.Unlock()
	p.lockService(service).pace.ObservePrompt(tokens)
}

// recordPrefill records the time that a prompt took to its first event.
func (p *pressure) recordPrefill(service string, tokens int, took time.Duration) {
	defer p.mu.Unlock()
	p.lockService(service).pace.ObservePrefill(tokens, took)
}

// recordDuration records how long an answer took.
func (p *pressure) recordDuration(service string, took time.Duration) {
	defer p.mu.Unlock()
	p.lockService(service).pace.ObserveAnswerTime(took)
}

// admit decides whether a prompt is sent to an engine that reports r.
func (p *pressure) admit(service string, r prompts.Report, tokens int, due time.Duration) prompts.Admission {
	defer p.mu.Unlock()
	return p.lockService(service).pace.Admit(r, tokens, due)
}

// firstEventBudget is how long the first event of a request may still take.
func (p *pressure) firstEventBudget(service string, in *inbound, left time.Duration) time.Duration {
	defer p.mu.Unlock()
	return p.lockService(service).pace.FirstEventBudget(in.call.PromptTokens, in.route.Objective, in.route.Timeout, left)
}

// recordRefusal records that a prompt is refused for want of room. It returns for how long
// that has been so, and how long answers take.
func (p *pressure) recordRefusal(now time.Time, service string) (lasted, answer time.Duration) {
	defer p.mu.Unlock()
	s := p.lockService(service)
	return s.refusing.Extend(now), s.pace.MeanAnswerTime()
}

// throttle reports whether a call is refused because the servers turn calls away,
// and how long that has been so.
func (p *pressure) throttle(now time.Time, service string) (lasted time.Duration, refused bool) {
	defer p.mu.Unlock()
	s := p.lockService(service)
	if !s.throttle.ShouldRefuse(now, rand.Float64()) {
		return 0, false
	}
	return s.refusing.Extend(now), true
}

// isRejecting reports whether the servers of a service turn calls away now.
func (p *pressure) isRejecting(now time.Time, service string) bool {
	defer p.mu.Unlock()
	return p.lockService(service).throttle.IsRefusing(now)
}

// recordCall records what became of a call: taken by a server, or turned away by all tried.
func (p *pressure) recordCall(now time.Time, service string, taken bool) {
	defer p.mu.Unlock()
	s := p.lockService(service)
	if taken {
		s.throttle.RecordAccepted(now)
		return
	}
	s.throttle.RecordRejected(now)
}
