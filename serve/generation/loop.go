package generation

import (
	"context"
	"errors"
	"slices"
	"time"

	"mallowwind.dev/decision/lineage"
	"mallowwind.dev/decision/resume"
	"mallowwind.dev/decision/silence"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/peer/peerpb"
	"mallowwind.dev/platform/engine"
	"mallowwind.dev/serve/flow"
	"mallowwind.dev/telemetry/event"
)

const (
	// window is how many accepted tokens may wait for the slowest reader before
	// the loop stops reading from the engine, whose own buffers then fill. It
	// bounds memory per stream; a reader this far behind gains nothing from more.
	window = 4096
	// refusedPause is the wait after flow found no backend server for a resume.
	refusedPause = 150 * time.Millisecond
	// attemptShift separates the attempts of one owner from those of the next,
	// so that a newer owner's attempts always carry larger numbers.
	attemptShift = 16
)

// loop runs one generation: it alone admits tokens, decides about attempts and
// releases what has been copied. All its fields belong to its goroutine.
type loop struct {
	m       *Manager
	g       *Generation
	spec    *Spec
	bounds  silence.Config
	limits  resume.Config
	copier  *copier
	reports chan report
	written chan written

	race     resume.Race
	accepted []string
	finish   engine.FinishReason
	attempts map[uint64]*attempt
	number   uint64 // of the newest attempt
	total    int    // attempts started here
	excluded []string
	leaderAt *peerpb.Attempt

	lastToken time.Time // the last accepted token, before it the start
	lostAt    time.Time // when the leader was suspected or failed, zero while all is well
	fruitless int
	notBefore time.Time // no new attempt before this
	gaps      silence.Gaps
	held      bool // readers were too far behind

	// unwanted are losers to be cancelled at their engines once a write shows
	// that this daemon still owns the generation. Cancelled earlier, an owner
	// that was paused would kill the attempt that its successor attached to.
	unwanted []*attempt

	writing  bool
	copied   int // accepted tokens that were released
	copiedAt engine.FinishReason
}

func newLoop(m *Manager, g *Generation, line lineage.Line, tokens []string, finish engine.FinishReason) *loop {
	l := &loop{
		m:         m,
		g:         g,
		spec:      g.spec,
		bounds:    silence.ForWeight(g.spec.Service.LatencyWeight),
		limits:    limits(g.spec.Service.Deadline),
		copier:    &copier{m: m, spec: g.spec, line: line},
		reports:   make(chan report),
		written:   make(chan written, 1),
		accepted:  slices.Clone(tokens),
		finish:    finish,
		attempts:  make(map[uint64]*attempt),
		number:    uint64(line.Epoch().Count()) << attemptShift,
		lastToken: time.Now(),
		copied:    len(tokens),
		copiedAt:  finish,
	}
	l.race.Restore(len(tokens), finish != "")
	return l
}

// limits lets a service that may wait long for its first token also wait as
// long for a continuation: its answer is owed, and the engines may come back.
func limits(deadline time.Duration) resume.Config {
	c := resume.DefaultConfig
	c.Deadline = max(c.Deadline, deadline)
	return c
}

// run drives the generation to its end. reattach names the attempt that an
// earlier owner left running, nil if there is none.
func (l *loop) run(ctx context.Context, reattach *peerpb.Attempt) {
	defer l.stopAll()
	if l.finish == "" {
		l.startAttempt(ctx, reattach)
	}
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		if l.ended() {
			return
		}
		if err := l.decide(ctx); err != nil {
			l.giveUp(err)
			return
		}
		l.copy(ctx)
		timer.Reset(l.nextDecision())
		select {
		case r := <-l.readable():
			l.handle(r)
		case w := <-l.written:
			l.handleWritten(w)
		case <-l.g.taken:
			l.unstall()
		case <-timer.C:
		case <-ctx.Done():
			l.giveUp(nil)
			return
		}
	}
}

func (l *loop) ended() bool {
	s := l.g.state()
	return s.ended()
}

