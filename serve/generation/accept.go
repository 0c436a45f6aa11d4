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

func (l *loop) handle(r report) {
	a := r.attempt
	if l.attempts[a.number] != a {
		return
	}
	switch r.kind {
	case reportGranted:
		l.granted(a, r.backend)
	case reportRefused:
		l.refused(a, r.err)
	case reportChunk:
		l.chunk(a, r.chunk)
	case reportFailed:
		l.failed(a, r.err)
	}
}

// granted gives an attempt its prefix: the answer as it stands now.
func (l *loop) granted(a *attempt, b flow.Backend) {
	a.granted, a.backend, a.last = true, b, time.Now()
	if l.total == 1 {
		l.lastToken = a.last
	}
	if a.reattach && l.leaderAt.GetBackend() != b.ID {
		// Another engine cannot read the attempt again.
		if len(l.attempts) > 1 {
			l.drop(a)
			return
		}
		a.reattach = false
	}
	if !a.reattach {
		a.engineNumber = a.number
		a.reads = promptTokens(l.spec.Prompt) + len(l.accepted)
		l.m.metrics.prefills.Inc()
	}
	l.race.AddAttempt(a.number)
	l.m.watch.start(l.spec.ID, a)
	a.begin <- begin{prefix: slices.Clone(l.accepted), reattach: a.reattach}
}

// refused deals with a backend server denied by flow. It is the one place that
// decides whether extra work is affordable.
func (l *loop) refused(a *attempt, err error) {
	l.drop(a)
	if a.reattach {
		return
	}
	e := verdict.FromError(err)
	l.notBefore = time.Now().Add(min(max(refusedPause, e.RetryAfter), longestRefusedPause))
	if len(l.attempts) > 0 {
		l.m.metrics.heldBack.WithLabelValues(string(e.Code)).Inc()
		return
	}
	if e.Code == verdict.CodeNoBackend && l.otherVersion() {
		return
	}
	if len(l.accepted) == 0 && !l.adopted {
		l.giveUp(l.unserved(e))
		return
	}
	// The answer is owed, as its caller holds a part of it: what was excluded is better than nothing.
	l.excluded, l.desperate = nil, true
}

// otherVersion moves a request that ran nowhere to another version of its
// service, and reports whether there is one that it was not yet refused with.
//
// The failure it guards against: while a new version replaces the old one, the
// last engines with the old one begin to unload it and turn requests away
// before this daemon hears of that. The caller is then told that no backend
// server is left, beside engines that have the new version ready. Nothing ran
// and nothing was copied, so the answer is of one version all the same.
func (l *loop) otherVersion() bool {
	if l.mayHaveRun || l.adopted || len(l.accepted) > 0 {
		return false
	}
	l.tried = append(l.tried, l.spec.Service.Version)
	service := l.m.version(l.spec.Service, l.tried...)
	if slices.Contains(l.tried, service.Version) {
		return false
	}
	l.m.log.Emit(event.VersionChanged, l.spec.ID, l.spec.Service.Version, service.Version)
	spec := *l.spec
	spec.Service = service
	l.spec, l.copier.spec = &spec, &spec
	l.excluded, l.total, l.notBefore = nil, 0, time.Time{}
	return true
}

// unserved is the final error of an answer of which nothing came. Its caller
// holds nothing, so it hears at once; the refusal speaks of the last attempt
// only, the verdict of all.
func (l *loop) unserved(e *verdict.Error) *verdict.Error {
	if !l.mayHaveRun {
		return e
	}
	return verdict.New(verdict.MayHaveRun, e.Code, "%s", e.Message).WithRetryAfter(e.RetryAfter)
}

