package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
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
	// silenceWithCopy is how long a stream whose run has a copy may be silent:
	// events come every 30 to 60 ms, and up to 230 ms while the engine reads a
	// prompt between its steps. Going on from a copy takes about 100 ms, which
	// leaves half of a target of 700 ms.
	silenceWithCopy = 350 * time.Millisecond
	// silenceAlone holds without a copy, where going on costs the reading of the
	// whole prompt: the answer is late then in any case.
	silenceAlone = 1500 * time.Millisecond
	// maxStarts bounds the sends of one stream that ran nowhere.
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
	// held is where a copy of the present run lies; its server is zero if nowhere.
	held choice
	// misdirected is the id by which the holder was asked for in vain.
	misdirected string
	runs        int // servers that may have run it
	starts      int
	sends       int
	failed      []string
	since       time.Time     // of the last event released, or of the start
	moved       bool          // broke off after an event, and none followed yet
	first       time.Duration // from the request's arrival to its first event, 0 before it
	events      int           // released
	longest     time.Duration // pause between two events released
}

// leg is the part of an answer that one server makes.
type leg struct {
	at     choice
	copyTo choice
	from   string // where the copy lies that it goes on from
}

// verdicts of a leg.
type legEnd uint8

const (
	legWhole   legEnd = iota // the answer is complete
	legNotRun                // the server did not run it
	legBroken                // it may go on elsewhere
	legAnswer                // the server's answer is no stream: it was passed on
	legAborted               // nothing more can be done
)

// String returns the word used in logs.
func (e legEnd) String() string {
	return [...]string{"whole", "not_run", "broken", "answer", "aborted"}[e]
}

