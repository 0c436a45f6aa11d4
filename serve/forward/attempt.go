package forward

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/decision/pace"
	"mallowwind.dev/decision/poison"
	"mallowwind.dev/serve/versions"
)

// attempt is a segment in progress: a request that was sent to a backend server, and its
// response. Except for receive and tryDeliver, its methods are called only by the goroutine of
// the relay, or by one that the relay waits for.
type attempt struct {
	segment
	r              *relay
	cancel         context.CancelFunc
	ctx            context.Context // ends with the attempt; the server then cancels the run
	stopProbing    context.CancelFunc
	sentAt         time.Time
	firstEventAt   time.Time // zero before the first event
	parts          chan responsePart
	pushedBack     chan responsePart // at most one part that was received and pushed back
	requestWritten chan struct{}     // receives once when the whole request is written
	response       *http.Response    // nil before its headers are handled
	reply          Reply             // zero before the headers of the response are handled
	probeFailures  <-chan error      // why the engine is considered dead
	versionLeaving <-chan struct{}   // closed when the server's version is withdrawn
	prefilling     bool              // counted in the pool as prefilling its prompt, not as running
	replicator     *replicator
	trial, pace    *versions.Trial // of the server's version; nil where versions are not compared
	eventCount     int             // events received in this attempt
	meter          pace.Meter      // of the interval between them
	takeoversTried int             // since the last event, without success
	foundLostAt    time.Time       // when its response was first found lost; zero if it was not
	heardAt        atomic.Int64    // monotonic time at which the server was last heard, or the request was sent
	// survivalRecorded is set once the server is known to have survived the start of the answer.
	survivalRecorded bool
	// crashCheck receives whether a part of the prompt is suspect, after the server broke the stream.
	crashCheck chan bool
	// copyUsed is set once a server was asked to resume from the incremental copy. The copy is
	// consumed by that, whether or not the response continued there.
	copyUsed bool
	// left is set once the engine is asked to stop the run, and runEnded once it has, so that nothing more of its
	// response is used.
	left     *leftRun
	runEnded bool
}

// responsePart is the head of a response, or one event of its stream.
type responsePart struct {
	head  *responseHead
	event streamEvent
}

// responseHead is a response up to its headers, or the error that came instead.
type responseHead struct {
	resp  *http.Response
	reply Reply
	err   error
}

// isStream reports whether the events of a successful, authentic response follow.
func (o responseHead) isStream() bool {
	return o.err == nil && !o.reply.NotRun && o.resp.StatusCode == http.StatusOK && o.reply.Authentic
}

// start sends the request of a segment. The pool already counts its prompt as being prefilled.
func (r *relay) start(ctx context.Context, l segment) *attempt {
	r.awaitStop(ctx, l.target.server.Incarnation())
	r.markStateUsed(l)
	a := &attempt{segment: l, r: r, sentAt: time.Now(), parts: make(chan responsePart), pushedBack: make(chan responsePart, 1), requestWritten: make(chan struct{}, 1), crashCheck: make(chan bool, 1), prefilling: true}
	a.ctx, a.cancel = context.WithCancel(ctx)
	r.h.pool.addLoad(l.copyTo, 0, 0, 1)
	r.starts++
	r.sends++
	r.retryTaken = false
	r.possibleRuns++
	probing, stop := context.WithCancel(a.ctx)
	a.stopProbing = stop
	a.replicator = r.newReplicator(l)
	a.recordHeard()
	a.probeFailures = r.startProbing(probing, a)
	a.versionLeaving = r.h.versions.MigrateSignal(r.h.opts.Feed.View(), l.target.server)
	a.startTrial(l, r.in.routeName())
	go a.receive(UpstreamRequest{
		ID: r.in.call.ID, Server: l.target.server, Timeout: time.Until(r.in.deadline),
		Account: r.in.accountName(), Priority: r.rank, CopyTo: l.copyTo.server.Address, ResumeFrom: l.resumeFrom, LastEventID: r.lastEventID,
	})
	return a
}

// receive sends the request and delivers the parts of the response until the attempt ends. The
// body of a response that is not a stream is left to the receiver of its head.
func (a *attempt) receive(req UpstreamRequest) {
	var o responseHead
	ctx := httptrace.WithClientTrace(a.ctx, &httptrace.ClientTrace{WroteRequest: a.onRequestWritten})
	o.resp, o.reply, o.err = a.r.h.send(ctx, a.r.in, req)
	if !a.tryDeliver(responsePart{head: &o}) {
		if o.err == nil {
			o.resp.Body.Close()
		}
		return
	}
	if !o.isStream() {
		return
	}
	events := newEventReader(o.resp.Body)
	for {
		e := events.next()
		if !a.tryDeliver(responsePart{event: e}) || e.err != nil {
			return
		}
	}
}

// recordHeard records that the server was heard now. It is safe for concurrent use.
func (a *attempt) recordHeard() { a.heardAt.Store(int64(monotonic())) }

// silentFor returns how long the server has not been heard.
func (a *attempt) silentFor() time.Duration { return monotonic() - time.Duration(a.heardAt.Load()) }

// onRequestWritten records that the whole request was written to the connection.
func (a *attempt) onRequestWritten(info httptrace.WroteRequestInfo) {
	if info.Err != nil {
		return
	}
	select {
	case a.requestWritten <- struct{}{}:
	default:
	}
}

// tryDeliver reports whether a part was received before the attempt ended.
func (a *attempt) tryDeliver(s responsePart) bool {
	select {
	case a.parts <- s:
		return true
	case <-a.ctx.Done():
		return false
	}
}

