package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/prompts"
	"mallowwind.dev/decision/retryafter"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/telemetry/event"
)

const (
	// probeInterval is how often a server is asked for a sign of life while a stream
	// waits for its first event, which a prompt may delay by seconds.
	probeInterval = 400 * time.Millisecond
	// probeTimeout is many times a round trip; a server answers a probe without
	// a slot.
	probeTimeout = 200 * time.Millisecond
	// maxFailedProbes is how many probes in a row fail at a server that is dead. One
	// may be a lost packet.
	maxFailedProbes = 2
	// minLostEvents is how many events an engine reports of a stream of which none has
	// arrived before the answer counts as lost: a tenth of a second's, while a
	// first event takes a round trip.
	minLostEvents = 3
	// maxCopyProbes bounds the engines that are asked whether they can keep a copy.
	maxCopyProbes = 3
	// maxStarts bounds the servers that may turn one stream away.
	maxStarts = 8
)

// relay is one answer that is passed on event by event.
type relay struct {
	h           *Handler
	in          *inbound
	service     string
	w           http.ResponseWriter
	headersSent bool  // headers and an event were released
	lastEventID int64 // id of the last event released
	// heldCopy is a copy of the present run.
	heldCopy replica
	// resetBy is the engine that reset the connection before the first event; it may
	// live and hold the prompt. Its server is zero if there is none.
	resetBy choice
	// misdirectedLife is the life for which the holder was asked in vain.
	misdirectedLife routing.Incarnation
	possibleRuns    int // servers that may have run it
	starts          int
	sends           int
	excluded        []routing.Incarnation
	// promptHolders are the engines that hold the prompt, nil before they were looked for.
	promptHolders []routing.Incarnation
	// linkStalledSince is when the link from here was first found held up; zero if it was not.
	linkStalledSince time.Time
	// cannotContinue says that the answer was found unable to go on.
	cannotContinue bool
	// replacement is the attempt that took the answer over from the one before.
	replacement      *attempt
	lastEventAt      time.Time     // of the last event released, or of the start
	interrupted      bool          // broke off after an event, and none followed yet
	timeToFirstEvent time.Duration // from the request's arrival to its first event, 0 before it
	eventCount       int           // released
	longestGap       time.Duration // pause between two events released
}

// nextAttempt is the one that took the answer over, or a new one.
func (r *relay) nextAttempt(ctx context.Context) (*attempt, error) {
	if taken := r.replacement; taken != nil {
		r.replacement = nil
		return taken, nil
	}
	l, err := r.nextSegment(ctx)
	if err != nil {
		return nil, err
	}
	return r.start(ctx, l), nil
}

// segment is the part of an answer that one server makes.
type segment struct {
	target     choice
	copyTo     choice
	resumeFrom string // where the copy lies that it goes on from
	// unconfirmed says that no engine answered before the request was sent to this one.
	unconfirmed bool
}

// incrementalCopy is the copy that is kept while the run grows, if there is one.
func (l segment) incrementalCopy(id string) replica {
	if l.copyTo.load == nil {
		return replica{}
	}
	return replica{at: l.copyTo, name: replicaName(l.copyTo.server, id)}
}

// segmentEnd says how a leg ended.
type segmentEnd uint8

const (
	segmentComplete  segmentEnd = iota // the answer is complete
	segmentNotRun                      // the server did not run it
	segmentBroken                      // it may go on elsewhere
	segmentNonStream                   // the server's answer is no stream: it was passed on
	segmentAborted                     // nothing more can be done
	segmentMoved                       // it goes on elsewhere, because its server's version leaves
)

// String returns the word used in logs.
func (e segmentEnd) String() string {
	return [...]string{"whole", "not_run", "broken", "answer", "aborted", "moved"}[e]
}

