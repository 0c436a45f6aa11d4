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
	// window is how many accepted tokens may wait for the slowest reader before
	// the loop stops reading from the engine, whose own buffers then fill. It
	// bounds memory per stream; a reader this far behind gains nothing from more.
	window = 4096
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
	policy  resume.Policy
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
	// desperate says that no engine was left after all exclusions.
	desperate bool
	// leaderAt is the attempt that delivered last, as its engine knows it.
	leaderAt *peerpb.Attempt
	reread   bool // leaderAt was read again since it last delivered, or is gone
	standby  standby

	lastToken time.Time // the last accepted token, before it the start
	lostAt    time.Time // when the leader was suspected or failed, zero while all is well
	fruitless int
	adopted   bool // an earlier owner began the answer
	// mayHaveRun says that an engine may have taken an attempt.
	mayHaveRun bool
	notBefore  time.Time // no new attempt before this
	// tried are the versions whose backend servers all turned the request away.
	tried []string
	due   time.Time // when the next decision is due
	gaps  silence.GapEstimator
	held  bool // readers were too far behind

	// unwanted are losers to be cancelled at their engines once a write shows
	// that this daemon still owns the generation. Cancelled earlier, an owner
	// that was paused would kill the attempt that its successor attached to.
	unwanted []*attempt

	writing  bool
	copied   int // accepted tokens that were released
	copiedAt engine.FinishReason
}

func newLoop(m *Manager, g *Generation, line epochs.History, tokens []string, finish engine.FinishReason) *loop {
	l := &loop{
		m:         m,
		g:         g,
		spec:      g.spec,
		policy:    m.policy(g.spec.Service),
		copier:    &copier{m: m, spec: g.spec, line: line},
		reports:   make(chan report),
		written:   make(chan written, 1),
		accepted:  slices.Clone(tokens),
		finish:    finish,
		attempts:  make(map[uint64]*attempt),
		number:    uint64(line.Epoch().OwnerCount()) << attemptShift,
		lastToken: time.Now(),
		copied:    len(tokens),
		copiedAt:  finish,
	}
	l.race.Restore(len(tokens), finish != "")
	l.adopted = len(line) > 1
	l.mayHaveRun = l.adopted
	return l
}

// run drives the generation to its end. reattach names the attempt that an
// earlier owner left running, nil if there is none.
func (l *loop) run(ctx context.Context, reattach *peerpb.Attempt) {
	defer l.stopAll()
	if l.finish == "" {
		l.leaderAt, l.reread = reattach, true
		l.startAttempt(ctx, start{reattach: reattach})
	}
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for !l.ended() {
		if err := l.decide(ctx); err != nil {
			l.giveUp(err)
			return
		}
		l.copy(ctx)
		l.prime(ctx)
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
	if !l.stalled() {
		return l.reports
	}
	if !l.held {
		l.held = true
		for _, a := range l.attempts {
			l.m.watch.stop(l.spec.ID, a) // the reader's silence, not the engine's
		}
	}
	return nil
}

func (l *loop) stalled() bool { return l.g.backlog(len(l.accepted)) >= window }

// unstall starts the silence of each attempt anew after a reader caught up: the
// wait was the reader's and says nothing about the engine.
func (l *loop) unstall() {
	if !l.held || l.stalled() {
		return
	}
	l.held = false
	l.restartSilence(time.Now())
	for _, a := range l.attempts {
		if a.granted {
			l.m.watch.start(l.spec.ID, a)
		}
	}
}

func (l *loop) restartSilence(now time.Time) {
	for _, a := range l.attempts {
		a.last = now
	}
}
