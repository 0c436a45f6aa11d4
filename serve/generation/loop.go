package generation

import (
	"context"
	"slices"
	"time"

	"mallowwind.dev/decision/epochs"
	"mallowwind.dev/decision/resume"
	"mallowwind.dev/decision/silence"
	"mallowwind.dev/external/engine"
	"mallowwind.dev/peer/peerpb"
)

const (
	// maxUnreadTokens is the number of accepted tokens that no reader has received
	// yet at which the loop stops reading from the engine, whose own buffers then
	// fill. It bounds the memory per stream; readers this far behind gain nothing from
	// a longer buffer.
	maxUnreadTokens = 4096
	// attemptNumberBits is the number of low bits of an attempt number that count the
	// attempts of one owner. The bits above hold the owner count, so that a newer
	// owner's attempts always have larger numbers.
	attemptNumberBits = 16
)

// loop runs one generation. It alone accepts tokens, decides about attempts and
// releases tokens that have been copied. Its fields are used by its goroutine only.
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
	// exclusionsLifted is set when flow refused an attempt although none was running.
	// Until the next accepted token, suspected engines are no longer excluded.
	exclusionsLifted bool
	// leaderAttempt is the attempt that delivered last, with the number that its
	// engine knows.
	leaderAttempt *peerpb.Attempt
	reattachTried bool // leaderAttempt was read again since it last delivered, or its engine no longer knows it
	standby       standby

	lastTokenAt time.Time // of the last accepted token, before that of the first attempt's grant or the start
	lostAt      time.Time // when the leader was suspected or failed, zero without a loss
	failedCount int       // attempts that broke without output since the last accepted token
	adopted     bool      // an earlier owner started the answer
	// mayHaveRun reports that an engine may have executed an attempt.
	mayHaveRun bool
	notBefore  time.Time // no new attempt before this
	// refusedVersions lists the versions for which flow refused the request because
	// no backend server was left.
	refusedVersions []string
	nextDecisionAt  time.Time // when the next decision is due
	gaps            silence.GapEstimator
	readingPaused   bool // because no reader has received the last maxUnreadTokens tokens

	// losers are dropped attempts to be cancelled at their engines once a write
	// confirms that this daemon still owns the generation. Without that confirmation,
	// an owner that was paused could cancel the attempt that its successor reads.
	losers []*attempt

	writing        bool
	releasedCount  int // number of accepted tokens that were released
	releasedFinish engine.FinishReason
}

func newLoop(m *Manager, g *Generation, history epochs.History, tokens []string, finish engine.FinishReason) *loop {
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

// run runs the generation to its end. reattach is the attempt that an earlier owner
// left running, nil if there is none.
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

// readableReports returns the channel of reports, or nil while all readers are too
// far behind.
func (l *loop) readableReports() chan report {
	if !l.isStalled() {
		return l.reports
	}
	if !l.readingPaused {
		l.readingPaused = true
		for _, a := range l.attempts {
			l.m.monitor.stop(l.spec.ID, a) // this silence is not the engine's
		}
	}
	return nil
}

func (l *loop) isStalled() bool { return l.g.unreadCount(len(l.accepted)) >= maxUnreadTokens }

// resumeReading resets the silence of every attempt after a reader caught up. The
// pause was caused by the reader and must not count against the engine.
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
