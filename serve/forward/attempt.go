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
	segment
	r              *relay
	cancel         context.CancelFunc
	ctx            context.Context // ends with the attempt; the server drops the run then
	stopProbing    context.CancelFunc
	sentAt         time.Time
	firstEventAt   time.Time // of the first event; zero before it
	parts          chan responsePart
	pushedBack     chan responsePart // holds a signal that was taken and put back, one at most
	requestWritten chan struct{}     // says once that the whole request has left
	response       *http.Response    // nil before its headers are handled
	rateLimit      string            // that the server named
	probeFailures  <-chan error
	versionLeaving <-chan struct{} // closed when the version of the server leaves
	prefilling     bool            // counted as a prompt that is read, and not yet as a run
	spare          *replicator
	trial, pace    *versions.Trial // of the server's version, nil where none is compared
	eventCount     int             // events of this attempt
	timesFoundLost int             // times that the engine reported events of which none had arrived
	// copyUsed says that a server was asked to go on from the copy that grows with the
	// run: it is gone then, whether or not the answer went on there.
	copyUsed bool
}

// responsePart is the headers of an answer, or one event of its stream.
type responsePart struct {
	head  *responseHead
	event streamEvent
}

// responseHead is an answer up to its headers.
type responseHead struct {
	resp  *http.Response
	reply Reply
	err   error
}

// isStream reports whether events follow that are the answer to the request.
func (o responseHead) isStream() bool {
	return o.err == nil && !o.reply.NotRun && o.resp.StatusCode == http.StatusOK && o.reply.Authentic
}

// start sends the request of a leg, which is counted as one that is read.
func (r *relay) start(ctx context.Context, l segment) *attempt {
	a := &attempt{segment: l, r: r, sentAt: time.Now(), parts: make(chan responsePart), pushedBack: make(chan responsePart, 1), requestWritten: make(chan struct{}, 1), prefilling: true}
	a.ctx, a.cancel = context.WithCancel(ctx)
	r.h.pool.addLoad(l.copyTo, 0, 0, 1)
	r.starts++
	r.sends++
	r.possibleRuns++
	probing, stop := context.WithCancel(a.ctx)
	a.stopProbing = stop
	a.spare = r.newReplicator(l)
	a.probeFailures = r.startProbing(probing, l)
	a.versionLeaving = r.h.versions.Leaves(r.h.opts.Feed.View(), l.target.server)
	a.startTrial(l, r.in.routeName())
	go a.receive(UpstreamRequest{
		ID: r.in.call.ID, Server: l.target.server, Timeout: time.Until(r.in.deadline),
		Account: r.in.accountName(), Priority: r.in.priority(), CopyTo: l.copyTo.server.Address, ResumeFrom: l.resumeFrom, LastEventID: r.lastEventID,
	})
	return a
}

// receive sends the request and hands on what comes back, until the attempt ends. The
// body of an answer that is no stream is left to whom the headers are handed.
func (a *attempt) receive(errand UpstreamRequest) {
	var o responseHead
	ctx := httptrace.WithClientTrace(a.ctx, &httptrace.ClientTrace{WroteRequest: a.onRequestWritten})
	o.resp, o.reply, o.err = a.r.h.send(ctx, a.r.in, errand)
	if !a.tryDeliver(responsePart{head: &o}) {
		if o.err == nil {
			o.resp.Body.Close()
		}
		return
	}
	if !o.isStream() {
		return
	}
	r := bufio.NewReaderSize(o.resp.Body, eventBufferBytes)
	for {
		e := readEvent(r)
		if !a.tryDeliver(responsePart{event: e}) || e.err != nil {
			return
		}
	}
}

// onRequestWritten notes that the whole request has left.
func (a *attempt) onRequestWritten(info httptrace.WroteRequestInfo) {
	if info.Err != nil {
		return
	}
	select {
	case a.requestWritten <- struct{}{}:
	default:
	}
}

// tryDeliver reports whether a signal was taken before the attempt ended.
func (a *attempt) tryDeliver(s responsePart) bool {
	select {
	case a.parts <- s:
		return true
	case <-a.ctx.Done():
		return false
	}
}

// nextParts is where the next signal comes from.
func (a *attempt) nextParts() <-chan responsePart {
	if len(a.pushedBack) > 0 {
		return a.pushedBack
	}
	return a.parts
}

// pushBack leaves the signal that was taken last to whom handles it.
func (a *attempt) pushBack(s responsePart) { a.pushedBack <- s }