// readable is the channel of reports, or nil while readers are too far behind.
func (l *loop) readable() chan report {
	if l.stalled() {
		l.held = true
		return nil
	}
	return l.reports
}

func (l *loop) stalled() bool { return l.g.backlog(len(l.accepted)) >= window }

// unstall starts the silence of each attempt anew after a reader caught up: the
// wait was the reader's and says nothing about the engine.
func (l *loop) unstall() {
	if !l.held {
		return
	}
	l.held = l.stalled()
	now := time.Now()
	for _, a := range l.attempts {
		a.last = now
	}
}

// decide starts an attempt or gives up, as the resume policy says.
func (l *loop) decide(ctx context.Context) error {
	if l.finish != "" || l.stalled() {
		return nil
	}
	now := time.Now()
	v := l.view(now)
	action, reason := resume.Decide(l.limits, v)
	if reason == resume.ReasonStalled || reason == resume.ReasonBudget {
		l.m.metrics.heldBack.WithLabelValues(string(reason)).Inc()
	}
	switch action {
	case resume.Fail:
		return verdict.New(verdict.MayHaveRun, verdict.CodeBackendFailed,
			"no backend server continued the answer (%s)", reason)
	case resume.Attempt:
		if now.Before(l.notBefore) {
			return nil
		}
		l.markLost(now, reason)
		l.startAttempt(ctx, nil)
	}
	return nil
}

// view collects what the resume policy looks at.
func (l *loop) view(now time.Time) resume.View {
	v := resume.View{Running: len(l.attempts), Fruitless: l.fruitless, Threshold: l.limits.Deadline}
	lead := l.leader()
	if l.queued(lead) {
		return v
	}
	v.Stopped = now.Sub(l.lastToken)
	if lead == nil || !lead.granted {
		return v
	}
	v.Silent = now.Sub(lead.last)
	v.Threshold = l.threshold(lead)
	if v.Silent >= v.Threshold {
		v.GlobalStall = l.m.watch.globalStall(now, lead.backend.ID)
		v.Affordable = l.m.budget.covers(l.takeoverCost())
	}
	return v
}

// queued reports whether the request still waits for its first backend server:
// admission bounds that wait, not the resume policy.
func (l *loop) queued(lead *attempt) bool {
	return l.total == 1 && lead != nil && !lead.granted
}

// leader is the attempt whose silence counts: the one that delivered last, or
// the only one there is.
func (l *loop) leader() *attempt {
	if a := l.attempts[l.race.Leader()]; a != nil {
		return a
	}
	var first *attempt
	for _, a := range l.attempts {
		if first == nil || a.number < first.number {
			first = a
		}
	}
	return first
}

func (l *loop) threshold(a *attempt) time.Duration {
	if a.chunks == 0 {
		return l.m.watch.firstThreshold(l.bounds, a.backend.ID)
	}
	return l.m.watch.threshold(l.bounds, &l.gaps, a.backend.ID)
}

// nextDecision is when decide must look again if nothing happens.
func (l *loop) nextDecision() time.Duration {
	now := time.Now()
	next := l.limits.Deadline - now.Sub(l.lastToken)
	if l.stalled() {
		return l.limits.Deadline
	}
	if lead := l.leader(); lead != nil && lead.granted {
		due := l.threshold(lead) - now.Sub(lead.last)
		if due <= 0 {
			due = recheck // suspected already and held back
		}
		next = min(next, due)
	}
	if len(l.attempts) == 0 {
		next = min(next, l.notBefore.Sub(now))
	}
	return max(next, time.Millisecond)
}

// recheck is how often a held-back takeover is considered again.
const recheck = 50 * time.Millisecond

// markLost notes when the answer stopped, from which resume latency counts.
func (l *loop) markLost(now time.Time, reason resume.Reason) {
	if l.lostAt.IsZero() {
		l.lostAt = l.lastToken
	}
	lead := l.leader()
	if reason != resume.ReasonSuspected || lead == nil {
		return
	}
	lead.suspected = true
	l.m.budget.spend(l.takeoverCost())
	l.excluded = append(l.excluded, lead.backend.ID)
	l.m.metrics.suspected.Inc()
	l.m.log.Emit(event.AttemptSuspected, l.spec.ID, lead.number, lead.backend.ID, now.Sub(lead.last), l.threshold(lead))
}

