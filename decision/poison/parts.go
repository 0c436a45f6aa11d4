package poison

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// This file detects parts of prompts that crash the servers which begin to answer a prompt with them.
//
// Load pattern: requests that are all unlike each other share one part of their prompts, and each of
// them crashes every server that begins to answer it. Sound requests share all other parts with them,
// some of which are common to a whole route.
//
// Without this decision each of these requests is a new one that crashes servers until it is
// refused by itself, and most servers are down for as long as such requests come.
//
// Decision: a termination that is attributed to a request is counted against each shared part of its
// prompt. A survival of a part clears the earlier terminations, so that a common part is cleared by
// the sound requests that have it. A part is found to crash servers if several of them terminated
// under several requests with it, at different moments, and none kept running since. A part that
// servers have survived before takes more of them, and needs another prompt to survive meanwhile:
// when all prompts fail, the cause is not a part. It takes more as well while no survival of any part
// is known, since every part seems new then. A part that many prompts share counts as clear as long as
// a narrower one accounts for three quarters of its terminations, or for a third of them while nothing
// survives. Before a part is refused, the survivals of all parts that its prompts share are asked for:
// those of some of them alone make the others look worse than they are. Parts that were
// always together are found together, and only prompts with all of them are refused: a prompt with
// one of them will show which it is. Terminations that a refusal explains count against no other part.

const (
	// minCrashedRequests is how many different requests with a part must have crashed servers. A
	// request that crashes servers whatever its parts is one.
	minCrashedRequests = 3
	// minCrashes is how many servers must have terminated under requests with a part that none is
	// known to have survived, and minCrashesSurvived under those with another part.
	minCrashes         = 3
	minCrashesSurvived = 5
	// minCrashSpan is the time between the first and the last of these terminations, and
	// minCrashSpanSurvived the same for a part that servers have survived before: servers that
	// terminate at the same moment have one cause, which need not be a part.
	minCrashSpan         = 500 * time.Millisecond
	minCrashSpanSurvived = time.Second
	// sameMoment is the time between terminations that may have one cause. It covers the time in
	// which the daemons find out about them.
	sameMoment = 100 * time.Millisecond
	// survivalDelay is the time until a survival that began before the last termination is known to
	// all daemons.
	survivalDelay = crashWindow + 100*time.Millisecond
	// suspectRequests and suspectCrashes make a part suspect. suspectCrashesSurvived applies to a
	// part that servers have survived before.
	suspectRequests        = 2
	suspectCrashes         = 2
	suspectCrashesSurvived = minCrashesSurvived - 1
	// minNarrowerPercent is the share of a part's servers that a narrower cause must account for, and
	// minNarrowerPercentNoSurvival the same while nothing survives. A part that half of the prompts
	// with the cause have by chance stays below the former.
	minNarrowerPercent           = 75
	minNarrowerPercentNoSurvival = 33
	// clearedRetention is how long a termination is kept that counts against no part.
	clearedRetention = 5 * time.Second
	// maxPromptCrashes bounds the terminations kept for parts of prompts.
	maxPromptCrashes = 512
)

// CrashWindow is the time after its first event within which a request may have crashed its server.
const CrashWindow = crashWindow

// PromptCrash is a termination of a server that is attributed to a request with a prompt.
type PromptCrash[K comparable] struct {
	Server K        // incarnation of the server
	Digest string   // of the request
	Parts  []string // shared parts of the prompt, in order
	At     time.Time
	// Account and Route are those of the request.
	Account, Route string
}

// PartLedger holds the terminations of servers under prompts with shared parts, and the survivals
// of these parts. The zero value is empty. It is not safe for concurrent use.
type PartLedger[K comparable] struct {
	crashes   []PromptCrash[K] // oldest first
	survivals Survivals
	explained map[K]time.Time // terminations caused by a refused part, by server
}

// RecordSurvival records a survival of a part.
func (l *PartLedger[K]) RecordSurvival(part string, begun time.Time) {
	l.survivals.Record(part, begun)
}

// RecordCrash records a termination. It reports whether the termination is new and not explained.
func (l *PartLedger[K]) RecordCrash(c PromptCrash[K]) bool {
	if _, explained := l.explained[c.Server]; explained || len(c.Parts) == 0 {
		return false
	}
	for _, known := range l.crashes {
		if known.Server == c.Server && known.Digest == c.Digest {
			return false
		}
	}
	l.expire(c.At)
	if len(l.crashes) >= maxPromptCrashes {
		l.crashes = slices.Delete(l.crashes, 0, 1)
	}
	at, _ := slices.BinarySearchFunc(l.crashes, c.At, func(other PromptCrash[K], t time.Time) int { return other.At.Compare(t) })
	l.crashes = slices.Insert(l.crashes, at, c)
	return true
}