// markPrefilled counts the prompt as read with the first event.
func (a *attempt) markPrefilled() {
	if !a.prefilling {
		return
	}
	a.prefilling, a.firstEventAt = false, time.Now()
	a.recordFirstEvent()
	a.stopProbing()
	a.probeFailures = nil // a word that waits there is out of date
	r := a.r
	r.h.pool.addLoad(a.target, -1, 1, 0)
	r.h.pool.recordSuccess(a.target)
	if a.resumeFrom == "" && r.in.call.LastEventID == 0 {
		r.h.pressure.recordPrefill(r.service, r.in.call.PromptTokens, time.Since(a.sentAt))
	}
	if a.spare != nil {
		go a.spare.run(a.ctx)
	}
}

// runCopy is the copy of the run that is believed to lie at another engine.
func (a *attempt) runCopy() replica {
	if a.copyUsed {
		return replica{}
	}
	return a.incrementalCopy(a.r.in.call.ID)
}

// hasCopy reports whether a copy of the run is believed to lie at another engine.
func (a *attempt) hasCopy() bool {
	return a.runCopy().at.load != nil || a.spare != nil && a.spare.remade.Load() != nil
}

// end closes the connection, so that the server drops a run that is not over, and takes
// the attempt out of the counts.
func (a *attempt) end(how segmentEnd) {
	a.cancel()
	a.closeResponse()
	pool := a.r.h.pool
	pool.addLoad(a.copyTo, 0, 0, -1)
	if a.prefilling {
		pool.addLoad(a.target, -1, 0, 0)
	} else {
		pool.addLoad(a.target, 0, -1, 0)
	}
	a.r.settleSpare(a.spare, how)
}

// closeResponse lets go of the answer, also of one that nobody has handled.
func (a *attempt) closeResponse() {
	a.takePushedBack()
	if a.response != nil {
		a.response.Body.Close()
	}
}

// takePushedBack takes back what was put back and not handled: the headers, nil if it was none. The
// answer that it opens is closed with the attempt.
func (a *attempt) takePushedBack() *responseHead {
	select {
	case s := <-a.pushedBack:
		if s.head != nil {
			a.response = s.head.resp
		}
		return s.head
	default:
		return nil
	}
}

// settleSpare takes over a copy made on demand, or frees it once the answer is whole.
func (r *relay) settleSpare(spare *replicator, end segmentEnd) {
	switch {
	case spare == nil:
	case (end == segmentBroken || end == segmentMoved) && r.replacement != nil && r.replacement.resumeFrom != "": // that copy is in use
	case end == segmentBroken && r.replacement == nil:
		if copied := spare.remade.Load(); copied != nil {
			r.heldCopy = *copied
		}
	default:
		spare.free()
	}
}

// isResponseLost reports whether an engine has made events of a request, which it runs from its
// beginning, although none has arrived.
func isResponseLost(report Report, id string, fresh bool) bool {
	return fresh && report.Events[id] >= minLostEvents
}

// startProbing probes the engine of a leg until ctx ends, and says when it seems dead, as often
// as it does. Other servers answer no probe, and where the request cannot go on elsewhere
// nothing would follow from it.
func (r *relay) startProbing(ctx context.Context, l segment) <-chan error {
	dead := make(chan error, 1)
	if r.h.opts.Feed.View().Config.Engine(r.service) == nil || !r.in.route.Resumable {
		return dead
	}
	id, fresh := r.in.call.ID, r.lastEventID == 0
	go func() {
		tick := time.NewTicker(probeInterval)
		defer tick.Stop()
		failures := 0
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			report, err := r.h.probe(ctx, l.target.server, probeTimeout)
			switch {
			case errors.Is(err, errRestarted):
				trySend(dead, err)
				return
			case err == nil && isResponseLost(report, id, fresh):
				trySend(dead, errResponseLost)
			case err == nil:
				failures = 0
			default:
				if failures++; failures >= maxFailedProbes {
					trySend(dead, errUnresponsive)
				}
			}
		}
	}()
	return dead
}

// trySend leaves an error where none waits to be read.
func trySend(out chan<- error, err error) {
	select {
	case out <- err:
	default:
	}
}

// markCopyUsed notes that the copy which grows with the run is asked for.
func (a *attempt) markCopyUsed() {
	a.copyUsed = true
	a.r.heldCopy = replica{}
	if a.spare != nil {
		a.spare.firstUsed.Store(true)
		a.spare.remade.Store(nil)
	}
}
