package prompts

import "time"

const (
	// lowerBoundRatio scales the fastest prefill and the shortest answer observed down to a bound
	// that no engine beats: the engines of one service differ by a third in speed. Where they differ
	// more (package pace), it bounds the fastest one observed, so that no prompt is judged too late too
	// early.
	lowerBoundRatio = 0.7
	// minGrowthFactor raises an observed minimum by one percent with each larger observation, so
	// that the estimate follows engines that became slower after about seventy prompts.
	minGrowthFactor = 1.01
	// minAnswerCount is the number of complete answers below which their shortest length is not
	// relied on.
	minAnswerCount = 5
	// ewmaWeight is the weight of one request in the moving averages, which so cover the last few
	// dozen requests.
	ewmaWeight = 1.0 / 16
	// batchSlowdownRatio is the prefill time beside running answers relative to the fastest prefill
	// observed: a decode step of ten answers takes a quarter of the time of a prefill chunk.
	batchSlowdownRatio = 1.3
	// meanPrefilledRatio is the share of the prompt in prefill that is already done on average.
	meanPrefilledRatio = 0.5
)

// Estimator learns how fast the engines of one service prefill prompts and decode answers.
//
// Load pattern: callers retry after an outage with little of their timeout left. Without the
// estimates, engines spend a second of prefill on each of their prompts, the answers come after
// the callers gave up, and the prompts queued behind them miss their deadlines too.
//
// The zero value has no observations. It is not safe for concurrent use.
type Estimator struct {
	minPrefillNsPerToken float64 // of the fastest prefill
	maxPrefillTokens     float64 // of the longest prompt prefilled
	meanPromptTokens     float64
	meanAnswerNs         float64 // from arrival of the request to the end of the answer
	minNsPerEvent        float64 // of the fastest complete answer
	minEvents            float64 // of the shortest complete answer
	minEventsPerToken    float64 // of complete answers, by the tokens that their requests allowed
	answerCount          int     // complete answers observed
}

// ObservePrompt records the length of a prompt to be prefilled; 0 means that the caller did not
// state it.
func (e *Estimator) ObservePrompt(tokens int) {
	if tokens <= 0 {
		return
	}
	e.meanPromptTokens = ewma(e.meanPromptTokens, float64(tokens))
}

// MeanPromptTokens returns the moving average of prompt lengths; 0 before the first observation.
func (e *Estimator) MeanPromptTokens() int { return int(e.meanPromptTokens) }

// ObserveAnswerTime records the time of an answer from its request to its end.
func (e *Estimator) ObserveAnswerTime(took time.Duration) {
	e.meanAnswerNs = ewma(e.meanAnswerNs, float64(took))
}

// MeanAnswerTime returns the moving average of answer times; 0 before the first observation.
func (e *Estimator) MeanAnswerTime() time.Duration { return time.Duration(e.meanAnswerNs) }

// ewma adds a value to an exponentially weighted moving average; the first value is the average.
func ewma(mean, value float64) float64 {
	if mean == 0 {
		return value
	}
	return mean + ewmaWeight*(value-mean)
}

// TimeToFirstEvent estimates the time to the first event of a prompt at an engine with so many
// pending prompts before it; 0 while no prefill has been observed.
func (e *Estimator) TimeToFirstEvent(pending, tokens int) time.Duration {
	pendingTokens := max(float64(pending)-meanPrefilledRatio, 0) * e.meanPromptTokens
	return time.Duration(batchSlowdownRatio * e.minPrefillNsPerToken * (pendingTokens + float64(tokens)))
}

// leastPrefillNs returns the time of the fastest prefill of a prompt in nanoseconds, by the rate observed. A
// part of each prefill does not grow with the prompt, so that the rate of short prompts says nothing of
// longer ones but that they take as long at least.
func (e *Estimator) leastPrefillNs(tokens int) float64 {
	return e.minPrefillNsPerToken * min(float64(tokens), e.maxPrefillTokens)
}

// ObservePrefill records the time from sending a prompt to its first event.
func (e *Estimator) ObservePrefill(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	e.minPrefillNsPerToken = decayingMin(e.minPrefillNsPerToken, float64(took)/float64(tokens))
	e.maxPrefillTokens = max(e.maxPrefillTokens, float64(tokens))
}

// decayingMin adds a value to a running minimum. The minimum grows by minGrowthFactor with each
// larger value, so that values that no longer occur are forgotten.
func decayingMin(known, value float64) float64 {
	if known == 0 || value < known {
		return value
	}
	return min(known*minGrowthFactor, value)
}