// stream forwards a request whose answer is a series of events.
func (h *Handler) stream(ctx context.Context, w http.ResponseWriter, in *inbound, service string) error {
	r := &relay{h: h, in: in, service: service, w: w, after: in.call.After, since: time.Now()}
	for {
		l, err := r.next(ctx)
		if err != nil {
			return r.giveUp(err)
		}
		end, err := r.run(ctx, l)
		r.log(l, end, err)
		switch end {
		case legWhole:
			h.metrics.answered(in, http.StatusOK, sourceServer)
			return nil
		case legAnswer:
			return err
		case legAborted:
			return r.giveUp(err)
		case legBroken:
			r.moved = r.began
			if !r.mayGoOn() {
				return r.giveUp(verdict.New(verdict.MayHaveRun, verdict.CodeBackendFailed, "the answer broke off").Because(err))
			}
		}
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
// before, or one that reads the prompt.
func (r *relay) next(ctx context.Context) (leg, error) {
	now := time.Now()
	if r.starts >= maxStarts || r.sends > 0 && !r.h.repeat(now, r.in, r.service, r.sends) {
		return leg{}, r.none()
	}
	r.starts++
	view := r.h.opts.Feed.View()
	if held := r.held; held.load != nil {
		r.held = choice{}
		if c, ok := r.holder(view, held); ok {
			return r.withCopy(leg{at: c, from: c.server.Address + "/" + r.in.call.ID}), nil
		}
	}
	if c, ok := r.warm(ctx, now, view); ok {
		return r.withCopy(leg{at: c}), nil
	}
	if r.h.pool.hopeless(r.service, r.in.call.PromptTokens, r.in.until.Sub(now)) {
		return leg{}, verdict.New(r.verdict(), verdict.CodeOverloaded, "the prompt cannot be read in the time that is left")
	}
	c, ok := r.h.pool.prompt(now, view, r.service, r.failed)
	if !ok {
		return leg{}, r.none()
	}
	return r.withCopy(leg{at: c}), nil
}

// none says that no engine takes the request now.
func (r *relay) none() error {
	return verdict.New(r.verdict(), verdict.CodeNoBackend, "no engine takes the request").After(busyRetry)
}

// holder is the engine that holds a copy now. It may have started anew at its
// address since the copy was asked for: the view shows that, or its own word.
func (r *relay) holder(view *feed.View, held choice) (choice, bool) {
	if c, ok := r.h.pool.at(view, r.service, held.server.Address); ok && c.server.ID != r.misdirected {
		held = c
	}
	return held, !view.Departed(held.server.ID) && !contains(r.failed, held.server.ID)
}

// warm is an engine that holds the prompt of a stream which another daemon began.
func (r *relay) warm(ctx context.Context, now time.Time, view *feed.View) (choice, bool) {
	if r.in.call.After == 0 || r.in.call.OwnPart == "" {
		return choice{}, false
	}
	holders := r.h.locator.holders(ctx, r.service, r.in.call.OwnPart)
	r.h.opts.Log.Emit(event.PromptLocated, r.in.call.ID, r.in.call.OwnPart, holders)
	for _, id := range holders {
		if contains(r.failed, id) || r.h.pool.suspect(now, id) {
			continue
		}
		if c, ok := r.h.pool.server(view, r.service, id); ok {
			return c, true
		}
	}
	return choice{}, false
}

// withCopy adds the place of a copy where engines can keep one.
func (r *relay) withCopy(l leg) leg {
	view := r.h.opts.Feed.View()
	s := view.Config.Service(r.service)
	if s == nil || s.Engine == nil || !s.Engine.Copies || !r.in.route.Resumable {
		return l
	}
	if c, ok := r.h.pool.copyPlace(time.Now(), view, l.at.server, r.failed); ok {
		l.copyTo = c
	}
	return l
}

// run makes one leg.
func (r *relay) run(ctx context.Context, l leg) (legEnd, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // the server drops a run whose connection closes
	r.h.pool.count(l.at, 1, 0, 0)
	r.h.pool.count(l.copyTo, 0, 0, 1)
	probing, stopProbing := context.WithCancel(ctx)
	defer stopProbing()
	reading, started := true, time.Now()
	defer func() {
		r.h.pool.count(l.copyTo, 0, 0, -1)
		if reading {
			r.h.pool.count(l.at, -1, 0, 0)
		} else {
			r.h.pool.count(l.at, 0, -1, 0)
		}
	}()
	heard := func() {
		if reading {
			reading = false
			stopProbing()
			r.h.pool.count(l.at, -1, 1, 0)
			if l.from == "" && r.in.call.After == 0 {
				r.h.pool.wasRead(r.service, r.in.call.PromptTokens, time.Since(started))
			}
		}
	}
	r.sends++
	r.runs++
	dead := r.h.watch(probing, l.at.server)
	resp, err := r.open(ctx, l, dead)
	if err != nil {
		return r.failure(ctx, l, err)
	}
	defer resp.resp.Body.Close()
	if resp.reply.NotRun {
		r.runs--
		return r.turnedAway(ctx, l, resp)
	}
	if resp.resp.StatusCode != http.StatusOK {
		return r.noStream(ctx, l, resp)
	}
	if !resp.reply.Proven {
		return r.failure(ctx, l, errors.New("a success without proof"))
	}
	return r.copyEvents(ctx, l, resp.resp, dead, heard)
}

// opened is an answer up to its headers.
type opened struct {
	resp  *http.Response
	reply Reply
	err   error
}

// open sends the request and waits for the headers, asking for signs of life.
func (r *relay) open(ctx context.Context, l leg, dead <-chan error) (opened, error) {
	errand := Errand{
		ID: r.in.call.ID, Server: l.at.server, Left: time.Until(r.in.until),
		Account: r.in.accountName(), CopyTo: l.copyTo.server.Address, CopyAt: l.from, After: r.after,
	}
	got := make(chan opened, 1)
	go func() {
		var o opened
		o.resp, o.reply, o.err = r.h.send(ctx, r.in, errand)
		got <- o
	}()
	select {
	case o := <-got:
		return o, o.err
	case err := <-dead:
		return opened{}, err
	case <-ctx.Done():
		return opened{}, ctx.Err()
	}
}

// errCallerLeft means that nobody waits for the answer any more.
var errCallerLeft = errors.New("forward: the caller left")

// errDead means that a server gives no sign of life.
var errDead = errors.New("forward: no sign of life")

// watch probes a server until ctx ends, and says when it is dead.
func (h *Handler) watch(ctx context.Context, s routing.Server) <-chan error {
	dead := make(chan error, 1)
	go func() {
		tick := time.NewTicker(probeEvery)
		defer tick.Stop()
		failures := 0
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			if h.probe(ctx, s) == nil {
				failures = 0
				continue
			}
			if failures++; failures >= deadProbes {
				dead <- errDead
				return
			}
		}
	}()
	return dead
}

// copyEvents passes events on until the stream ends, breaks off or is silent.
func (r *relay) copyEvents(ctx context.Context, l leg, resp *http.Response, dead <-chan error, heard func()) (legEnd, error) {
	events := make(chan streamEvent)
	go readEvents(resp.Body, events, ctx.Done())
	silence := time.NewTimer(time.Hour)
	defer silence.Stop()
	for {
		select {
		case e := <-events:
			if e.err == io.EOF {
				return legWhole, nil
			}
			if e.err != nil {
				return r.failure(ctx, l, e.err)
			}
			heard()
			if l.copyTo.load != nil {
				r.held = l.copyTo
			}
			if err := r.release(resp, e); err != nil {
				return legAborted, err
			}
			silence.Reset(r.patience(l))
		case <-silence.C:
			return r.failure(ctx, l, errors.New("silent"))
		case err := <-dead:
			return r.failure(ctx, l, err)
		case <-ctx.Done():
			return legAborted, r.expired()
		}
	}
}

// patience is how long the leg may be silent.
func (r *relay) patience(l leg) time.Duration {
	if l.copyTo.load != nil {
		return silenceWithCopy
	}
	return silenceAlone
}

// release gives the caller one event.
func (r *relay) release(resp *http.Response, e streamEvent) error {
	if e.id != 0 && e.id <= r.after {
		return nil // the caller holds it
	}
	if !r.began {
		r.began = true
		r.first = time.Since(r.in.arrived)
		r.h.metrics.first.Observe(r.first.Seconds())
		copyHeader(r.w.Header(), resp.Header)
		r.w.WriteHeader(resp.StatusCode)
	}
	if _, err := r.w.Write(e.raw); err != nil {
		return errors.Wrap(err, "caller")
	}
	if err := http.NewResponseController(r.w).Flush(); err != nil {
		return errors.Wrap(err, "caller")
	}
	if e.id != 0 {
		r.after = e.id
	}
	now := time.Now()
	if r.events++; r.events > 1 {
		r.longest = max(r.longest, now.Sub(r.since))
	}
	if r.moved {
		r.moved = false
		r.h.metrics.pauses.Observe(now.Sub(r.since).Seconds())
	}
	r.since = now
	return nil
}

// failure judges a leg that ended without a whole answer.
func (r *relay) failure(ctx context.Context, l leg, err error) (legEnd, error) {
	if ctx.Err() != nil {
		return legAborted, r.expired()
	}
	r.h.blame(ctx, r.in, l.at, err)
	r.failed = append(r.failed, l.at.server.ID)
	if errors.Is(err, errNotSent) {
		r.runs--
		r.sends--
		return legNotRun, err
	}
	return legBroken, err
}

// turnedAway handles a server's word that it did not run the request.
func (r *relay) turnedAway(ctx context.Context, l leg, o opened) (legEnd, error) {
	err := errors.Errorf("status %d, instance %s", o.resp.StatusCode, o.reply.Instance)
	if l.from == "" {
		r.failed = append(r.failed, l.at.server.ID)
		return legNotRun, err
	}
	if o.reply.Misdirected && r.h.successor(ctx, r.service, l.at.server, o.reply.Instance) {
		r.misdirected = l.at.server.ID
		l.at.server.ID = o.reply.Instance
		r.held = l.at
	}
	return legNotRun, err
}

// successor reports whether instance, which answers at the address of old, is
// an engine of the same service that started anew there. A daemon that has lost
// the store does not see it register, although copies are sent to the address
// and lie at the new engine. Where one service alone has engines, whatever
// speaks as an engine is of that service, also at an address used again.
func (h *Handler) successor(ctx context.Context, service string, old routing.Server, instance string) bool {
	view := h.opts.Feed.View()
	if instance == "" || instance == old.ID || view.Departed(instance) || view.Config.OnlyEngines() != service {
		return false
	}
	return h.probe(ctx, old) == nil
}

// noStream passes on a failure that a server answered, unless another may do better.
func (r *relay) noStream(ctx context.Context, l leg, o opened) (legEnd, error) {
	if r.began || r.mayGoOn() {
		r.failed = append(r.failed, l.at.server.ID)
		return legBroken, errors.Errorf("status %d", o.resp.StatusCode)
	}
	body, rest, err := readAnswer(o.resp)
	if err != nil {
		return r.failure(ctx, l, err)
	}
	err = r.h.passOn(r.w, r.in, &outcome{status: o.resp.StatusCode, header: o.resp.Header, body: body, rest: rest})
	return legAnswer, err
}

func (r *relay) expired() error {
	if time.Now().Before(r.in.until) {
		return errCallerLeft
	}
	return verdict.New(r.verdict(), verdict.CodeDeadline, "the answer was not finished in time")
}

func (r *relay) log(l leg, end legEnd, err error) {
	r.h.metrics.legs.WithLabelValues(l.at.reason, end.String()).Inc()
	r.h.opts.Log.Emit(event.StreamLeg, r.in.call.ID, r.in.call.OwnPart, r.in.route.Name, r.in.accountName(), r.in.version, l.at.server.ID, l.at.server.Zone, l.at.reason,
		l.copyTo.server.ID, end.String(), r.after, r.first, r.longest, time.Since(r.since), time.Since(r.in.arrived), err)
}
