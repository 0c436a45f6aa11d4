package generation

import (
	"errors"
	"slices"
	"time"

	"mallowwind.dev/decision/resume"
	"mallowwind.dev/decision/silence"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/external/engine"
	"mallowwind.dev/peer/peerpb"
	"mallowwind.dev/serve/flow"
	"mallowwind.dev/telemetry/event"
)

func (l *loop) handleReport(r report) {
	a := r.attempt
	if l.attempts[a.number] != a {
		return
	}
	switch r.kind {
	case reportGranted:
		l.handleGranted(a, r.backend)
	case reportRefused:
		l.handleRefused(a, r.err)
	case reportChunk:
		l.handleChunk(a, r.chunk)
	case reportFailed:
		l.handleFailed(a, r.err)
	}
}

// handleGranted gives an attempt its prefix: the answer as it stands now.
func (l *loop) handleGranted(a *attempt, b flow.Backend) {
	a.granted, a.backend, a.lastActivity = true, b, time.Now()
	if l.startedCount == 1 {
		l.lastTokenAt = a.lastActivity
	}
	if a.reattach && l.leaderAttempt.GetBackend() != b.ID {
		// Another engine cannot read the attempt again.
		if len(l.attempts) > 1 {
			l.dropAttempt(a)
			return
		}
		a.reattach = false
	}
	if !a.reattach {
		a.engineNumber = a.number
		a.prefillTokens = promptTokens(l.spec.Prompt) + len(l.accepted)
		l.m.metrics.prefills.Inc()
	}
	l.race.AddAttempt(a.number)
	l.m.monitor.start(l.spec.ID, a)
	a.params <- startParams{prefix: slices.Clone(l.accepted), reattach: a.reattach}
}

// handleRefused deals with a backend server denied by flow. It is the one place that
// decides whether extra work is affordable.
func (l *loop) handleRefused(a *attempt, err error) {
	l.dropAttempt(a)
	if a.reattach {
		return
	}
	e := verdict.FromError(err)
	l.notBefore = time.Now().Add(min(max(refusedRetryDelay, e.RetryAfter), maxRefusedRetryDelay))
	if len(l.attempts) > 0 {
		l.m.metrics.heldBack.WithLabelValues(string(e.Code)).Inc()
		return
	}
	if e.Code == verdict.CodeNoBackend && l.switchVersion() {
		return
	}
	if len(l.accepted) == 0 && !l.adopted {
		l.fail(l.unservedError(e))
		return
	}
	// The answer is owed, as its caller holds a part of it: what was excluded is better than nothing.
	l.excluded, l.exclusionsLifted = nil, true
}

// switchVersion moves a request that ran nowhere to another version of its
// service, and reports whether there is one that it was not yet refused with.
//
// The failure it guards against: while a new version replaces the old one, the
// last engines with the old one begin to unload it and turn requests away
// before this daemon hears of that. The caller is then told that no backend
// server is left, beside engines that have the new version ready. Nothing ran
// and nothing was copied, so the answer is of one version all the same.
func (l *loop) switchVersion() bool {
	if l.mayHaveRun || l.adopted || len(l.accepted) > 0 {
		return false
	}
	l.refusedVersions = append(l.refusedVersions, l.spec.Service.Version)
	service := l.m.chooseVersion(l.spec.Service, l.refusedVersions...)
	if slices.Contains(l.refusedVersions, service.Version) {
		return false
	}
	l.m.log.Emit(event.VersionChanged, l.spec.ID, l.spec.Service.Version, service.Version)
	spec := *l.spec
	spec.Service = service
	l.spec, l.copier.spec = &spec, &spec
	l.excluded, l.startedCount, l.notBefore = nil, 0, time.Time{}
	return true
}

// unservedError is the final error of an answer of which nothing came. Its caller
// holds nothing, so it hears at once; the refusal speaks of the last attempt
// only, the verdict of all.
func (l *loop) unservedError(e *verdict.Error) *verdict.Error {
	if !l.mayHaveRun {
		return e
	}
	return verdict.New(verdict.MayHaveRun, e.Code, "%s", e.Message).WithRetryAfter(e.RetryAfter)
}