// ObserveAnswer records the number of events of a complete answer, the number of tokens that its request
// allowed, 0 if it stated none, and the time of the events after the first.
func (e *Estimator) ObserveAnswer(events int64, maxTokens int, took time.Duration) {
	if events < 2 || took <= 0 {
		return
	}
	e.answerCount++
	if maxTokens > 0 {
		e.minEventsPerToken = decayingMin(e.minEventsPerToken, float64(events)/float64(maxTokens))
	}
	e.minEvents = decayingMin(e.minEvents, float64(events))
	e.minNsPerEvent = decayingMin(e.minNsPerEvent, float64(took)/float64(events-1))
}

// CannotPrefillWithin reports whether no engine can prefill the prompt in the remaining time.
func (e *Estimator) CannotPrefillWithin(tokens int, remaining time.Duration) bool {
	return float64(remaining) < lowerBoundRatio*e.leastPrefillNs(tokens)
}

// Answer describes an answer that has to be completed.
type Answer struct {
	PromptTokens int
	// NeedsPrefill says that no engine is known to hold the prompt, so that it has to be prefilled first.
	NeedsPrefill bool
	// MaxTokens is the number of tokens that the request allows; 0 if it states none.
	MaxTokens int
	// Received is how many events the caller holds.
	Received int64
}

// CannotFinishWithin reports whether no engine can complete the answer in the remaining time, even
// if the answer has only lowerBoundRatio times the events of the shortest recent one, or of those that
// its request allows, and is decoded as fast as the fastest.
//
// Load pattern: a VM loses power, its callers' connections hang, and the callers retry seconds
// later. Without this check, engines prefill and decode for callers that time out before the end
// of the answer, and these callers wait until then instead of being refused at once.
func (e *Estimator) CannotFinishWithin(a Answer, remaining time.Duration) bool {
	if e.answerCount < minAnswerCount {
		return false
	}
	events := e.minEvents
	if a.MaxTokens > 0 && e.minEventsPerToken > 0 {
		events = min(events, e.minEventsPerToken*float64(a.MaxTokens))
	}
	need := e.minNsPerEvent * max(lowerBoundRatio*events-float64(a.Received), 0)
	if a.NeedsPrefill {
		need += lowerBoundRatio * e.leastPrefillNs(a.PromptTokens)
	}
	return float64(remaining) < need
}

// HasEnoughAnswers reports whether enough complete answers were observed for CannotFinishWithin.
func (e *Estimator) HasEnoughAnswers() bool { return e.answerCount >= minAnswerCount }

// Estimates is what a daemon reports to other daemons about the engines of a service: the fastest
// prefill and the length of the longest prompt, the rate of the fastest and the length of the shortest
// complete answer, and the number of complete answers observed.
type Estimates struct {
	PrefillNsPerToken, PrefillTokens float64
	NsPerEvent                       float64
	Events, EventsPerToken           float64
	Answers                          int
}

// Estimates returns the estimates from this daemon's observations and those merged from others.
func (e *Estimator) Estimates() Estimates {
	return Estimates{
		PrefillNsPerToken: e.minPrefillNsPerToken, PrefillTokens: e.maxPrefillTokens,
		NsPerEvent: e.minNsPerEvent, Events: e.minEvents, EventsPerToken: e.minEventsPerToken, Answers: e.answerCount,
	}
}

// Merge adds the estimates of another daemon. Invalid values are ignored.
//
// Load pattern: hundreds of daemons start at once. Each observes one answer in several seconds, so
// that none has enough when callers retry with little time left, although all daemons together
// have observed hundreds.
func (e *Estimator) Merge(other Estimates) {
	if !(other.NsPerEvent > 0) || !(other.Events > 0) || other.Answers <= 0 {
		return
	}
	e.answerCount += other.Answers
	e.minNsPerEvent = decayingMin(e.minNsPerEvent, other.NsPerEvent)
	e.minEvents = decayingMin(e.minEvents, other.Events)
	if other.EventsPerToken > 0 {
		e.minEventsPerToken = decayingMin(e.minEventsPerToken, other.EventsPerToken)
	}
	if other.PrefillNsPerToken > 0 && other.PrefillTokens > 0 {
		e.minPrefillNsPerToken = decayingMin(e.minPrefillNsPerToken, other.PrefillNsPerToken)
		e.maxPrefillTokens = max(e.maxPrefillTokens, other.PrefillTokens)
	}
}
