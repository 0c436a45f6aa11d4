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
	// probeEvery is how often a server is asked for a sign of life while a stream
	// waits for its first event, which a prompt may delay by seconds.
	probeEvery = 400 * time.Millisecond
	// probeTimeout is many times a round trip; a server answers a probe without
	// a slot.
	probeTimeout = 200 * time.Millisecond
	// deadProbes is how many probes in a row fail at a server that is dead. One
	// may be a lost packet.
	deadProbes = 2
	// lostEvents is how many events an engine reports of a stream of which none has
	// arrived before the answer counts as lost: a tenth of a second's, while a
	// first event takes a round trip.
	lostEvents = 3
	// copyTries bounds the engines that are asked whether they can keep a copy.
	copyTries = 3
	// maxStarts bounds the servers that may turn one stream away.
	maxStarts = 8
)

// relay is one answer that is passed on event by event.
type relay struct {
	h       *Handler
	in      *inbound
	service string
	w       http.ResponseWriter
	began   bool  // headers and an event were released
	after   int64 // id of the last event released
	// held is a copy of the present run.
	held kept
	// reset is the engine that reset the connection before the first event; it may
	// live and hold the prompt. Its server is zero if there is none.
	reset choice
	// misdirected is the life for which the holder was asked in vain.
	misdirected routing.Life
	runs        int // servers that may have run it
	starts      int
	sends       int
	failed      []routing.Life
	// located are the engines that hold the prompt, nil before they were looked for.
	located []routing.Life
	// heldUpSince is when the link from here was first found held up; zero if it was not.
	heldUpSince time.Time
	// stuck says that the answer was found unable to go on.
	stuck bool
	// taken is the attempt that took the answer over from the one before.
	taken   *attempt
	since   time.Time     // of the last event released, or of the start
	moved   bool          // broke off after an event, and none followed yet
	first   time.Duration // from the request's arrival to its first event, 0 before it
	events  int           // released
	longest time.Duration // pause between two events released
}

// attempt is the one that took the answer over, or a new one.
func (r *relay) attempt(ctx context.Context) (*attempt, error) {
	if taken := r.taken; taken != nil {
		r.taken = nil
		return taken, nil
	}
	l, err := r.next(ctx)
	if err != nil {
		return nil, err
	}
	return r.start(ctx, l), nil
}

// leg is the part of an answer that one server makes.
type leg struct {
	at     choice
	copyTo choice
	from   string // where the copy lies that it goes on from
	// blind says that no engine answered before the request was sent to this one.
	blind bool
}

// copy is the copy that is kept while the run grows, if there is one.
func (l leg) copy(id string) kept {
	if l.copyTo.load == nil {
		return kept{}
	}
	return kept{at: l.copyTo, name: copyName(l.copyTo.server, id)}
}

// legEnd says how a leg ended.
type legEnd uint8

const (
	legWhole   legEnd = iota // the answer is complete
	legNotRun                // the server did not run it
	legBroken                // it may go on elsewhere
	legAnswer                // the server's answer is no stream: it was passed on
	legAborted               // nothing more can be done
	legMoved                 // it goes on elsewhere, because its server's version leaves
)

// String returns the word used in logs.
func (e legEnd) String() string {
	return [...]string{"whole", "not_run", "broken", "answer", "aborted", "moved"}[e]
}

// stream forwards a request whose answer is a series of events.
func (h *Handler) stream(ctx context.Context, w http.ResponseWriter, in *inbound, service string) error {
	r := &relay{h: h, in: in, service: service, w: w, after: in.call.After, since: time.Now()}
	if in.call.After > 0 {
		h.learnPace(ctx, service)
	}
	if err := r.finishable(in.call.After == 0); err != nil {
		return err
	}
	h.pressure.asked(service, in.call.PromptTokens)
	defer func() {
		if r.taken != nil { // the caller left in that moment
			r.taken.end(legAborted)
		}
	}()
	for {
		a, err := r.attempt(ctx)
		if err != nil {
			return r.giveUp(err)
		}
		end, err := r.follow(ctx, a)
		r.over(a, end, err)
		switch end {
		case legWhole:
			h.pressure.ended(service, time.Since(in.arrived))
			r.learn()
			h.metrics.answered(in, http.StatusOK, sourceServer)
			return nil
		case legAnswer:
			return err
		case legAborted:
			return r.giveUp(err)
		case legMoved:
			r.moved = r.began
		case legBroken:
			r.moved = r.began
			if r.taken == nil && (r.stuck || !r.mayGoOn()) {
				return r.giveUp(verdict.New(verdict.MayHaveRun, verdict.CodeBackendFailed, "the answer broke off").Because(err))
			}
		}
	}
}