// startAttempt begins one more attempt. With reattach set it reads on from the
// engine that an earlier owner used, if flow still accepts that engine.
func (l *loop) startAttempt(ctx context.Context, reattach *peerpb.Attempt) {
	l.number++
	l.total++
	actx, cancel := context.WithCancel(ctx)
	a := &attempt{number: l.number, ctx: actx, cancel: cancel, begin: make(chan start, 1), last: time.Now()}
	l.attempts[a.number] = a
	ask := flow.Ask{
		Request:    l.spec.ID,
		Account:    l.spec.Account,
		Service:    l.spec.Service,
		Cost:       promptTokens(l.spec.Prompt) + l.spec.MaxTokens,
		PrefixHash: prefixHash(l.spec.Prompt),
		Deadline:   time.Now().Add(l.spec.Service.Deadline),
		// Another attempt still runs: this one is extra work.
		Speculative: len(l.attempts) > 1,
		Resume:      l.total > 1 || reattach != nil || len(l.accepted) > 0,
		Exclude:     slices.Clone(l.excluded),
		Prefer:      reattach.GetBackend(),
	}
	if reattach != nil {
		l.leaderAt = reattach
	}
	go a.run(l.m.flow, ask, l.spec, l.reports)
}

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
	l.m.watch.start(l.spec.ID, a)
	s := start{prefix: slices.Clone(l.accepted)}
	if l.leaderAt != nil && l.leaderAt.GetBackend() == b.ID && l.total == 1 {
		s.reattach = l.leaderAt.GetNumber()
		l.race.Reattach(a.number)
	} else {
		l.race.Start(a.number)
		l.m.metrics.prefills.Inc()
	}
	a.begin <- s
}

func (l *loop) refused(a *attempt, err error) {
	l.drop(a)
	e := verdict.Of(err)
	l.notBefore = time.Now().Add(max(refusedPause, min(e.RetryAfter, time.Second)))
	if len(l.attempts) > 0 {
		return
	}
	if l.total == 1 && len(l.accepted) == 0 {
		l.giveUp(e)
		return
	}
	// The answer is owed: what was excluded is better than nothing.
	l.excluded = nil
}

