package generation

import (
	"context"
	"slices"
	"time"

	"mallowwind.dev/decision/lineage"
	"mallowwind.dev/decision/resume"
	"mallowwind.dev/decision/silence"
	"mallowwind.dev/external/engine"
	"mallowwind.dev/peer/peerpb"
)

const (
	// maxUnreadTokens is how many accepted tokens may wait for the slowest reader before
	// the loop stops reading from the engine, whose own buffers then fill. It
	// bounds memory per stream; a reader this far behind gains nothing from more.
	maxUnreadTokens = 4096
	// attemptNumberBits separates the attempts of one owner from those of the next,
	// so that a newer owner's attempts always carry larger numbers.
	attemptNumberBits = 16
)

// loop runs one generation: it alone admits tokens, decides about attempts and
// releases what has been copied. All its fields belong to its goroutine.
type loop struct {
	m            *Manager
	g            *Generation
	spec         *Spec
	policy       resume.Policy
	copier       *copier
	reports      chan report
	writeResults chan writeResult

	race         resume.Race
	accepted     []string
	finish       engine.FinishReason
	attempts     map[uint64]*attempt
	lastNumber   uint64 // of the newest attempt
	startedCount int    // attempts started here
	excluded     []string
	// exclusionsLifted says that no engine was left after all exclusions.
	exclusionsLifted bool
	// leaderAttempt is the attempt that delivered last, as its engine knows it.
	leaderAttempt *peerpb.Attempt
	reattachTried bool // leaderAt was read again since it last delivered, or is gone
	standby       standby

	lastTokenAt time.Time // the last accepted token, before it the start
	lostAt      time.Time // when the leader was suspected or failed, zero while all is well
	failedCount int
	adopted     bool // an earlier owner began the answer
	// mayHaveRun says that an engine may have taken an attempt.
	mayHaveRun bool
	notBefore  time.Time // no new attempt before this
	// refusedVersions are the versions whose backend servers all turned the request away.
	refusedVersions []string
	nextDecisionAt  time.Time // when the next decision is due
	gaps            silence.GapEstimator
	readingPaused   bool // readers were too far behind

	// losers are losers to be cancelled at their engines once a write shows
	// that this daemon still owns the generation. Cancelled earlier, an owner
	// that was paused would kill the attempt that its successor attached to.
	losers []*attempt

	writing        bool
	releasedCount  int // accepted tokens that were released
	releasedFinish engine.FinishReason
}

func newLoop(m *Manager, g *Generation, history lineage.History, tokens []string, finish engine.FinishReason) *loop {
	l := &loop{
		m:              m,
		g:              g,
		spec:           g.spec,
		policy:         m.policy(g.spec.Service),
		copier:         &copier{m: m, spec: g.spec, history: history},
		reports:        make(chan report),
		writeResults:   make(chan writeResult, 1),
		accepted:       slices.Clone(tokens),
		finish:         finish,
		attempts:       make(map[uint64]*attempt),
		lastNumber:     uint64(history.Epoch().OwnerCount()) << attemptNumberBits,
		lastTokenAt:    time.Now(),
		releasedCount:  len(tokens),
		releasedFinish: finish,
	}
	l.race.Restore(len(tokens), finish != "")
	l.adopted = len(history) > 1
	l.mayHaveRun = l.adopted
	return l
}

// run drives the generation to its end. reattach names the attempt that an
// earlier owner left running, nil if there is none.
func (l *loop) run(ctx context.Context, reattach *peerpb.Attempt) {
	defer l.stopAttempts()
	if l.finish == "" {
		l.leaderAttempt, l.reattachTried = reattach, true
		l.startAttempt(ctx, attemptOptions{reattach: reattach})
	}
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for !l.hasEnded() {
		if err := l.decide(ctx); err != nil {
			l.fail(err)
			return
		}
		l.startWrite(ctx)
		l.prime(ctx)
		timer.Reset(l.timeToNextDecision())
		select {
		case r := <-l.readableReports():
			l.handleReport(r)
		case w := <-l.writeResults:
			l.handleWriteResult(w)
		case <-l.g.readProgress:
			l.resumeReading()
		case <-timer.C:
		case <-ctx.Done():
			l.fail(nil)
			return
		}
	}
}

func (l *loop) hasEnded() bool {
	s := l.g.state()
	return s.hasEnded()
}

// readableReports is the channel of reports, or nil while readers are too far behind.
func (l *loop) readableReports() chan report {
	if !l.isStalled() {
		return l.reports
	}
	if !l.readingPaused {
		l.readingPaused = true
		for _, a := range l.attempts {
			l.m.monitor.stop(l.spec.ID, a) // the reader's silence, not the engine's
		}
	}
	return nil
}

func (l *loop) isStalled() bool { return l.g.unreadCount(len(l.accepted)) >= maxUnreadTokens }

// resumeReading starts the silence of each attempt anew after a reader caught up: the
// wait was the reader's and says nothing about the engine.
func (l *loop) resumeReading() {
	if !l.readingPaused || l.isStalled() {
		return
	}
	l.readingPaused = false
	l.resetSilence(time.Now())
	for _, a := range l.attempts {
		if a.granted {
			l.m.monitor.start(l.spec.ID, a)
		}
	}
}

func (l *loop) resetSilence(now time.Time) {
	for _, a := range l.attempts {
		a.lastActivity = now
	}
}
