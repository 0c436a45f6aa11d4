package forward

import (
	"bufio"
	"context"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/serve/versions"
)

// attempt is a leg under way: a request that was sent, and what comes back of it. All but
// receive and hand is for the goroutine of the relay, or for one that it waits for.
type attempt struct {
	leg
	r           *relay
	cancel      context.CancelFunc
	ctx         context.Context // ends with the attempt; the server drops the run then
	stopProbing context.CancelFunc
	sent        time.Time
	begun       time.Time // of the first event; zero before it
	signals     chan signal
	back        chan signal    // holds a signal that was taken and put back, one at most
	written     chan struct{}  // says once that the whole request has left
	answer      *http.Response // nil before its headers are handled
	limit       string         // that the server named
	dead        <-chan error
	leaves      <-chan struct{} // closed when the version of the server leaves
	reading     bool            // counted as a prompt that is read, and not yet as a run
	spare       *replicator
	trial, pace *versions.Trial // of the server's version, nil where none is compared
	made        int             // events of this attempt
	foundLost   int             // times that the engine reported events of which none had arrived
	// copyUsed says that a server was asked to go on from the copy that grows with the
	// run: it is gone then, whether or not the answer went on there.
	copyUsed bool
}

// signal is the headers of an answer, or one event of its stream.
type signal struct {
	opened *opened
	event  streamEvent
}

// opened is an answer up to its headers.
type opened struct {
	resp  *http.Response
	reply Reply
	err   error
}

// stream reports whether events follow that are the answer to the request.
func (o opened) stream() bool {
	return o.err == nil && !o.reply.NotRun && o.resp.StatusCode == http.StatusOK && o.reply.Proven
}

// start sends the request of a leg, which is counted as one that is read.
func (r *relay) start(ctx context.Context, l leg) *attempt {
	a := &attempt{leg: l, r: r, sent: time.Now(), signals: make(chan signal), back: make(chan signal, 1), written: make(chan struct{}, 1), reading: true}
	a.ctx, a.cancel = context.WithCancel(ctx)
	r.h.pool.addLoad(l.copyTo, 0, 0, 1)
	r.starts++
	r.sends++
	r.runs++
	probing, stop := context.WithCancel(a.ctx)
	a.stopProbing = stop
	a.spare = r.newReplicator(l)
	a.dead = r.watch(probing, l)
	a.leaves = r.h.versions.Leaves(r.h.opts.Feed.View(), l.at.server)
	a.startTrial(l, r.in.routeName())
	go a.receive(Errand{
		ID: r.in.call.ID, Server: l.at.server, Left: time.Until(r.in.until),
		Account: r.in.accountName(), Priority: r.in.priority(), CopyTo: l.copyTo.server.Address, CopyAt: l.from, After: r.after,
	})
	return a
}

// receive sends the request and hands on what comes back, until the attempt ends. The
// body of an answer that is no stream is left to whom the headers are handed.
func (a *attempt) receive(errand Errand) {
	var o opened
	ctx := httptrace.WithClientTrace(a.ctx, &httptrace.ClientTrace{WroteRequest: a.wrote})
	o.resp, o.reply, o.err = a.r.h.send(ctx, a.r.in, errand)
	if !a.hand(signal{opened: &o}) {
		if o.err == nil {
			o.resp.Body.Close()
		}
		return
	}
	if !o.stream() {
		return
	}
	r := bufio.NewReaderSize(o.resp.Body, eventBuffer)
	for {
		e := readEvent(r)
		if !a.hand(signal{event: e}) || e.err != nil {
			return
		}
	}
}

// wrote notes that the whole request has left.
func (a *attempt) wrote(info httptrace.WroteRequestInfo) {
	if info.Err != nil {
		return
	}
	select {
	case a.written <- struct{}{}:
	default:
	}
}

// hand reports whether a signal was taken before the attempt ended.
func (a *attempt) hand(s signal) bool {
	select {
	case a.signals <- s:
		return true
	case <-a.ctx.Done():
		return false
	}
}

// inbox is where the next signal comes from.
func (a *attempt) inbox() <-chan signal {
	if len(a.back) > 0 {
		return a.back
	}
	return a.signals
}