// forwardStream forwards a request whose answer is a series of events.
func (h *Handler) forwardStream(ctx context.Context, w http.ResponseWriter, in *inbound, service string) error {
	r := &relay{h: h, in: in, service: service, w: w, lastEventID: in.call.LastEventID, lastEventAt: time.Now()}
	if in.call.LastEventID > 0 {
		h.fetchPace(ctx, service)
	}
	if err := r.checkTimeLeft(in.call.LastEventID == 0); err != nil {
		return err
	}
	h.pressure.recordPrompt(service, in.call.PromptTokens)
	defer func() {
		if r.replacement != nil { // the caller left in that moment
			r.replacement.end(segmentAborted)
		}
	}()
	for {
		a, err := r.nextAttempt(ctx)
		if err != nil {
			return r.giveUp(err)
		}
		end, err := r.follow(ctx, a)
		r.finishAttempt(a, end, err)
		switch end {
		case segmentComplete:
			h.pressure.recordDuration(service, time.Since(in.arrived))
			r.recordPace()
			h.metrics.countAnswer(in, http.StatusOK, sourceServer)
			return nil
		case segmentNonStream:
			return err
		case segmentAborted:
			return r.giveUp(err)
		case segmentMoved:
			r.interrupted = r.headersSent
		case segmentBroken:
			r.interrupted = r.headersSent
			if r.replacement == nil && (r.cannotContinue || !r.canResume()) {
				return r.giveUp(verdict.New(verdict.MayHaveRun, verdict.CodeBackendFailed, "the answer broke off").WithCause(err))
			}
		}
	}
}

// checkTimeLeft returns an error where the answer cannot be whole in the time that is left.
// unread says that its prompt has to be read first.
func (r *relay) checkTimeLeft(unread bool) error {
	if !r.h.pressure.isAnswerTooLate(r.service, r.in.call, unread, time.Until(r.in.deadline)) {
		return nil
	}
	return verdict.New(r.verdict(), verdict.CodeOverloaded, "the answer cannot be whole in the time that is left")
}

// recordPace takes what a whole answer shows of the service. The ids of events count them.
func (r *relay) recordPace() {
	if r.in.call.LastEventID == 0 && r.sends == 1 {
		r.h.pressure.recordAnswer(r.service, r.lastEventID, r.lastEventAt.Sub(r.in.arrived)-r.timeToFirstEvent)
	}
}