// Explain records that prompts with all of some parts are refused: the servers that terminated under
// them no longer count against any part.
func (l *PartLedger[K]) Explain(parts []string) {
	for _, c := range slices.Clone(l.crashes) {
		if ContainsAll(c.Parts, parts) {
			l.ExplainServer(c.Server, c.At)
		}
	}
}

// ContainsAll reports whether the parts of a prompt include all of some others.
func ContainsAll(prompt, parts []string) bool {
	return !slices.ContainsFunc(parts, func(part string) bool { return !slices.Contains(prompt, part) })
}

// ExplainServer records that a termination counts against no part.
func (l *PartLedger[K]) ExplainServer(server K, at time.Time) {
	if l.explained == nil {
		l.explained = map[K]time.Time{}
	}
	l.explained[server] = at
	l.crashes = slices.DeleteFunc(l.crashes, func(c PromptCrash[K]) bool { return c.Server == server })
}

// expire drops old terminations, and those that count against no part any more unless others of the
// same moment may still be reported.
func (l *PartLedger[K]) expire(now time.Time) {
	l.crashes = slices.DeleteFunc(l.crashes, func(c PromptCrash[K]) bool {
		age := now.Sub(c.At)
		return age >= retention || age >= clearedRetention && l.isCleared(c)
	})
	for server, at := range l.explained {
		if now.Sub(at) >= retention {
			delete(l.explained, server)
		}
	}
}

// isCleared reports whether all parts of a prompt survived after a termination.
func (l *PartLedger[K]) isCleared(c PromptCrash[K]) bool {
	return !slices.ContainsFunc(c.Parts, func(part string) bool {
		survived, _ := l.survivals.Last(part)
		return !survived.After(c.At)
	})
}

// PartFinding is what the terminations say of a part.
type PartFinding uint8

// The findings, from the least to the most certain.
const (
	PartClear    PartFinding = iota
	PartSuspect              // requests with it that crashed a server are not sent again
	PartPending              // it crashes servers unless a survival becomes known in time
	PartCrashing             // it crashes servers
)

// PartReport is the finding on parts that were always together, with its reasons.
type PartReport[K comparable] struct {
	Parts   []string
	Finding PartFinding
	// Shared are all parts that the prompts with Parts have in common, those included.
	Shared []string
	// Survived is set if servers are known to have survived the parts, before these terminations.
	Survived bool
	// Servers terminated under Requests different requests with the parts, from First to Last.
	Servers     []K
	Requests    int
	First, Last time.Time
	// Account and Route are those of one of the requests.
	Account, Route string
	crashes        []int // indices in the ledger, ascending
}

// Assess returns the reports on all parts that are suspect or worse. The first one is the most likely
// cause.
func (l *PartLedger[K]) Assess(now time.Time) (reports []PartReport[K]) {
	all := groupByCrashes(l.blameParts())
	for _, r := range all {
		l.complete(now, r)
	}
	for _, r := range all {
		if r.Finding == PartClear || r.mayHaveNarrowerCause(all, l.minNarrowerPercent(r)) {
			continue
		}
		report := *r
		report.Parts = slices.Concat(r.Parts, r.companions(all))
		reports = append(reports, report)
	}
	slices.SortFunc(reports, PartReport[K].compare)
	return reports
}

// blameParts returns a report with the terminations that count against it for each part, in the order
// of their prompts.
func (l *PartLedger[K]) blameParts() (parts []*PartReport[K]) {
	byPart := map[string]*PartReport[K]{}
	m := newMoment[K]()
	for i, c := range l.crashes {
		m.moveTo(l.crashes, i)
		for _, part := range c.Parts {
			survived, ok := l.survivals.Last(part)
			if survived.After(c.At) || !m.isTypical(part) {
				continue
			}
			r := byPart[part]
			if r == nil {
				r = &PartReport[K]{Parts: []string{part}, Survived: ok}
				byPart[part], parts = r, append(parts, r)
			}
			r.crashes = append(r.crashes, i)
		}
	}
	return parts
}

// groupByCrashes joins the reports on parts with the same terminations.
func groupByCrashes[K comparable](parts []*PartReport[K]) (groups []*PartReport[K]) {
	byCrashes := map[string]*PartReport[K]{}
	for _, r := range parts {
		key := fmt.Sprint(r.Survived, r.crashes)
		if group := byCrashes[key]; group != nil {
			group.Parts = append(group.Parts, r.Parts...)
			continue
		}
		byCrashes[key], groups = r, append(groups, r)
	}
	return groups
}