func (l *loop) handleFailed(a *attempt, err error) {
	l.m.log.Emit(event.AttemptFailed, l.spec.ID, a.number, a.backend.ID, err.Error())
	l.m.metrics.failed.Inc()
	l.dropAttempt(a)
	broken := errors.Is(err, engine.ErrBroken)
	l.mayHaveRun = l.mayHaveRun || !errors.Is(err, engine.ErrNotSent) && !errors.Is(err, engine.ErrRefused)
	if errors.Is(err, engine.ErrNotReady) {
		l.m.notReady(a.backend.ID)
	}
	if !errors.Is(err, engine.ErrUnknownGeneration) {
		l.exclude(a.backend.ID)
	}
	if !broken && a.engineNumber == l.leaderAttempt.GetNumber() {
		l.reattachTried = true // its engine has forgotten the attempt
	}
	if broken && !a.reattach && a.chunkCount == 0 {
		l.failedCount++
	}
	if l.lostAt.IsZero() && len(l.attempts) == 0 {
		l.lostAt = time.Now()
	}
	if len(l.attempts) == 0 {
		l.notBefore = time.Time{} // a refusal of extra work does not hold for owed work
	}
}

func (l *loop) handleChunk(a *attempt, c engine.Chunk) {
	now := time.Now()
	l.observeGap(a, now)
	skip, reason := l.race.Offer(a.number, c.Offset, len(c.Tokens), c.Finish != "")
	if reason != resume.Accepted {
		l.handleDropped(a, c, reason)
		return
	}
	l.accepted = append(l.accepted, c.Tokens[skip:]...)
	l.finish = c.Finish
	if len(l.accepted) != l.race.Length() {
		l.failInvariant(invariantLength, "%d tokens accepted, offset %d", len(l.accepted), l.race.Length())
		return
	}
	l.leaderAttempt = &peerpb.Attempt{Number: a.engineNumber, Backend: a.backend.ID, Address: a.backend.Address}
	l.reattachTried = false
	l.recordWin(a, now)
	for _, n := range l.race.Losers() {
		if loser := l.attempts[n]; loser != nil {
			l.m.metrics.lostRaces.Inc()
			loser.lostWhileSuspected.Store(loser.suspected)
			l.dropAttempt(loser)
			l.losers = append(l.losers, loser)
		}
	}
	l.lastTokenAt = now
	l.failedCount, l.exclusionsLifted = 0, false
}

// observeGap learns the gap that a chunk ended, unless it was suspected: a pause
// of seconds, learned as normal, would hide the next one. A suspicion that
// proves wrong teaches from the next chunk on.
func (l *loop) observeGap(a *attempt, now time.Time) {
	gap := now.Sub(a.lastActivity)
	switch {
	case a.chunkCount == 0 && !a.reattach && !a.suspected:
		l.m.monitor.observeFirstChunk(l.spec.Service.Pool, a.backend.ID, silence.NormalizeFirstChunkWait(gap, a.prefillTokens))
	case a.chunkCount > 0 && !a.suspected:
		l.gaps.Observe(gap)
		l.m.monitor.observeGap(a.backend.ID, gap)
	}
	a.chunkCount++
	a.lastActivity = now
	l.m.monitor.chunk(l.spec.ID, a, now, l.suspicionThreshold(a))
}

// handleDropped deals with tokens that may not be used. A gap inside one attempt's
// own stream means that tokens were lost on the way: the attempt is useless.
func (l *loop) handleDropped(a *attempt, c engine.Chunk, reason resume.DropReason) {
	l.m.metrics.dropped.WithLabelValues(reason.String()).Inc()
	l.m.log.Emit(event.ChunkDropped, l.spec.ID, a.number, c.Offset, reason.String())
	if reason == resume.Gap {
		l.handleFailed(a, errors.New("the engine's stream skipped tokens"))
	}
}

// recordWin logs the attempt that carries the answer on after a loss.
func (l *loop) recordWin(a *attempt, now time.Time) {
	first := a.reattach && a.chunkCount == 1 && l.startedCount > 1
	if l.lostAt.IsZero() && !first {
		return
	}
	elapsed := now.Sub(l.lastTokenAt)
	l.lostAt = time.Time{}
	l.m.metrics.resume.Observe(elapsed.Seconds())
	l.m.log.Emit(event.AttemptWon, l.spec.ID, a.number, a.backend.ID, l.race.Length(), elapsed)
	if a.suspected {
		a.suspected = false // it was only slow
		l.excluded = slices.DeleteFunc(l.excluded, func(id string) bool { return id == a.backend.ID })
		l.m.metrics.falseSuspicions.Inc()
	}
}

// dropAttempt stops reading an attempt.
func (l *loop) dropAttempt(a *attempt) {
	delete(l.attempts, a.number)
	l.race.RemoveAttempt(a.number)
	l.m.monitor.stop(l.spec.ID, a)
	a.cancel()
}
