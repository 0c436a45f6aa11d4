package forward

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/telemetry/event"
)

const (
	// probeInterval is how often an engine is probed while a stream waits for its first event,
	// which the prefill of the prompt may delay by seconds.
	probeInterval = 400 * time.Millisecond
	// probeTimeout is many times a round trip. A probe does not wait for a slot of the engine.
	probeTimeout = 200 * time.Millisecond
	// maxFailedProbes is the number of consecutive failed probes after which an engine counts as
	// dead. A single failure may be a lost packet.
	maxFailedProbes = 2
	// minLostEvents is the number of events that an engine reports for a stream of which none
	// has arrived before the response counts as lost. They take a tenth of a second to generate,
	// while the first event takes one round trip to arrive.
	minLostEvents = 3
	// maxCopyProbes bounds the engines that are probed as the target of a copy.
	maxCopyProbes = 3
	// maxStarts bounds the requests sent for one stream, including those that servers reject.
	maxStarts = 8
	// newRequestTimeRatio is the part of its route's timeout that a request has left unless it is a retry.
	newRequestTimeRatio = 0.9
)

// relay forwards one response event by event, from one backend server or from several in turn.
type relay struct {
	h           *Handler
	in          *inbound
	service     string
	rank        int // of the request among the streams of its service; 0 is the most urgent
	w           http.ResponseWriter
	headersSent bool  // the caller has received the headers
	lastEventID int64 // ID of the last event sent to the caller
	// heldCopy is a copy of the current run.
	heldCopy replica
	// resetBy is the engine that reset the connection before the first event. It may be alive
	// and hold the prompt. It is zero if there is none.
	resetBy choice
	// misdirectedLife is the incarnation that was asked to resume from a copy although another
	// one has its address.
	misdirectedLife routing.Incarnation
	possibleRuns    int                   // servers that may have run the request
	starts          int                   // attempts, without those that could not connect
	sends           int                   // requests sent, without those that could not connect
	room            roomState             // where streams differ in priority
	retryTaken      bool                  // a retry was taken from the budget for the next send
	looksAgain      bool                  // no server could continue the response a moment ago
	rejections      int                   // in a row, by servers that did not run the request
	releasedSilent  bool                  // the last server was released for its silence alone
	excluded        []routing.Incarnation // servers that must not be chosen again
	// leftToOthers is set if the prompt was not placed because prompts that wait at other daemons
	// come first.
	leftToOthers bool
	// promptHolders are the engines that hold the prompt; nil before the lookup.
	promptHolders []routing.Incarnation
	// linkStalledSince is when the daemon's own link was first found stalled; zero if it was not.
	linkStalledSince time.Time
	// cannotContinue is set once the stalled response was found unable to continue.
	cannotContinue bool
	// left are the runs of this request that their engines were asked to stop.
	left []*leftRun
	// replacement is the attempt that took over the response from the previous one.
	replacement      *attempt
	lastEventAt      time.Time     // time of the last event sent to the caller, or of the start
	interrupted      bool          // the stream broke off after an event, and none followed yet
	timeToFirstEvent time.Duration // since the request's arrival; 0 before the first event
	eventCount       int           // events sent to the caller
	longestGap       time.Duration // between two events sent to the caller
	isTrial          bool          // it was sent although its answer seemed to be too late
	headroomDenied   bool          // an engine had no room beside that kept for more urgent prompts
	copyDecision     atomic.Uint32 // the last headroom.CopyDecision, of the replicator as well
}

// nextAttempt returns the attempt that took over the response, or starts a new one.
func (r *relay) nextAttempt(ctx context.Context) (*attempt, error) {
	if replacement := r.replacement; replacement != nil {
		r.replacement = nil
		return replacement, nil
	}
	l, err := r.nextSegment(ctx)
	if err != nil {
		return nil, err
	}
	return r.start(ctx, l), nil
}

// segment is the part of a response that one backend server produces.
type segment struct {
	target     choice // the server
	copyTo     choice // the engine that receives an incremental copy of the run
	resumeFrom string // name of the copy that the run resumes from; "" if there is none
	// unconfirmed is set if no engine responded to a probe before the request was sent.
	unconfirmed bool
}

// incrementalCopy returns the copy that the engine of the segment sends while the run generates
// events, a zero one if there is none.
func (l segment) incrementalCopy(id string) replica {
	if l.copyTo.load == nil {
		return replica{}
	}
	return replica{at: l.copyTo, name: replicaName(l.copyTo.server, id)}
}

// segmentEnd says how a segment ended.
type segmentEnd uint8

const (
	segmentComplete  segmentEnd = iota // the response is complete
	segmentNotRun                      // the server did not run the request
	segmentBroken                      // failed; the response may continue at another server
	segmentNonStream                   // the server's response is not a stream and was forwarded
	segmentAborted                     // the response ends here
	segmentMoved                       // continues elsewhere, since the server's version is withdrawn
)

