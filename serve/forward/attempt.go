package forward

import (
	"bufio"
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// attempt is a leg under way: a request that was sent, and what comes back of it. Its
// methods are called by the goroutine of the relay.
type attempt struct {
	leg
	r           *relay
	cancel      context.CancelFunc
	ctx         context.Context // ends with the attempt; the server drops the run then
	stopProbing context.CancelFunc
	sent        time.Time
	signs       chan sign
	pending     chan sign      // a sign that was taken from signs and is still to be handled
	answer      *http.Response // nil before its headers are handled
	dead        <-chan error
	reading     bool // counted as a prompt that is read, and not yet as a run
	second      *spare
	// copyUsed says that a server was asked to go on from the copy that grows with the
	// run: it is gone then, whether or not the answer went on there.
	copyUsed bool
}

// sign is the headers of an answer, or one event of its stream.
type sign struct {
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
	a := &attempt{leg: l, r: r, sent: time.Now(), signs: make(chan sign), pending: make(chan sign, 1), reading: true}
	a.ctx, a.cancel = context.WithCancel(ctx)
	r.h.pool.count(l.copyTo, 0, 0, 1)
	r.starts++
	r.sends++
	r.runs++
	probing, stop := context.WithCancel(a.ctx)
	a.stopProbing = stop
	a.second = r.newSpare(l)
	a.dead = r.watch(probing, l)
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
	o.resp, o.reply, o.err = a.r.h.send(a.ctx, a.r.in, errand)
	if !a.hand(sign{opened: &o}) {
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
		if !a.hand(sign{event: e}) || e.err != nil {
			return
		}
	}
}

// hand reports whether a sign was taken before the attempt ended.
func (a *attempt) hand(s sign) bool {
	select {
	case a.signs <- s:
		return true
	case <-a.ctx.Done():
		return false
	}
}

// inbox is where the next sign comes from.
func (a *attempt) inbox() <-chan sign {
	if len(a.pending) > 0 {
		return a.pending
	}
	return a.signs
}

// heard counts the prompt as read with the first event.
func (a *attempt) heard() {
	if !a.reading {
		return
	}
	a.reading = false
	a.stopProbing()
	a.dead = nil // a word that waits there is out of date
	r := a.r
	r.h.pool.count(a.at, -1, 1, 0)
	r.h.pool.worked(a.at)
	if a.from == "" && r.in.call.After == 0 {
		r.h.pressure.wasRead(r.service, r.in.call.PromptTokens, time.Since(a.sent))
	}
	if a.second != nil {
		go a.second.run(a.ctx)
	}
}

// keptCopy is the copy of the run that is believed to lie at another engine.
func (a *attempt) keptCopy() kept {
	if a.copyUsed {
		return kept{}
	}
	return a.copy(a.r.in.call.ID)
}

// hasCopy reports whether a copy of the run is believed to lie at another engine.
func (a *attempt) hasCopy() bool {
	return a.keptCopy().at.load != nil || a.second != nil && a.second.copied.Load() != nil
}

// end closes the connection, so that the server drops a run that is not over, and takes
// the attempt out of the counts.
func (a *attempt) end(how legEnd) {
	a.cancel()
	a.closeAnswer()
	pool := a.r.h.pool
	pool.count(a.copyTo, 0, 0, -1)
	if a.reading {
		pool.count(a.at, -1, 0, 0)
	} else {
		pool.count(a.at, 0, -1, 0)
	}
	a.r.settle(a.second, how)
}

// closeAnswer lets go of the answer, also of one that nobody has handled.
func (a *attempt) closeAnswer() {
	select {
	case s := <-a.pending:
		if s.opened != nil {
			a.answer = s.opened.resp
		}
	default:
	}
	if a.answer != nil {
		a.answer.Body.Close()
	}
}

// settle takes over a copy made on demand, or frees it once the answer is whole.
func (r *relay) settle(second *spare, end legEnd) {
	switch {
	case second == nil:
	case end == legBroken && r.taken != nil: // what it went on from is in use
	case end == legBroken:
		if copied := second.copied.Load(); copied != nil {
			r.held = *copied
		}
	default:
		second.drop()
	}
}

// lost reports whether an engine has made events of this request although none
// has arrived.
func (r *relay) lost(report Report) bool {
	return r.in.call.After == 0 && report.Events[r.in.call.ID] >= lostEvents
}

// watch probes the engine of a leg until ctx ends, and says when it seems dead, as often
// as it does. Other servers answer no probe, and where the request cannot go on elsewhere
// nothing would follow from it.
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
				say(dead, err)
				return
			case err == nil && r.lost(report):
				say(dead, errAnswerLost)
			case err == nil:
				failures = 0
			default:
				if failures++; failures >= deadProbes {
					say(dead, errDead)
				}
			}
		}
	}()
	return dead
}

// say leaves a word where none waits to be read.
func say(words chan<- error, word error) {
	select {
	case words <- word:
	default:
	}
}

// useCopy notes that the copy which grows with the run is asked for.
func (a *attempt) useCopy() {
	a.copyUsed = true
	a.r.held = kept{}
	if a.second != nil {
		a.second.used.Store(true)
		a.second.copied.Store(nil)
	}
}
