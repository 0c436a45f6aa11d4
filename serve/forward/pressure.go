package forward

import (
	"math/rand/v2"
	"sync"
	"time"

	"mallowwind.dev/decision/prompts"
	"mallowwind.dev/decision/refill"
	"mallowwind.dev/decision/retryafter"
	"mallowwind.dev/decision/throttle"
)

// pressure tracks how busy each service is, as seen by this daemon. It is safe for concurrent use.
type pressure struct {
	mu       sync.Mutex
	services map[string]*servicePressure
}

// servicePressure is the state of one service.
type servicePressure struct {
	pace     prompts.Estimator
	throttle throttle.Throttle
	refusals retryafter.Streak // requests refused by this daemon
	room     retryafter.Room   // of prompts, where requests differ in priority
	losses   refill.Losses     // likewise
	// answerTriedAt is when an answer was tried last although it seemed to be too late.
	answerTriedAt time.Time
}

// answerTrialInterval is the least time between two such trials. Each may cost a prefill in vain.
const answerTrialInterval = 10 * time.Second

func newPressure() *pressure { return &pressure{services: map[string]*servicePressure{}} }

// lockService locks and returns the state of a service; the caller unlocks p.mu.
func (p *pressure) lockService(service string) *servicePressure {
	p.mu.Lock()
	return getOrCreate(p.services, service)
}

// isPrefillTooLate reports whether a prompt cannot be prefilled in the remaining time.
func (p *pressure) isPrefillTooLate(service string, tokens int, left time.Duration) bool {
	defer p.mu.Unlock()
	return p.lockService(service).pace.CannotPrefillWithin(tokens, left)
}

// isAnswerTooLate reports whether an answer cannot be complete in the remaining time. unread says
// that its prompt still has to be prefilled.
func (p *pressure) isAnswerTooLate(service string, c Call, unread bool, left time.Duration) bool {
	defer p.mu.Unlock()
	answer := prompts.Answer{PromptTokens: c.PromptTokens, NeedsPrefill: unread, MaxTokens: c.MaxAnswerTokens, Received: c.LastEventID}
	return p.lockService(service).pace.CannotFinishWithin(answer, left)
}

// tryAnswer reports whether an answer that seems to be too late is tried all the same, because the bound
// may be that of longer ones. Answers are tried at a bounded rate.
func (p *pressure) tryAnswer(now time.Time, service string) bool {
	defer p.mu.Unlock()
	s := p.lockService(service)
	if now.Sub(s.answerTriedAt) < answerTrialInterval {
		return false
	}
	s.answerTriedAt = now
	return true
}

// hasEstimates reports whether enough answers were seen to tell which cannot be complete in time.
func (p *pressure) hasEstimates(service string) bool {
	defer p.mu.Unlock()
	return p.lockService(service).pace.HasEnoughAnswers()
}

// estimates returns what this daemon and its peers learned of a service's engines.
func (p *pressure) estimates(service string) prompts.Estimates {
	defer p.mu.Unlock()
	return p.lockService(service).pace.Estimates()
}

// mergeEstimates merges the estimates of another daemon.
func (p *pressure) mergeEstimates(service string, l prompts.Estimates) {
	defer p.mu.Unlock()
	p.lockService(service).pace.Merge(l)
}

// recordAnswer records a complete answer: its number of events, counted by their ids, and the time
// from the first event to the last.
func (p *pressure) recordAnswer(service string, events int64, maxTokens int, took time.Duration) {
	defer p.mu.Unlock()
	p.lockService(service).pace.ObserveAnswer(events, maxTokens, took)
}

// recordPrompt records that a prompt is to be prefilled.
func (p *pressure) recordPrompt(service string, tokens int) {
	defer p.mu.Unlock()
	p.lockService(service).pace.ObservePrompt(tokens)
}

// recordPrefill records the time from sending a prompt to its first event.
func (p *pressure) recordPrefill(service string, tokens int, took time.Duration) {
	defer p.mu.Unlock()
	p.lockService(service).pace.ObservePrefill(tokens, took)
}

// recordDuration records the duration of an answer.
func (p *pressure) recordDuration(service string, took time.Duration) {
	defer p.mu.Unlock()
	p.lockService(service).pace.ObserveAnswerTime(took)
}

// admit decides whether a prompt is sent to an engine that reports r.
func (p *pressure) admit(service string, r prompts.Report, tokens int, due time.Duration) prompts.Admission {
	defer p.mu.Unlock()
	return p.lockService(service).pace.Admit(r, tokens, due)
}

// firstEventBudget returns how long the first event of a request may still take.
func (p *pressure) firstEventBudget(service string, in *inbound, left time.Duration) time.Duration {
	defer p.mu.Unlock()
	return p.lockService(service).pace.FirstEventBudget(in.call.PromptTokens, in.route.Objective, in.route.Timeout, left)
}

// recordRefusal records that a request is refused for lack of capacity. It returns how long
// requests have been refused, and how long answers take.
func (p *pressure) recordRefusal(now time.Time, service string) (lasted, answer time.Duration) {
	defer p.mu.Unlock()
	s := p.lockService(service)
	return s.refusals.Extend(now), s.pace.MeanAnswerTime()
}

// throttle decides whether a call is refused because the servers reject calls, and returns for how
// long calls have been refused.
func (p *pressure) throttle(now time.Time, service string) (lasted time.Duration, refused bool) {
	defer p.mu.Unlock()
	s := p.lockService(service)
	if !s.throttle.ShouldRefuse(now, rand.Float64()) {
		return 0, false
	}
	return s.refusals.Extend(now), true
}

// isRejecting reports whether the servers of a service currently reject calls.
func (p *pressure) isRejecting(now time.Time, service string) bool {
	defer p.mu.Unlock()
	return p.lockService(service).throttle.IsRefusing(now)
}

// recordCall records the outcome of a call: accepted by a server, or rejected by all servers tried.
func (p *pressure) recordCall(now time.Time, service string, accepted bool) {
	defer p.mu.Unlock()
	s := p.lockService(service)
	if accepted {
		s.throttle.RecordAccepted(now)
		return
	}
	s.throttle.RecordRejected(now)
}