// putBack leaves the signal that was taken last to whom handles it.
func (a *attempt) putBack(s signal) { a.back <- s }

// heard counts the prompt as read with the first event.
func (a *attempt) heard() {
	if !a.reading {
		return
	}
	a.reading, a.begun = false, time.Now()
	a.recordFirstEvent()
	a.stopProbing()
	a.dead = nil // a word that waits there is out of date
	r := a.r
	r.h.pool.addLoad(a.at, -1, 1, 0)
	r.h.pool.recordSuccess(a.at)
	if a.from == "" && r.in.call.After == 0 {
		r.h.pressure.recordPrefill(r.service, r.in.call.PromptTokens, time.Since(a.sent))
	}
	if a.spare != nil {
		go a.spare.run(a.ctx)
	}
}

// keptCopy is the copy of the run that is believed to lie at another engine.
func (a *attempt) keptCopy() replica {
	if a.copyUsed {
		return replica{}
	}
	return a.copy(a.r.in.call.ID)
}

// hasCopy reports whether a copy of the run is believed to lie at another engine.
func (a *attempt) hasCopy() bool {
	return a.keptCopy().at.load != nil || a.spare != nil && a.spare.remade.Load() != nil
}

// end closes the connection, so that the server drops a run that is not over, and takes
// the attempt out of the counts.
func (a *attempt) end(how legEnd) {
	a.cancel()
	a.closeAnswer()
	pool := a.r.h.pool
	pool.addLoad(a.copyTo, 0, 0, -1)
	if a.reading {
		pool.addLoad(a.at, -1, 0, 0)
	} else {
		pool.addLoad(a.at, 0, -1, 0)
	}
	a.r.settle(a.spare, how)
}

// closeAnswer lets go of the answer, also of one that nobody has handled.
func (a *attempt) closeAnswer() {
	a.leftover()
	if a.answer != nil {
		a.answer.Body.Close()
	}
}

// leftover takes back what was put back and not handled: the headers, nil if it was none. The
// answer that it opens is closed with the attempt.
func (a *attempt) leftover() *opened {
	select {
	case s := <-a.back:
		if s.opened != nil {
			a.answer = s.opened.resp
		}
		return s.opened
	default:
		return nil
	}
}

// settle takes over a copy made on demand, or frees it once the answer is whole.
func (r *relay) settle(spare *replicator, end legEnd) {
	switch {
	case spare == nil:
	case (end == legBroken || end == legMoved) && r.taken != nil && r.taken.from != "": // that copy is in use
	case end == legBroken && r.taken == nil:
		if copied := spare.remade.Load(); copied != nil {
			r.held = *copied
		}
	default:
		spare.free()
	}
}

// lost reports whether an engine has made events of a request, which it runs from its
// beginning, although none has arrived.
func lost(report Report, id string, fresh bool) bool {
	return fresh && report.Events[id] >= lostEvents
}

// watch probes the engine of a leg until ctx ends, and says when it seems dead, as often
// as it does. Other servers answer no probe, and where the request cannot go on elsewhere
// nothing would follow from it.
func (r *relay) watch(ctx context.Context, l leg) <-chan error {
	dead := make(chan error, 1)
	if r.h.opts.Feed.View().Config.Engine(r.service) == nil || !r.in.route.Resumable {
		return dead
	}
	id, fresh := r.in.call.ID, r.after == 0
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
				tell(dead, err)
				return
			case err == nil && lost(report, id, fresh):
				tell(dead, errAnswerLost)
			case err == nil:
				failures = 0
			default:
				if failures++; failures >= deadProbes {
					tell(dead, errDead)
				}
			}
		}
	}()
	return dead
}

// tell leaves an error where none waits to be read.
func tell(out chan<- error, err error) {
	select {
	case out <- err:
	default:
	}
}

// useCopy notes that the copy which grows with the run is asked for.
func (a *attempt) useCopy() {
	a.copyUsed = true
	a.r.held = replica{}
	if a.spare != nil {
		a.spare.firstUsed.Store(true)
		a.spare.remade.Store(nil)
	}
}