// String returns the name used in logs and metrics.
func (e segmentEnd) String() string {
	return [...]string{"whole", "not_run", "broken", "answer", "aborted", "moved"}[e]
}

// forwardStream forwards a request whose response is a stream of events.
func (h *Handler) forwardStream(ctx context.Context, w http.ResponseWriter, in *inbound, service string) error {
	r := &relay{h: h, in: in, service: service, w: w, lastEventID: in.call.LastEventID, lastEventAt: time.Now()}
	if config := h.opts.Feed.View().Config; config != nil {
		r.rank = config.Rank(service, in.route, in.account)
	}
	if in.call.LastEventID > 0 {
		h.fetchPace(ctx, service)
	}
	if err := r.checkTimeLeft(in.call.LastEventID == 0); err != nil {
		return err
	}
	r.observeArrival()
	defer func() {
		r.settleStates()
		if r.replacement != nil { // the caller disconnected during the takeover
			r.replacement.end(segmentAborted)
		}
	}()
	for {
		a, err := r.awaitAttempt(ctx)
		if err != nil {
			return r.giveUp(err)
		}
		end, err := r.follow(ctx, a)
		r.finishAttempt(a, end, err)
		r.adoptState(a)
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
			r.recordLoss()
			r.interrupted = r.headersSent
			if r.replacement == nil && (r.cannotContinue || !r.canResume() || r.isPromptSuspect(ctx, a)) {
				return r.giveUp(verdict.New(verdict.MayHaveRun, verdict.CodeBackendFailed, "the answer broke off").WithCause(err))
			}
		}
	}
}

// observeArrival records the prompt in the demand of its service.
func (r *relay) observeArrival() {
	r.h.pressure.recordPrompt(r.service, r.in.call.PromptTokens)
	if r.hasPriorities() {
		r.h.headroom.observePrompt(time.Now(), r.service, r.rank)
	}
}

// checkTimeLeft returns an error if the response cannot be completed before the deadline. unread
// is true if the prompt has to be prefilled first. A new request that does not state how long its answer
// may be is tried now and then, since it may be a short one.
func (r *relay) checkTimeLeft(unread bool) error {
	if r.isTrial || !r.h.pressure.isAnswerTooLate(r.service, r.in.call, unread, time.Until(r.in.deadline)) {
		return nil
	}
	if r.isNewOfUnknownLength() && r.h.pressure.tryAnswer(time.Now(), r.service) {
		r.isTrial = true
		return nil
	}
	return verdict.New(r.verdict(), verdict.CodeOverloaded, "the answer cannot be whole in the time that is left")
}

// isNewOfUnknownLength reports whether the request does not state how long its answer may be, and has all
// the time of its route, so that it is no retry.
func (r *relay) isNewOfUnknownLength() bool {
	left := time.Until(r.in.deadline)
	return r.in.call.MaxAnswerTokens == 0 && r.in.call.LastEventID == 0 && float64(left) > newRequestTimeRatio*float64(r.in.route.Timeout)
}

// recordPace records the event rate of a complete response, if one server produced all of it.
// The ID of the last event is the number of events.
func (r *relay) recordPace() {
	if r.in.call.LastEventID == 0 && r.sends == 1 {
		r.h.pressure.recordAnswer(r.service, r.lastEventID, r.in.call.MaxAnswerTokens, r.lastEventAt.Sub(r.in.arrived)-r.timeToFirstEvent)
	}
}

