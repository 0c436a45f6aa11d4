package prompts

import "time"

const (
	// leastPart is the part of the shortest reading seen below which a prompt
	// certainly cannot be read: engines of one service differ by a third in speed.
	leastPart = 0.7
	// forget lets the shortest reading grow by a hundredth with each one seen, so
	// that engines that became slower are believed after some seventy prompts.
	forget = 1.01
	// fewAnswers say little of how short answers may be.
	fewAnswers = 5
	// meanWeight is the weight of one request in the means, so that
	// the last dozens count.
	meanWeight = 1.0 / 16
	// besideRuns is how much longer a prompt takes beside running answers than the
	// fastest one seen: a step of ten answers takes a quarter of a chunk's time.
	besideRuns = 1.3
	// halfRead is the part of the prompt being read that is behind it on average.
	halfRead = 0.5
)

// Estimator learns how fast the engines of one service read prompts and make answers.
//
// Load it answers: callers that come back after an outage with little time
// left. Without it their prompts are read for a second each and the answers
// come when nobody waits, while the prompts behind them miss their time too.
// The zero value knows nothing. It is not safe for concurrent use.
type Estimator struct {
	perToken float64 // nanoseconds, of the fastest reading
	tokens   float64 // mean length of the prompts
	answer   float64 // nanoseconds, mean time of the answers from arrival to end
	perEvent float64 // nanoseconds, of the fastest whole answer
	events   float64 // of the shortest whole answer
	answers  int     // whole ones seen
}

// ObservePrompt records that a prompt of so many tokens is to be read; 0 means that its caller
// does not say.
func (p *Estimator) ObservePrompt(tokens int) {
	if tokens <= 0 {
		return
	}
	p.tokens = moved(p.tokens, float64(tokens))
}

// ObserveAnswerTime records that an answer took so long from its request to its end.
func (p *Estimator) ObserveAnswerTime(took time.Duration) { p.answer = moved(p.answer, float64(took)) }

// MeanAnswerTime is how long answers take; 0 before the first.
func (p *Estimator) MeanAnswerTime() time.Duration { return time.Duration(p.answer) }

// moved is a mean with one more value; the first stands for itself.
func moved(mean, value float64) float64 {
	if mean == 0 {
		return value
	}
	return mean + meanWeight*(value-mean)
}

// TimeToFirstEvent is about how long the first event of a prompt takes at an engine that reads
// unread others before it; 0 where no prompt was seen to be read yet.
func (p *Estimator) TimeToFirstEvent(unread, tokens int) time.Duration {
	others := max(float64(unread)-halfRead, 0) * p.tokens
	return time.Duration(besideRuns * p.perToken * (others + float64(tokens)))
}

// ObservePrefill records that the first event of a prompt took so long.
func (p *Estimator) ObservePrefill(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	p.perToken = least(p.perToken, float64(took)/float64(tokens))
}

// least is the smallest value seen with one more; it grows a little with each that is
// larger, so that what does not come any more is forgotten.
func least(known, value float64) float64 {
	if known == 0 || value < known {
		return value
	}
	return min(known*forget, value)
}

// ObserveAnswer records that a whole answer had so many events, and that those after the first
// took so long.
func (p *Estimator) ObserveAnswer(events int64, took time.Duration) {
	if events < 2 || took <= 0 {
		return
	}
	p.answers++
	p.events = least(p.events, float64(events))
	p.perEvent = least(p.perEvent, float64(took)/float64(events-1))
}

// CannotPrefillWithin reports whether a prompt certainly cannot be read in what is left.
func (p *Estimator) CannotPrefillWithin(tokens int, left time.Duration) bool {
	return float64(left) < leastPart*p.perToken*float64(tokens)
}

// CannotFinishWithin reports whether an answer certainly cannot be whole in what is left: not
// if it were shorter by leastPart than the shortest seen lately and made as fast as the
// fastest. have is how many of its events the caller holds; unread says that its prompt of
// so many tokens has to be read first, as no engine is known to hold it.
//
// Load it answers: callers whose connections hung when a VM lost its power, and who come
// back seconds later. Without it engines read prompts and make answers of which nobody
// gets the end, and the callers wait for that until their time is over.
func (p *Estimator) CannotFinishWithin(tokens int, unread bool, have int64, left time.Duration) bool {
	if p.answers < fewAnswers {
		return false
	}
	need := p.perEvent * max(leastPart*p.events-float64(have), 0)
	if unread {
		need += leastPart * p.perToken * float64(tokens)
	}
	return float64(left) < need
}

// HasEnoughAnswers reports whether enough answers were seen to tell which cannot be whole in time.
func (p *Estimator) HasEnoughAnswers() bool { return p.answers >= fewAnswers }

// Estimates is what a daemon tells others of the engines of a service: of the fastest
// reading and the fastest and shortest whole answers, and how many of those it saw.
type Estimates struct {
	PrefillNsPerToken, NsPerEvent float64 // nanoseconds
	Events                        float64
	Answers                       int
}

// Estimates returns what was seen here and heard from others.
func (p *Estimator) Estimates() Estimates {
	return Estimates{PrefillNsPerToken: p.perToken, NsPerEvent: p.perEvent, Events: p.events, Answers: p.answers}
}

// Merge takes in what another daemon learned. What makes no sense is left out.
//
// Load it answers: hundreds of daemons that started at once. Each sees an answer in
// several seconds, and would know nothing when callers come back with little time left,
// although all together have seen hundreds.
func (p *Estimator) Merge(l Estimates) {
	if !(l.NsPerEvent > 0) || !(l.Events > 0) || l.Answers <= 0 {
		return
	}
	p.answers += l.Answers
	p.perEvent = least(p.perEvent, l.NsPerEvent)
	p.events = least(p.events, l.Events)
	if l.PrefillNsPerToken > 0 {
		p.perToken = least(p.perToken, l.PrefillNsPerToken)
	}
}