// complete fills in what follows from the terminations of a report.
func (l *PartLedger[K]) complete(now time.Time, r *PartReport[K]) {
	first, last := l.crashes[r.crashes[0]], l.crashes[r.crashes[len(r.crashes)-1]]
	r.First, r.Last, r.Account, r.Route = first.At, last.At, last.Account, last.Route
	r.Shared = first.Parts
	requests := map[string]bool{}
	for _, i := range r.crashes {
		c := l.crashes[i]
		requests[c.Digest] = true
		r.Shared = intersect(r.Shared, c.Parts)
		if !slices.Contains(r.Servers, c.Server) {
			r.Servers = append(r.Servers, c.Server)
		}
	}
	r.Requests = len(requests)
	r.Finding = l.finding(now, r)
}

// intersect returns the parts that two prompts have in common.
func intersect(parts, others []string) (common []string) {
	for _, part := range parts {
		if slices.Contains(others, part) {
			common = append(common, part)
		}
	}
	return common
}

// Questions returns the parts whose survivals decide on reports.
func Questions[K comparable](reports []PartReport[K]) []string {
	parts := []string{AnyPart}
	for _, r := range reports {
		parts = slices.Concat(parts, r.Parts, r.Shared)
	}
	slices.Sort(parts)
	return slices.Compact(parts)
}

// isWithin reports whether all terminations of r, and not only those, count against the parts of
// another report.
func (r *PartReport[K]) isWithin(other *PartReport[K]) bool {
	if len(r.crashes) >= len(other.crashes) {
		return false
	}
	rest := other.crashes
	for _, i := range r.crashes {
		at, found := slices.BinarySearch(rest, i)
		if !found {
			return false
		}
		rest = rest[at+1:]
	}
	return true
}

// minNarrowerPercent returns the share of the servers of r that a narrower cause must account for.
func (l *PartLedger[K]) minNarrowerPercent(r *PartReport[K]) int {
	if l.anySurvived(r.First) {
		return minNarrowerPercent
	}
	return minNarrowerPercentNoSurvival
}

// mayHaveNarrowerCause reports whether a part that only some of the prompts have accounts for a share of
// the servers, in percent.
//
// It guards against the refusal of a part that all prompts share: prompts crash beside those with the
// cause, whose own reports may be missing, so the common part has the most terminations.
func (r *PartReport[K]) mayHaveNarrowerCause(all []*PartReport[K], percent int) bool {
	return slices.ContainsFunc(all, func(o *PartReport[K]) bool {
		return (r.Survived || !o.Survived) && o.isCandidate() && 100*len(o.Servers) >= percent*len(r.Servers) && o.isWithin(r)
	})
}

// isCandidate reports whether the parts may be a cause: prompts with them crashed servers, or one did so
// often enough to be refused by itself.
func (r *PartReport[K]) isCandidate() bool {
	return r.Requests >= suspectRequests || len(r.Servers) >= refuseThreshold
}

// companions returns the parts that no server is known to have survived and that all prompts of the
// report have: the terminations do not tell which of them is the cause.
func (r *PartReport[K]) companions(all []*PartReport[K]) (parts []string) {
	for _, o := range all {
		if !o.Survived && r.isWithin(o) {
			parts = append(parts, o.Parts...)
		}
	}
	return parts
}

// finding decides on one part.
func (l *PartLedger[K]) finding(now time.Time, r *PartReport[K]) PartFinding {
	crashes, span, suspect := minCrashes, minCrashSpan, suspectCrashes
	_, informed := l.survivals.Last(AnyPart) // not after all daemons have restarted
	if r.Survived || !informed {
		crashes, span, suspect = minCrashesSurvived, minCrashSpanSurvived, suspectCrashesSurvived
	}
	switch {
	case r.Requests < suspectRequests || len(r.Servers) < suspect:
		return PartClear
	case r.Requests < minCrashedRequests || len(r.Servers) < crashes || r.Last.Sub(r.First) < span:
		return PartSuspect
	case (r.Survived || !informed) && now.Sub(r.First) < span+survivalDelay, r.Survived && !l.anySurvived(r.First):
		return PartPending
	}
	return PartCrashing
}

// anySurvived reports whether a server survived the start of any prompt after a time.
func (l *PartLedger[K]) anySurvived(since time.Time) bool {
	last, ok := l.survivals.Last(AnyPart)
	return ok && last.After(since)
}

// compare orders reports by how likely their parts are the cause: parts that no server is known to have
// survived first, then those with more terminations, then those that fewer requests have.
func (r PartReport[K]) compare(other PartReport[K]) int {
	return cmp.Or(
		-cmp.Compare(r.Finding, other.Finding),
		compareBool(r.Survived, other.Survived),
		-cmp.Compare(len(r.Servers), len(other.Servers)),
		cmp.Compare(r.Requests, other.Requests),
		slices.Compare(r.Parts, other.Parts),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