// verdict returns whether the request may have run.
func (r *relay) verdict() verdict.Verdict {
	if r.possibleRuns > 0 {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// giveUp returns the error that ends the response. A response that has begun is truncated.
func (r *relay) giveUp(err error) error {
	if r.headersSent {
		return truncatedError{err}
	}
	return err
}

// canResume reports whether another run may follow one that broke off.
func (r *relay) canResume() bool {
	return r.in.route.Resumable && r.possibleRuns < r.in.route.MaxAttempts
}

// nextSegment chooses the server of the next segment: one that holds a copy of the previous run or
// the prompt, or else one that prefills the prompt. The request is counted there.
func (r *relay) nextSegment(ctx context.Context) (segment, error) {
	now := time.Now()
	if r.mustRefuseRefill(now) {
		return segment{}, r.refuseRefill()
	}
	// Where the request may wait before it is sent, the retry is taken once the engine is chosen: it
	// counts in the window in which it is sent.
	if r.starts >= maxStarts || !r.hasPriorities() && !r.looksAgain && !r.ensureRetry(ctx) {
		return segment{}, r.noServerError()
	}
	view, held := r.h.opts.Feed.View(), r.heldCopy
	if l, ok := r.findHolder(ctx, now, view); ok {
		if !r.ensureRetry(ctx) {
			if l.resumeFrom != "" {
				r.heldCopy = held // unused
			}
			return segment{}, r.noServerError()
		}
		r.h.pool.addLoad(l.target, 1, 0, 0)
		return r.withCopyTarget(ctx, l), nil
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
	c, err := r.placeOrdered(ctx, view)
	if err != nil {
		return segment{}, err
	}
	unconfirmed := !c.answered && view.Config.Engine(r.service) != nil
	if r.looksAgain && unconfirmed || !r.ensureRetry(ctx) {
		r.h.pool.addLoad(c.choice, -1, 0, 0)
		return segment{}, r.noServerError()
	}
	return r.withCopyTarget(ctx, segment{target: c.choice, unconfirmed: unconfirmed}), nil
}

// findHolder returns a segment that needs no prefill: at the engine with the copy of the previous run,
// or at one that holds the prompt. The engine's rate limit permits the request now.
func (r *relay) findHolder(ctx context.Context, now time.Time, view *feed.View) (segment, bool) {
	if held := r.heldCopy; held.at.load != nil {
		r.heldCopy = replica{}
		if c, ok := r.findCopyHolder(view, held); ok && r.tryAcquirePermit(ctx, c) {
			return segment{target: c, resumeFrom: held.name}, true
		}
	}
	if c, ok := r.retrySameEngine(ctx, view); ok && r.tryAcquirePermit(ctx, c) {
		return segment{target: c}, true
	}
	if c, ok := r.findPromptHolder(ctx, now, view); ok && r.tryAcquirePermit(ctx, c) {
		return segment{target: c}, true
	}
	return segment{}, false
}

// tryAcquirePermit reports whether the rate limit that an engine states permits a request now. A
// permit is only valid for a request that is sent at once.
func (r *relay) tryAcquirePermit(ctx context.Context, c choice) bool {
	return r.h.limits.acquire(ctx, c.server)
}

// noServerError is the refusal of a request that no engine takes now.
func (r *relay) noServerError() error {
	if err := r.h.allPausedError(r.service, r.verdict()); err != nil {
		return err
	}
	if wait, limited := r.h.limits.permitWait(r.service); limited && r.sends == 0 {
		return r.h.rateLimitedError(r.in, r.service, r.verdict(), max(wait, r.h.pool.retryAfter(r.service)))
	}
	return verdict.New(r.verdict(), verdict.CodeNoBackend, "no engine takes the request").WithRetryAfter(r.h.pool.retryAfter(r.service))
}

// findCopyHolder returns the engine that holds a copy now, false if there is none. The engine may
// have restarted at its address since the copy was requested, as the view or the engine itself
// shows. An incremental copy is sent to the new incarnation as well, one made on demand is lost.
func (r *relay) findCopyHolder(view *feed.View, held replica) (choice, bool) {
	at := held.at
	if c, ok := r.h.pool.serverAt(view, r.service, at.server.Address); ok && c.server.Incarnation() != r.misdirectedLife {
		if held.onDemand && c.server.Incarnation() != at.server.Incarnation() {
			return at, false
		}
		at = c
	}
	return at, !view.HasDeparted(at.server.ID) && !r.h.pool.isLeaving(at.server.Incarnation()) && !slices.Contains(r.excluded, at.server.Incarnation()) && !r.h.versions.IsBlocked(view, at.server)
}

// retrySameEngine returns the engine that reset the connection before the first event, if it still
// holds the prompt. An engine may lose one response and keep running, and any other engine would
// have to prefill the prompt a second time.
func (r *relay) retrySameEngine(ctx context.Context, view *feed.View) (choice, bool) {
	last := r.resetBy
	r.resetBy = choice{}
	if last.load == nil || r.in.call.PromptKey == "" {
		return choice{}, false
	}
	c, ok := r.h.pool.findServer(view, r.service, last.server.Incarnation())
	if !ok {
		return choice{}, false // it is draining or has restarted
	}
	ctx, cancel := context.WithTimeout(ctx, fastProbeTimeout)
	defer cancel()
	life, parts, err := r.h.cachedParts(ctx, c.server)
	c.reason = "same_again"
	return c, err == nil && life == c.server.Incarnation() && slices.Contains(parts, r.in.call.PromptKey)
}

// findPromptHolder returns an engine that holds the prompt of a stream which another daemon began.
// The lookup is made once per request: another one would find no more, and each uses bandwidth of
// the daemon's link.
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

// serverIDs returns the server IDs of incarnations.
func serverIDs(lives []routing.Incarnation) []string {
	list := make([]string, len(lives))
	for i, life := range lives {
		list[i] = life.ID
	}
	return list
}

// withCopyTarget adds the engine that receives an incremental copy, if the engines of the service
// support that and the route is resumable.
func (r *relay) withCopyTarget(ctx context.Context, l segment) segment {
	view := r.h.opts.Feed.View()
	engine := view.Config.Engine(r.service)
	if engine == nil || !engine.CanReplicate || !r.in.route.Resumable {
		return l
	}
	l.copyTo, _ = r.chooseReplicaEngine(ctx, l.target.server, r.excluded)
	return l
}
