package headroom

import "time"

// CopyDecision says whether a run gets a copy of its KV cache at an engine, or why not.
type CopyDecision uint8

// The decisions.
const (
	// CopyKept means that the run gets the copy.
	CopyKept CopyDecision = iota
	// CopyNoRoom means that the engine has no slot or memory for the copy.
	CopyNoRoom
	// CopyHeadroom means that the copy would use up room kept for more urgent prompts.
	CopyHeadroom
	// CopyCheap means that memory is scarce and a second prefill of the prompt would be cheap.
	CopyCheap
	// CopyEnding means that memory is scarce and the run is about to end.
	CopyEnding
)

// String returns the name used in logs and metrics.
func (d CopyDecision) String() string {
	return [...]string{"kept", "no_room", "headroom", "cheap", "ending"}[d]
}

const (
	// scarceRatio is the part of an engine's memory above which memory counts as scarce. It leaves
	// room for one or two copies up to maxCopyRatio.
	scarceRatio = 0.6
	// maxCopyRatio is the part above which an engine gets no copy of a less urgent run, and
	// maxUrgentCopyRatio that for the most urgent ones. Between them is room for one copy. Copies
	// grow after they were placed, and reports lag.
	maxCopyRatio       = 0.75
	maxUrgentCopyRatio = 0.85
	// cheapRatio is the length of a prompt relative to the mean below which a second prefill counts
	// as cheap: it takes about as long as a pause of a stream may.
	cheapRatio = 0.5
)

// Run is a run that may get a copy.
type Run struct {
	// Tokens is the length of its prompt.
	Tokens int
	// Urgent is set for a run that may use what is reserved for urgent ones (Demand.IsUrgent).
	Urgent bool
	// Remaining is the time until the run is expected to end; 0 if unknown.
	Remaining time.Duration
	// Prefill is the time that a second prefill of the prompt takes; 0 if unknown.
	Prefill time.Duration
}

// KeepsCopy decides whether a run gets a copy at an engine now.
func (p Prompts) KeepsCopy(e Engine, run Run) CopyDecision {
	filled := e.fillRatio(run.Tokens)
	limit := maxCopyRatio
	if run.Urgent {
		limit = maxUrgentCopyRatio
	}
	switch {
	case filled > limit || e.Slots > 0 && e.occupiedSlots(p.MeanTokens) >= e.Slots:
		return CopyNoRoom
	case !p.HasRoom(e, run.Tokens):
		if p.Kept(e) == 0 {
			return CopyNoRoom
		}
		return CopyHeadroom
	case filled <= scarceRatio:
		return CopyKept
	case run.Remaining > 0 && run.Remaining < run.Prefill:
		return CopyEnding
	case !run.Urgent && float64(run.Tokens) < cheapRatio*float64(p.MeanTokens):
		return CopyCheap
	}
	return CopyKept
}

// fillRatio returns the part of the engine's memory that is used with so many more tokens.
func (e Engine) fillRatio(tokens int) float64 {
	if e.CapacityTokens == 0 {
		return 0
	}
	return float64(e.UsedTokens+tokens) / float64(e.CapacityTokens)
}
