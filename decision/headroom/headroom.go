// Package headroom decides how much of an engine is kept free for more urgent prompts, and which
// runs get a copy of their KV cache while memory is scarce.
//
// Load pattern: the streams of a service differ in priority, and less urgent prompts arrive for
// some seconds faster than engines complete their answers.
//
// Without it, less urgent prompts and copies of their runs occupy every slot and all memory. An
// urgent prompt that arrives then waits at an engine until a run ends, several seconds, although no
// engine has failed. Copies that an engine can't hold are dropped silently, and which runs lose
// their copy is left to chance.
//
// Decision: an engine keeps free the share of its runs that observed more urgent prompts
// have, less those of them that run there already, and room for at least one. A rank of which no
// prompt was seen for some seconds counts nothing, and at most a quarter of an engine is kept free, so
// that less urgent prompts are always served. Nothing is kept free if most of the prompts are more
// urgent. An engine without work takes any prompt.
package headroom

import "math"

const (
	// maxKeptRatio is the largest part of the runs of an engine for which room is kept free, if that is
	// more than one. Runs end one by one, so that little room suffices also where most prompts are
	// urgent, and less urgent prompts must not be refused while urgent ones have room.
	maxKeptRatio = 0.25
	// maxHeadroomShare is the largest share of more urgent prompts for which room is kept. Urgent
	// prompts that are most of all can fill the kept room by themselves, so that they gain nothing
	// from refusals of the few others.
	maxHeadroomShare = 0.5
	// largestPromptRatio is the length of the largest prompts relative to the mean. Prompts of one
	// service are up to about twice as long as the mean.
	largestPromptRatio = 1.8
)

// Engine is the load of an engine, as it reports it and as far as other daemons' reserved prompts
// are known.
type Engine struct {
	// Slots is the number of runs and copies that the engine can hold; 0 if unknown.
	Slots int
	// Running counts runs that decode, Pending the prompts in prefill, queued or reserved.
	Running, Pending int
	// MoreUrgent counts those of them that are more urgent than the prompt to be placed.
	MoreUrgent int
	// CopyTokens is the memory taken by copies of runs at other engines, and Copies the number
	// of copies that are known. UsedTokens includes CopyTokens.
	CopyTokens, Copies int
	// UsedTokens and CapacityTokens are those of the KV cache; CapacityTokens is 0 if unknown.
	UsedTokens, CapacityTokens int
}

// Prompts describes the prompts of a service.
type Prompts struct {
	// MeanTokens is the mean length of prompts; 0 if unknown.
	MeanTokens int
	// UrgentShare is the share of prompts that are more urgent than the one to be placed; 0 if none
	// was seen recently.
	UrgentShare float64
}

// isIdle reports whether the engine has no work.
func (e Engine) isIdle() bool {
	return e.Running == 0 && e.Pending == 0 && e.Copies == 0 && e.CopyTokens == 0
}

// copies returns the number of copies at the engine: those known, or more if the memory that is
// taken by no run says so.
func (e Engine) copies(meanTokens int) int {
	if meanTokens <= 0 {
		return e.Copies
	}
	return max(e.Copies, int(math.Round(float64(e.CopyTokens)/float64(meanTokens))))
}

// occupiedSlots returns the slots that are occupied or about to be.
func (e Engine) occupiedSlots(meanTokens int) int {
	return e.Running + e.Pending + e.copies(meanTokens)
}

// expectedTokens returns the memory used once the pending prompts are prefilled.
func (e Engine) expectedTokens(meanTokens int) int { return e.UsedTokens + e.Pending*meanTokens }

// runsHeld returns how many runs of mean length the engine can hold; 0 if unknown.
func (e Engine) runsHeld(meanTokens int) int {
	held := e.Slots
	if meanTokens > 0 && e.CapacityTokens > 0 {
		if inMemory := e.CapacityTokens / meanTokens; held == 0 || inMemory < held {
			held = inMemory
		}
	}
	return held
}

// Kept returns the number of prompts for which an engine keeps room free.
func (p Prompts) Kept(e Engine) int {
	if !(p.UrgentShare > 0) || p.UrgentShare > maxHeadroomShare {
		return 0
	}
	held := e.runsHeld(p.MeanTokens)
	if held < 2 {
		return 0 // the engine would be kept free altogether
	}
	kept := math.Ceil(p.UrgentShare*float64(held)) - float64(e.MoreUrgent)
	return max(1, int(min(kept, maxKeptRatio*float64(held))))
}

// HasRoom reports whether the engine has a slot and memory for a prompt now, beside the room that it
// keeps free for more urgent prompts.
func (p Prompts) HasRoom(e Engine, tokens int) bool {
	if e.isIdle() {
		return true
	}
	kept := p.Kept(e)
	if e.Slots > 0 && e.occupiedSlots(p.MeanTokens)+1+kept > e.Slots {
		return false
	}
	return e.CapacityTokens == 0 || e.expectedTokens(p.MeanTokens)+tokens+p.keptTokens(e, kept) <= e.CapacityTokens
}

// keptTokens returns the memory that an engine keeps free for so many prompts, of which one may be of
// the largest. It is at most maxKeptRatio of the engine, and enough for a prompt of mean length.
func (p Prompts) keptTokens(e Engine, kept int) int {
	if kept == 0 {
		return 0
	}
	mean := float64(p.MeanTokens)
	return int(min((float64(kept-1)+largestPromptRatio)*mean, max(mean, maxKeptRatio*float64(e.CapacityTokens))))
}
