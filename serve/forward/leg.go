package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/telemetry/event"
)

// run makes one leg, whose request is counted as one that is read.
func (r *relay) run(ctx context.Context, l leg) (legEnd, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // the server drops a run whose connection closes
	r.h.pool.count(l.copyTo, 0, 0, 1)
	probing, stopProbing := context.WithCancel(ctx)
	defer stopProbing()
	reading, started := true, time.Now()
	second := r.newSpare(l)
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
			r.h.pool.worked(l.at)
			if l.from == "" && r.in.call.After == 0 {
				r.h.pressure.wasRead(r.service, r.in.call.PromptTokens, time.Since(started))
			}
			if second != nil {
				go second.run(ctx)
			}
		}
	}
	r.sends++
	r.runs++
	dead := r.watch(probing, l)
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
	end, err := r.copyEvents(ctx, l, resp.resp, dead, heard)
	r.settle(second, end)
	return end, err
}

// settle takes over a copy made on demand, or frees it once the answer is whole.
func (r *relay) settle(second *spare, end legEnd) {
	switch {
	case second == nil:
	case end == legBroken:
		if copied := second.copied.Load(); copied != nil {
			r.held = *copied
		}
	default:
		second.drop()
	}
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
		Account: r.in.accountName(), Priority: r.in.priority(), CopyTo: l.copyTo.server.Address, CopyAt: l.from, After: r.after,
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

// errAnswerLost means that an engine runs the request and its answer does not arrive.
var errAnswerLost = errors.New("forward: the answer does not arrive")

// lost reports whether an engine has made events of this request although none
// has arrived.
func (r *relay) lost(report Report) bool {
	return r.in.call.After == 0 && report.Events[r.in.call.ID] >= lostEvents
}

// watch probes the engine of a leg until ctx ends, and says when it is dead. Other
// servers answer no probe, and where the request cannot go on elsewhere nothing
// would follow from it.
func (r *relay) watch(ctx context.Context, l leg) <-chan error {
	dead := make(chan error, 1)
	if r.h.opts.Feed.View().Config.Engine(r.service) == nil || !r.in.route.Resumable {
		return dead
	}
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
			report, err := r.h.probe(ctx, l.at.server, probeTimeout)
			switch {
			case errors.Is(err, errRestarted):
				dead <- err
				return
			case err == nil && r.lost(report):
				dead <- errAnswerLost
				return
			case err == nil:
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
				r.begin(resp)
				return legWhole, nil
			}
			if e.err != nil {
				return r.failure(ctx, l, e.err)
			}
			heard()
			r.held = l.copy(r.in.call.ID)
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

// patience is how long the leg may be silent. An answer that cannot go on
// elsewhere is waited for as long as its caller waits.
func (r *relay) patience(l leg) time.Duration {
	switch {
	case !r.in.route.Resumable:
		return time.Until(r.in.until)
	case l.copyTo.load != nil:
		return min(max(silenceWithCopy, r.in.route.GapTarget/2), silenceAlone)
	}
	return max(silenceAlone, 2*r.in.route.GapTarget)
}

// begin gives the caller the headers of the first server that answered.
func (r *relay) begin(resp *http.Response) {
	if r.began {
		return
	}
	r.began = true
	r.first = time.Since(r.in.arrived)
	r.h.metrics.first.Observe(r.first.Seconds())
	copyHeader(r.w.Header(), resp.Header)
	r.w.WriteHeader(resp.StatusCode)
}

// release gives the caller one event.
func (r *relay) release(resp *http.Response, e streamEvent) error {
	if e.id != 0 && e.id <= r.after {
		return nil // the caller holds it
	}
	r.begin(resp)
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
	r.failed = append(r.failed, l.at.server.Life())
	if errors.Is(err, errNotSent) {
		r.runs--
		r.sends--
		r.starts-- // another is tried as long as there is one
		return legNotRun, err
	}
	switch {
	case errors.Is(err, errAnswerLost):
		r.held = l.copy(r.in.call.ID) // the prompt was read, so the copy is there
	case !r.began && !errors.Is(err, errDead) && !errors.Is(err, errRestarted):
		r.reset = l.at
	}
	return legBroken, err
}

// turnedAway handles a server's word that it did not run the request.
func (r *relay) turnedAway(ctx context.Context, l leg, o opened) (legEnd, error) {
	err := errors.Errorf("status %d, instance %s", o.resp.StatusCode, o.reply.Instance)
	next, succeeded := routing.Life{}, false
	if o.reply.Misdirected {
		next, succeeded = r.successor(ctx, l.at.server, o.reply.Instance)
	}
	switch {
	case succeeded && l.from != "":
		r.misdirected = l.at.server.Life()
		l.at.server.ID, l.at.server.Born = next.ID, next.Born
		r.held = kept{at: l.at, name: l.from}
	case !succeeded && l.from == "":
		r.failed = append(r.failed, l.at.server.Life())
	}
	return legNotRun, err
}

// successor returns the life of instance, which answers at the address of old, if it is
// an engine of the same service that started anew there, and remembers it then.
// A daemon that has lost the store does not see it register, although copies are
// sent to the address and lie at the new engine. Where one service alone has
// engines, whatever speaks as an engine is of that service, also at an address
// used again.
func (r *relay) successor(ctx context.Context, old routing.Server, instance string) (routing.Life, bool) {
	view := r.h.opts.Feed.View()
	if instance == "" || instance == old.ID || view.Departed(instance) || view.Config.OnlyEngines() != r.service {
		return routing.Life{}, false
	}
	report, err := r.h.report(ctx, old, probeTimeout)
	if err != nil {
		return routing.Life{}, false
	}
	next := routing.Life{ID: instance, Born: report.Born}
	r.h.pool.succeed(view, old.Life(), next)
	r.h.opts.Log.Emit(event.BackendSucceeded, r.in.call.ID, old.ID, next.ID, next.Born)
	return next, true
}

// noStream passes on a failure that a server answered, unless another may do better.
func (r *relay) noStream(ctx context.Context, l leg, o opened) (legEnd, error) {
	if r.began || r.mayGoOn() {
		r.failed = append(r.failed, l.at.server.Life())
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