// verdict says whether the request may have run.
func (r *relay) verdict() verdict.Verdict {
	if r.possibleRuns > 0 {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// giveUp ends the answer; one that has begun is cut.
func (r *relay) giveUp(err error) error {
	if r.headersSent {
		return errors.Wrapf(errTruncated, "%v", err)
	}
	return err
}

// canResume reports whether a run that broke off may be followed by another.
func (r *relay) canResume() bool {
	return r.in.route.Resumable && r.possibleRuns < r.in.route.MaxAttempts
}

// nextSegment chooses the server of the next leg: the one with a copy of the run
// before, or one that reads the prompt. The request is counted there.
func (r *relay) nextSegment(ctx context.Context) (segment, error) {
	now := time.Now()
	if r.starts >= maxStarts || r.sends > 0 && !r.tryAcquireRetry(ctx, now) {
		return segment{}, r.noServerError()
	}
	view := r.h.opts.Feed.View()
	if held := r.heldCopy; held.at.load != nil {
		r.heldCopy = replica{}
		if c, ok := r.findCopyHolder(view, held); ok && r.tryAcquirePermit(ctx, c) {
			r.h.pool.addLoad(c, 1, 0, 0)
			return r.withCopyTarget(ctx, segment{target: c, resumeFrom: held.name}), nil
		}
	}
	if c, ok := r.retrySameEngine(ctx, view); ok && r.tryAcquirePermit(ctx, c) {
		r.h.pool.addLoad(c, 1, 0, 0)
		return r.withCopyTarget(ctx, segment{target: c}), nil
	}
	if c, ok := r.findPromptHolder(ctx, now, view); ok && r.tryAcquirePermit(ctx, c) {
		r.h.pool.addLoad(c, 1, 0, 0)
		return r.withCopyTarget(ctx, segment{target: c}), nil
	}
	if r.sends == 0 {
		if err := r.checkTimeLeft(true); err != nil {
			return segment{}, err
		}
	}
	if r.h.pressure.isPrefillTooLate(r.service, r.in.call.PromptTokens, r.in.deadline.Sub(now)) {
		return segment{}, verdict.New(r.verdict(), verdict.CodeOverloaded, "the prompt cannot be read in the time that is left")
	}
	if c, ok := r.placeCanary(ctx, view); ok {
		return r.withCopyTarget(ctx, segment{target: c}), nil
	}
	c, ok := r.placeWithPermit(ctx, view)
	if !ok {
		return segment{}, r.noServerError()
	}
	if err := r.admit(c); err != nil {
		r.h.pool.addLoad(c.choice, -1, 0, 0)
		return segment{}, err
	}
	blind := !c.answered && view.Config.Engine(r.service) != nil
	return r.withCopyTarget(ctx, segment{target: c.choice, unconfirmed: blind}), nil
}

// admission says whether an engine has room for the prompt, and how long its first event
// may take. A request that has run, or whose caller holds a part of the answer, is owed: it
// is sent wherever it can be read in time.
func (r *relay) admission(best sampledEngine) (admission prompts.Admission, due time.Duration) {
	owed := r.sends > 0 || r.in.call.LastEventID > 0
	due = time.Until(r.in.deadline)
	if !owed {
		due = r.h.pressure.firstEventBudget(r.service, r.in, due)
	}
	admission = r.h.pressure.admit(r.service, best.report, r.in.call.PromptTokens, due)
	if owed && admission == prompts.NoMemory {
		admission = prompts.Admitted
	}
	return admission, due
}

// admit refuses a request that engines have no room for.
func (r *relay) admit(best sampledEngine) error {
	admission, due := r.admission(best)
	if admission == prompts.Admitted {
		return nil
	}
	lasted, answer := r.h.pressure.recordRefusal(time.Now(), r.service)
	back := retryafter.AfterOverload(lasted, max(answer, r.in.route.Objective), rand.Float64())
	r.h.metrics.overloadRefusals.WithLabelValues(admission.String()).Inc()
	r.h.opts.Log.Emit(event.PromptRefused, r.in.call.ID, best.server.ID, admission.String(), r.in.call.PromptTokens,
		best.report.PendingPrompts, best.report.UsedTokens, best.report.CapacityTokens, due, lasted, answer)
	return verdict.New(r.verdict(), verdict.CodeOverloaded, "engines have no room for the prompt (%s)", admission).WithRetryAfter(back)
}

// tryAcquireRetry asks this daemon's part of the shared budget for one more send, and
// then other daemons for theirs. Only streams borrow: a call that is repeated
// would wait for the question longer than for its answer.
func (r *relay) tryAcquireRetry(ctx context.Context, now time.Time) bool {
	if r.h.pool.tryTakeRetry(now, r.service) {
		return true
	}
	if r.h.borrower.borrow(ctx, r.h.opts.Feed.View(), r.in.call.ID, r.service) {
		r.h.metrics.retriesBorrowed.Inc()
		return true
	}
	r.h.recordRetryDenied(r.in, r.sends)
	return false
}

// placeWithPermit is place, at an engine that gives a permit where it names a limit. It waits for
// one where all are lost.
func (r *relay) placeWithPermit(ctx context.Context, view *feed.View) (sampledEngine, bool) {
	for range maxStarts {
		c, ok := r.place(ctx, view)
		if !ok {
			c, ok = r.awaitEngine(ctx)
		}
		if !ok || r.tryAcquirePermit(ctx, c.choice) {
			return c, ok
		}
		r.h.pool.addLoad(c.choice, -1, 0, 0)
	}
	return sampledEngine{}, false
}

// tryAcquirePermit reports whether a request may be sent to an engine by the limit that it names. A
// permit is for a request that is sent at once.
func (r *relay) tryAcquirePermit(ctx context.Context, c choice) bool {
	return r.h.limits.acquire(ctx, c.server)
}

// noServerError says that no engine takes the request now.
func (r *relay) noServerError() error {
	if wait, limited := r.h.limits.permitWait(r.service); limited && r.sends == 0 {
		return r.h.rateLimitedError(r.in, r.service, r.verdict(), max(wait, r.h.pool.retryAfter(r.service)))
	}
	return verdict.New(r.verdict(), verdict.CodeNoBackend, "no engine takes the request").WithRetryAfter(r.h.pool.retryAfter(r.service))
}

// findCopyHolder is the engine that holds a copy now. It may have started anew at its
// address since the copy was asked for: the view shows that, or its own word. A copy
// that grows with its run is sent on to the new life, one made on demand is gone.
func (r *relay) findCopyHolder(view *feed.View, held replica) (choice, bool) {
	at := held.at
	if c, ok := r.h.pool.serverAt(view, r.service, at.server.Address); ok && c.server.Incarnation() != r.misdirectedLife {
		if held.onDemand && c.server.Incarnation() != at.server.Incarnation() {
			return at, false
		}
		at = c
	}
	return at, !view.HasDeparted(at.server.ID) && !slices.Contains(r.excluded, at.server.Incarnation()) && !r.h.versions.Barred(view, at.server)
}

// retrySameEngine is the engine that reset the connection before the first event, if it
// still holds the prompt: an engine may lose one answer and go on. Elsewhere the
// prompt would be read a second time.
func (r *relay) retrySameEngine(ctx context.Context, view *feed.View) (choice, bool) {
	last := r.resetBy
	r.resetBy = choice{}
	if last.load == nil || r.in.call.PromptKey == "" {
		return choice{}, false
	}
	c, ok := r.h.pool.findServer(view, r.service, last.server.Incarnation())
	if !ok {
		return choice{}, false // it leaves, or has started anew
	}
	ctx, cancel := context.WithTimeout(ctx, fastProbeTimeout)
	defer cancel()
	life, parts, err := r.h.cachedParts(ctx, c.server)
	c.reason = "same_again"
	return c, err == nil && life == c.server.Incarnation() && slices.Contains(parts, r.in.call.PromptKey)
}

// findPromptHolder is an engine that holds the prompt of a stream which another daemon began. They are
// looked for once: a further look would show no more, and each takes a part of the link.
func (r *relay) findPromptHolder(ctx context.Context, now time.Time, view *feed.View) (choice, bool) {
	if r.in.call.LastEventID == 0 || r.in.call.PromptKey == "" {
		return choice{}, false
	}
	if r.promptHolders == nil {
		r.promptHolders = append([]routing.Incarnation{}, r.h.locator.holders(ctx, r.service, r.in.call.PromptKey)...)
		r.h.opts.Log.Emit(event.PromptLocated, r.in.call.ID, r.in.call.PromptKey, serverIDs(r.promptHolders))
	}
	for _, life := range r.promptHolders {
		if slices.Contains(r.excluded, life) || r.h.pool.isSuspect(now, life) {
			continue
		}
		if c, ok := r.h.pool.findServer(view, r.service, life); ok {
			return c, true
		}
	}
	return choice{}, false
}

// serverIDs are those of the servers whose lives are given.
func serverIDs(lives []routing.Incarnation) []string {
	list := make([]string, len(lives))
	for i, life := range lives {
		list[i] = life.ID
	}
	return list
}

// withCopyTarget adds the place of a copy where engines can keep one.
func (r *relay) withCopyTarget(ctx context.Context, l segment) segment {
	view := r.h.opts.Feed.View()
	engine := view.Config.Engine(r.service)
	if engine == nil || !engine.CanReplicate || !r.in.route.Resumable {
		return l
	}
	l.copyTo, _ = r.chooseReplicaEngine(ctx, l.target.server, r.excluded)
	return l
}