func (l *loop) failed(a *attempt, err error) {
	l.m.log.Emit(event.AttemptFailed, l.spec.ID, a.number, a.backend.ID, err.Error())
	l.m.metrics.failed.Inc()
	l.drop(a)
	if !errors.Is(err, engine.ErrUnknownGeneration) {
		l.excluded = append(l.excluded, a.backend.ID)
	}
	l.fruitless++
	if l.lostAt.IsZero() {
		l.lostAt = time.Now()
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
	l.leaderAt = &peerpb.Attempt{Number: a.number, Backend: a.backend.ID, Address: a.backend.Address}
	l.won(a, now)
	for _, n := range l.race.Losers() {
		if loser := l.attempts[n]; loser != nil {
			l.m.metrics.lostRaces.Inc()
			l.drop(loser)
			l.unwanted = append(l.unwanted, loser)
		}
	}
	l.lastToken = now
	l.fruitless = 0
}

// observe learns the gap that a chunk ended.
func (l *loop) observe(a *attempt, now time.Time) {
	gap := now.Sub(a.last)
	if a.chunks == 0 {
		l.m.watch.observeFirst(a.backend.ID, gap)
	} else if !a.suspected {
		l.gaps.Observe(gap)
		l.m.watch.observe(a.backend.ID, gap)
	}
	a.chunks++
	a.last = now
	l.m.watch.chunk(l.spec.ID, a, now, l.threshold(a))
}

// dropped deals with tokens that may not be used. A gap inside one attempt's
// own stream means that tokens were lost on the way: the attempt is useless.
func (l *loop) dropped(a *attempt, c engine.Chunk, why resume.Drop) {
	l.m.metrics.dropped.WithLabelValues(why.String()).Inc()
	l.m.log.Emit(event.ChunkDropped, l.spec.ID, a.number, c.Offset, why.String())
	if why == resume.Gap {
		l.failed(a, errors.New("the engine's stream skipped tokens"))
	}
}

// won logs the attempt that carries the answer on after a loss.
func (l *loop) won(a *attempt, now time.Time) {
	if l.lostAt.IsZero() {
		return
	}
	took := now.Sub(l.lastToken)
	l.lostAt = time.Time{}
	l.m.metrics.resume.Observe(took.Seconds())
	l.m.log.Emit(event.AttemptWon, l.spec.ID, a.number, a.backend.ID, l.race.Length(), took)
	if a.suspected {
		a.suspected = false // it was only slow
		l.m.metrics.falseSuspicions.Inc()
	}
}

// drop stops reading an attempt.
func (l *loop) drop(a *attempt) {
	delete(l.attempts, a.number)
	l.race.Stop(a.number)
	l.m.watch.stop(l.spec.ID, a)
	a.cancel()
}

// cancelUnwanted stops the attempts that lost at their engines.
func (l *loop) cancelUnwanted() {
	for _, a := range l.unwanted {
		if a.granted {
			go cancelAtEngine(a.backend.Engine, l.spec.ID, a.number)
		}
	}
	l.unwanted = nil
}

// takeoverCost is the extra work of one takeover, in generated tokens.
func (l *loop) takeoverCost() float64 {
	return prefillCost * float64(promptTokens(l.spec.Prompt)+len(l.accepted))
}

// copy starts the next write of the copy if one is due.
func (l *loop) copy(ctx context.Context) {
	if l.writing || (l.copied == len(l.accepted) && l.copiedAt == l.finish) {
		return
	}
	l.writing = true
	w := write{tokens: l.accepted[:len(l.accepted):len(l.accepted)], journaled: l.copied, attempt: l.leaderAt, finish: l.finish}
	c, out := l.copier, l.written
	go func() { out <- c.put(ctx, w) }()
}

// handleWritten releases what is copied now.
func (l *loop) handleWritten(w written) {
	l.writing = false
	if w.fenced != 0 {
		l.m.log.Emit(event.GenerationFenced, l.spec.ID, uint64(w.fenced))
		l.g.fence()
		return
	}
	l.cancelUnwanted()
	if w.degraded {
		l.m.metrics.uncopied.Add(float64(w.upTo - l.copied))
	}
	l.g.release(l.accepted[l.copied:w.upTo], w.finish)
	l.m.metrics.tokens.Add(float64(w.upTo - l.copied))
	l.m.budget.earn(w.upTo-l.copied, l.spec.Service.LatencyWeight)
	l.copied, l.copiedAt = w.upTo, w.finish
	if w.finish != "" {
		l.m.log.Emit(event.GenerationFinished, l.spec.ID, w.upTo, l.total, string(w.finish))
	}
}

// giveUp ends the answer: visibly incomplete with err, or quietly without.
func (l *loop) giveUp(err error) {
	if err == nil {
		l.m.log.Emit(event.GenerationCancelled, l.spec.ID, len(l.accepted))
		l.g.fail(verdict.New(verdict.MayHaveRun, verdict.CodeLost, "the answer was cancelled because nobody read it"))
		return
	}
	e := verdict.Of(err)
	l.m.log.Emit(event.GenerationFailed, l.spec.ID, len(l.accepted), string(e.Code))
	l.g.fail(e)
}

// stopAll ends what still runs. A fenced owner leaves its engine alone: the
// newer owner may have attached to the very same attempt.
func (l *loop) stopAll() {
	for _, a := range l.attempts {
		l.drop(a)
		l.unwanted = append(l.unwanted, a)
	}
	if !l.g.state().fenced && l.finish == "" {
		l.cancelUnwanted()
	}
}