func (l *loop) failed(a *attempt, err error) {
	l.m.log.Emit(event.AttemptFailed, l.spec.ID, a.number, a.backend.ID, err.Error())
	l.m.metrics.failed.Inc()
	l.drop(a)
	broken := errors.Is(err, engine.ErrBroken)
	l.mayHaveRun = l.mayHaveRun || !errors.Is(err, engine.ErrNotSent) && !errors.Is(err, engine.ErrRefused)
	if errors.Is(err, engine.ErrNotReady) {
		l.m.unready(a.backend.ID)
	}
	if !errors.Is(err, engine.ErrUnknownGeneration) {
		l.exclude(a.backend.ID)
	}
	if !broken && a.engineNumber == l.leaderAt.GetNumber() {
		l.reread = true // its engine has forgotten the attempt
	}
	if broken && !a.reattach && a.chunks == 0 {
		l.fruitless++
	}
	if l.lostAt.IsZero() && len(l.attempts) == 0 {
		l.lostAt = time.Now()
	}
	if len(l.attempts) == 0 {
		l.notBefore = time.Time{} // a refusal of extra work does not hold for owed work
	}
}

func (l *loop) chunk(a *attempt, c engine.Chunk) {
	now := time.Now()
	l.observe(a, now)
	skip, drop := l.race.Offer(a.number, c.Offset, len(c.Tokens), c.Finish != "")
	if drop != resume.Accepted {
		l.dropped(a, c, drop)
		return
	}
	l.accepted = append(l.accepted, c.Tokens[skip:]...)
	l.finish = c.Finish
	if len(l.accepted) != l.race.Length() {
		l.violated(invariantLength, "%d tokens accepted, offset %d", len(l.accepted), l.race.Length())
		return
	}
	l.leaderAt = &peerpb.Attempt{Number: a.engineNumber, Backend: a.backend.ID, Address: a.backend.Address}
	l.reread = false
	l.won(a, now)
	for _, n := range l.race.Losers() {
		if loser := l.attempts[n]; loser != nil {
			l.m.metrics.lostRaces.Inc()
			loser.silent.Store(loser.suspected)
			l.drop(loser)
			l.unwanted = append(l.unwanted, loser)
		}
	}
	l.lastToken = now
	l.fruitless, l.desperate = 0, false
}

// observe learns the gap that a chunk ended, unless it was suspected: a pause
// of seconds, learned as normal, would hide the next one. A suspicion that
// proves wrong teaches from the next chunk on.
func (l *loop) observe(a *attempt, now time.Time) {
	gap := now.Sub(a.last)
	switch {
	case a.chunks == 0 && !a.reattach && !a.suspected:
		l.m.watch.observeFirst(l.spec.Service.Pool, a.backend.ID, silence.NormalizeFirstChunkWait(gap, a.reads))
	case a.chunks > 0 && !a.suspected:
		l.gaps.Observe(gap)
		l.m.watch.observe(a.backend.ID, gap)
	}
	a.chunks++
	a.last = now
	l.m.watch.chunk(l.spec.ID, a, now, l.threshold(a))
}

// dropped deals with tokens that may not be used. A gap inside one attempt's
// own stream means that tokens were lost on the way: the attempt is useless.
func (l *loop) dropped(a *attempt, c engine.Chunk, why resume.DropReason) {
	l.m.metrics.dropped.WithLabelValues(why.String()).Inc()
	l.m.log.Emit(event.ChunkDropped, l.spec.ID, a.number, c.Offset, why.String())
	if why == resume.Gap {
		l.failed(a, errors.New("the engine's stream skipped tokens"))
	}
}

// won logs the attempt that carries the answer on after a loss.
func (l *loop) won(a *attempt, now time.Time) {
	first := a.reattach && a.chunks == 1 && l.total > 1
	if l.lostAt.IsZero() && !first {
		return
	}
	took := now.Sub(l.lastToken)
	l.lostAt = time.Time{}
	l.m.metrics.resume.Observe(took.Seconds())
	l.m.log.Emit(event.AttemptWon, l.spec.ID, a.number, a.backend.ID, l.race.Length(), took)
	if a.suspected {
		a.suspected = false // it was only slow
		l.excluded = slices.DeleteFunc(l.excluded, func(id string) bool { return id == a.backend.ID })
		l.m.metrics.falseSuspicions.Inc()
	}
}

// drop stops reading an attempt.
func (l *loop) drop(a *attempt) {
	delete(l.attempts, a.number)
	l.race.RemoveAttempt(a.number)
	l.m.watch.stop(l.spec.ID, a)
	a.cancel()
}