// finishable returns an error where the answer cannot be whole in the time that is left.
// unread says that its prompt has to be read first.
func (r *relay) finishable(unread bool) error {
	if !r.h.pressure.unfinishable(r.service, r.in.call, unread, time.Until(r.in.until)) {
		return nil
	}
	return verdict.New(r.verdict(), verdict.CodeOverloaded, "the answer cannot be whole in the time that is left")
}

// learn takes what a whole answer shows of the service. The ids of events count them.
func (r *relay) learn() {
	if r.in.call.After == 0 && r.sends == 1 {
		r.h.pressure.made(r.service, r.after, r.since.Sub(r.in.arrived)-r.first)
	}
}

// verdict says whether the request may have run.
func (r *relay) verdict() verdict.Verdict {
	if r.runs > 0 {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// giveUp ends the answer; one that has begun is cut.
func (r *relay) giveUp(err error) error {
	if r.began {
		return errors.Wrapf(errCut, "%v", err)
	}
	return err
}

// mayGoOn reports whether a run that broke off may be followed by another.
func (r *relay) mayGoOn() bool {
	return r.in.route.Resumable && r.runs < r.in.route.Attempts
}

// next chooses the server of the next leg: the one with a copy of the run
// before, or one that reads the prompt. The request is counted there.
func (r *relay) next(ctx context.Context) (leg, error) {
	now := time.Now()
	if r.starts >= maxStarts || r.sends > 0 && !r.mayRepeat(ctx, now) {
		return leg{}, r.none()
	}
	view := r.h.opts.Feed.View()
	if held := r.held; held.at.load != nil {
		r.held = kept{}
		if c, ok := r.holder(view, held); ok && r.permitted(ctx, c) {
			r.h.pool.count(c, 1, 0, 0)
			return r.withCopy(ctx, leg{at: c, from: held.name}), nil
		}
	}
	if c, ok := r.sameAgain(ctx, view); ok && r.permitted(ctx, c) {
		r.h.pool.count(c, 1, 0, 0)
		return r.withCopy(ctx, leg{at: c}), nil
	}
	if c, ok := r.warm(ctx, now, view); ok && r.permitted(ctx, c) {
		r.h.pool.count(c, 1, 0, 0)
		return r.withCopy(ctx, leg{at: c}), nil
	}
	if r.sends == 0 {
		if err := r.finishable(true); err != nil {
			return leg{}, err
		}
	}
	if r.h.pressure.hopeless(r.service, r.in.call.PromptTokens, r.in.until.Sub(now)) {
		return leg{}, verdict.New(r.verdict(), verdict.CodeOverloaded, "the prompt cannot be read in the time that is left")
	}
	if c, ok := r.placeDrawn(ctx, view); ok {
		return r.withCopy(ctx, leg{at: c}), nil
	}
	c, ok := r.placePermitted(ctx, view)
	if !ok {
		return leg{}, r.none()
	}
	if err := r.admit(c); err != nil {
		r.h.pool.count(c.choice, -1, 0, 0)
		return leg{}, err
	}
	blind := !c.answered && view.Config.Engine(r.service) != nil
	return r.withCopy(ctx, leg{at: c.choice, blind: blind}), nil
}

// admission says whether an engine has room for the prompt, and how long its first event
// may take. A request that has run, or whose caller holds a part of the answer, is owed: it
// is sent wherever it can be read in time.
func (r *relay) admission(best surveyed) (admission prompts.Admission, due time.Duration) {
	owed := r.sends > 0 || r.in.call.After > 0
	due = time.Until(r.in.until)
	if !owed {
		due = r.h.pressure.due(r.service, r.in, due)
	}
	admission = r.h.pressure.admit(r.service, best.report, r.in.call.PromptTokens, due)
	if owed && admission == prompts.NoRoom {
		admission = prompts.Admitted
	}
	return admission, due
}

// admit refuses a request that engines have no room for.
func (r *relay) admit(best surveyed) error {
	admission, due := r.admission(best)
	if admission == prompts.Admitted {
		return nil
	}
	lasted, answer := r.h.pressure.refused(time.Now(), r.service)
	back := retryafter.AfterOverload(lasted, max(answer, r.in.route.Objective), rand.Float64())
	r.h.metrics.crowded.WithLabelValues(admission.String()).Inc()
	r.h.opts.Log.Emit(event.PromptRefused, r.in.call.ID, best.server.ID, admission.String(), r.in.call.PromptTokens,
		best.report.Unread, best.report.Used, best.report.Memory, due, lasted, answer)
	return verdict.New(r.verdict(), verdict.CodeOverloaded, "engines have no room for the prompt (%s)", admission).After(back)
}

// mayRepeat asks this daemon's part of the shared budget for one more send, and
// then other daemons for theirs. Only streams borrow: a call that is repeated
// would wait for the question longer than for its answer.
func (r *relay) mayRepeat(ctx context.Context, now time.Time) bool {
	if r.h.pool.repeat(now, r.service) {
		return true
	}
	if r.h.borrower.borrow(ctx, r.h.opts.Feed.View(), r.in.call.ID, r.service) {
		r.h.metrics.borrowed.Inc()
		return true
	}
	r.h.denied(r.in, r.sends)
	return false
}

// placePermitted is place, at an engine that gives a permit where it names a limit. It waits for
// one where all are lost.
func (r *relay) placePermitted(ctx context.Context, view *feed.View) (surveyed, bool) {
	for range maxStarts {
		c, ok := r.place(ctx, view)
		if !ok {
			c, ok = r.awaitEngine(ctx)
		}
		if !ok || r.permitted(ctx, c.choice) {
			return c, ok
		}
		r.h.pool.count(c.choice, -1, 0, 0)
	}
	return surveyed{}, false
}

// permitted reports whether a request may be sent to an engine by the limit that it names. A
// permit is for a request that is sent at once.
func (r *relay) permitted(ctx context.Context, c choice) bool {
	return r.h.limits.take(ctx, c.server)
}

// none says that no engine takes the request now.
func (r *relay) none() error {
	if wait, limited := r.h.limits.full(r.service); limited && r.sends == 0 {
		return r.h.rationed(r.in, r.service, r.verdict(), max(wait, r.h.pool.back(r.service)))
	}
	return verdict.New(r.verdict(), verdict.CodeNoBackend, "no engine takes the request").After(r.h.pool.back(r.service))
}

// holder is the engine that holds a copy now. It may have started anew at its
// address since the copy was asked for: the view shows that, or its own word. A copy
// that grows with its run is sent on to the new life, one made on demand is gone.
func (r *relay) holder(view *feed.View, held kept) (choice, bool) {
	at := held.at
	if c, ok := r.h.pool.at(view, r.service, at.server.Address); ok && c.server.Life() != r.misdirected {
		if held.once && c.server.Life() != at.server.Life() {
			return at, false
		}
		at = c
	}
	return at, !view.Departed(at.server.ID) && !slices.Contains(r.failed, at.server.Life()) && !r.h.versions.Barred(view, at.server)
}

// sameAgain is the engine that reset the connection before the first event, if it
// still holds the prompt: an engine may lose one answer and go on. Elsewhere the
// prompt would be read a second time.
func (r *relay) sameAgain(ctx context.Context, view *feed.View) (choice, bool) {
	last := r.reset
	r.reset = choice{}
	if last.load == nil || r.in.call.OwnPart == "" {
		return choice{}, false
	}
	c, ok := r.h.pool.server(view, r.service, last.server.Life())
	if !ok {
		return choice{}, false // it leaves, or has started anew
	}
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	life, parts, err := r.h.cached(ctx, c.server)
	c.reason = "same_again"
	return c, err == nil && life == c.server.Life() && slices.Contains(parts, r.in.call.OwnPart)
}

// warm is an engine that holds the prompt of a stream which another daemon began. They are
// looked for once: a further look would show no more, and each takes a part of the link.
func (r *relay) warm(ctx context.Context, now time.Time, view *feed.View) (choice, bool) {
	if r.in.call.After == 0 || r.in.call.OwnPart == "" {
		return choice{}, false
	}
	if r.located == nil {
		r.located = append([]routing.Life{}, r.h.locator.holders(ctx, r.service, r.in.call.OwnPart)...)
		r.h.opts.Log.Emit(event.PromptLocated, r.in.call.ID, r.in.call.OwnPart, ids(r.located))
	}
	for _, life := range r.located {
		if slices.Contains(r.failed, life) || r.h.pool.suspect(now, life) {
			continue
		}
		if c, ok := r.h.pool.server(view, r.service, life); ok {
			return c, true
		}
	}
	return choice{}, false
}

// ids are those of the servers whose lives are given.
func ids(lives []routing.Life) []string {
	list := make([]string, len(lives))
	for i, life := range lives {
		list[i] = life.ID
	}
	return list
}

// withCopy adds the place of a copy where engines can keep one.
func (r *relay) withCopy(ctx context.Context, l leg) leg {
	view := r.h.opts.Feed.View()
	engine := view.Config.Engine(r.service)
	if engine == nil || !engine.Copies || !r.in.route.Resumable {
		return l
	}
	l.copyTo, _ = r.copyPlace(ctx, l.at.server, r.failed)
	return l
}