// nextParts returns the channel that supplies the next part.
func (a *attempt) nextParts() <-chan responsePart {
	if len(a.pushedBack) > 0 {
		return a.pushedBack
	}
	return a.parts
}

// pushBack returns the part that was received last, for a later receive from nextParts.
func (a *attempt) pushBack(s responsePart) { a.pushedBack <- s }

// markPrefilled counts the request as running instead of prefilling: the first event shows that
// the prompt was prefilled.
func (a *attempt) markPrefilled() {
	if !a.prefilling {
		return
	}
	a.prefilling, a.firstEventAt = false, time.Now()
	a.recordFirstEvent()
	a.stopProbing()
	a.probeFailures = nil // a failure that is still queued is out of date
	r := a.r
	r.h.pool.addLoad(a.target, -1, 1, 0)
	r.h.pool.recordSuccess(a.target)
	if a.resumeFrom == "" {
		r.recordRoomFound()
	}
	if a.resumeFrom == "" && r.in.call.LastEventID == 0 {
		r.h.pressure.recordPrefill(r.service, r.in.call.PromptTokens, time.Since(a.sentAt))
	}
	if a.replicator != nil {
		go a.replicator.run(a.ctx)
	}
}

// recordSurvival records once that the server kept running after it had begun to answer: its stream
// goes on after the crash window, or is complete.
func (a *attempt) recordSurvival(complete bool) {
	if a.survivalRecorded || a.firstEventAt.IsZero() || !complete && time.Since(a.firstEventAt) < poison.CrashWindow {
		return
	}
	a.survivalRecorded = true
	a.r.h.poisonParts.recordSurvival(a.r.in, a.target.server.Service, a.firstEventAt)
}

// runCopy returns the incremental copy of the run that another engine should hold.
func (a *attempt) runCopy() replica {
	if a.copyUsed {
		return replica{}
	}
	return a.incrementalCopy(a.r.in.call.ID)
}

// hasCopy reports whether another engine should hold a copy of the run.
func (a *attempt) hasCopy() bool {
	return a.runCopy().at.load != nil || a.replicator != nil && a.replicator.remade.Load() != nil
}

// end closes the connection, so that the server cancels an unfinished run, and removes the
// attempt from the counts of the pool.
func (a *attempt) end(result segmentEnd) {
	a.cancel()
	a.closeResponse()
	pool := a.r.h.pool
	pool.addLoad(a.copyTo, 0, 0, -1)
	if a.prefilling {
		pool.addLoad(a.target, -1, 0, 0)
	} else {
		pool.addLoad(a.target, 0, -1, 0)
	}
	a.r.settleReplicator(a.replicator, result)
}

// closeResponse closes the response, also one whose head was pushed back and not handled.
func (a *attempt) closeResponse() {
	a.takePushedBack()
	if a.response != nil {
		a.response.Body.Close()
	}
}

// takePushedBack removes a part that was pushed back and returns it if it is a head, nil
// otherwise. The response of that head is closed with the attempt.
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

// settleReplicator keeps a copy made on demand where the response may resume from it, and frees it
// otherwise.
func (r *relay) settleReplicator(spare *replicator, result segmentEnd) {
	switch {
	case spare == nil:
	case (result == segmentBroken || result == segmentMoved) && r.replacement != nil && r.replacement.resumeFrom != "": // the replacement uses that copy
	case result == segmentBroken && r.replacement == nil:
		if copied := spare.remade.Load(); copied != nil {
			r.heldCopy = *copied
		}
	default:
		spare.free()
	}
}

// isResponseLost reports whether an engine has generated events for a request although none has
// arrived. It applies only to a request that the engine runs from its start.
func isResponseLost(report Report, id string, fromStart bool) bool {
	return fromStart && report.Events[id] >= minLostEvents
}

// startProbing probes the engine of an attempt until ctx ends. The channel it returns receives an
// error each time the engine appears dead. Servers other than engines do not answer probes, and
// for a request that cannot be resumed elsewhere the result would not matter: neither is probed.
func (r *relay) startProbing(ctx context.Context, a *attempt) <-chan error {
	probeFailures := make(chan error, 1)
	if r.h.opts.Feed.View().Config.Engine(r.service) == nil || !r.in.route.Resumable {
		return probeFailures
	}
	id, fromStart := r.in.call.ID, r.lastEventID == 0
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
			if r.h.limits.isPaused(a.target.server) {
				continue
			}
			report, err := r.h.probe(ctx, a.target.server, probeTimeout)
			if err == nil {
				a.recordHeard()
			}
			switch {
			case errors.Is(err, errRestarted):
				trySend(probeFailures, err)
				return
			case err == nil && isResponseLost(report, id, fromStart):
				trySend(probeFailures, errResponseLost)
			case err == nil:
				failures = 0
			default:
				if failures++; failures >= maxFailedProbes {
					trySend(probeFailures, errUnresponsive)
				}
			}
		}
	}()
	return probeFailures
}

// trySend sends an error unless the buffer of the channel is full.
func trySend(out chan<- error, err error) {
	select {
	case out <- err:
	default:
	}
}

// markCopyUsed records that a server was asked to resume from the incremental copy.
func (a *attempt) markCopyUsed() {
	a.copyUsed = true
	a.r.heldCopy = replica{}
	if a.replicator != nil {
		a.replicator.firstUsed.Store(true)
		a.replicator.remade.Store(nil)
	}
}
