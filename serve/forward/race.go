package forward

import (
	"context"
	"sync"
	"time"

	"mallowwind.dev/decision/takeover"
	"mallowwind.dev/telemetry/event"
)

// race is a stalled attempt and the next one, which have both received the request.
type race struct {
	r       *relay
	stalled *attempt
	next    *attempt
	cause   error // why the response is to continue elsewhere

	stalledState, nextState takeover.ServerState
	onOverlap               takeover.Action
	writtenAt               time.Time // when the next server had received the request
	// stopping is closed when the stalled engine has replied to the request to stop; nil unless that is awaited.
	stopping <-chan struct{}

	overlap, accepted, stopLimit *time.Timer
}

// awaitTakeover waits until the stalled server or the next one responds, and decides which of them
// continues the response. It ends the next attempt if the stalled server does.
func (r *relay) awaitTakeover(ctx context.Context, a, next *attempt, cause error) takeover.Outcome {
	c := &race{r: r, stalled: a, next: next, cause: cause, onOverlap: takeover.Wait}
	c.overlap, c.accepted, c.stopLimit = time.NewTimer(time.Hour), time.NewTimer(time.Hour), time.NewTimer(time.Hour)
	defer c.overlap.Stop()
	defer c.accepted.Stop()
	defer c.stopLimit.Stop()
	sentAt := time.Now()
	outcome := c.run(ctx)
	r.h.opts.Log.Emit(event.TakeoverEnded, r.in.call.ID, a.target.server.ID, next.target.server.ID, outcome.String(), time.Since(sentAt), cause)
	return outcome
}

// run is awaitTakeover without its log line.
func (c *race) run(ctx context.Context) takeover.Outcome {
	written := c.next.requestWritten
	for {
		switch c.decide() {
		case takeover.Switch:
			return takeover.TakenOver
		case takeover.Keep:
			return c.keepStalled(ctx, c.nextState)
		case takeover.Wait:
		}
		stalledParts, nextParts := c.stalled.nextParts(), c.next.nextParts()
		if c.stalledState != takeover.Silent {
			stalledParts = nil
		}
		select {
		case <-written:
			written = nil
			c.recordWritten()
		case s := <-stalledParts:
			c.stalled.pushBack(s)
			c.stalledState = s.takeoverState()
		case s := <-nextParts:
			c.next.pushBack(s)
			c.nextState = s.takeoverState()
		case <-c.accepted.C:
			c.stopStalled()
		case <-c.stopping:
			c.stopping = nil
			if c.r.isStopped(ctx, c.stalled) {
				c.stalled.runEnded = true
				return takeover.TakenOver
			}
		case <-c.stopLimit.C:
			c.stopping = nil
		case <-c.overlap.C:
			c.checkOverlap(ctx)
		case <-ctx.Done():
			return c.keepStalled(ctx, takeover.Silent)
		}
	}
}

// decide returns what the states of the two servers call for.
func (c *race) decide() takeover.Action {
	if c.stopping != nil {
		return takeover.DecideWhileStopping(c.nextState)
	}
	return takeover.Decide(c.stalledState, c.nextState, c.onOverlap)
}

// recordWritten is called when the next server has received the request.
func (c *race) recordWritten() {
	c.writtenAt = time.Now()
	if c.next.resumeFrom != "" {
		c.stalled.markCopyUsed()
		c.accepted.Reset(takeover.AcceptTime)
	}
	if c.r.h.opts.Feed.View().Config.Engine(c.r.service) != nil {
		c.overlap.Reset(takeover.OverlapCheckInterval)
	}
}

// stopStalled asks the stalled engine to stop, since the next one has accepted the request.
func (c *race) stopStalled() {
	if left := c.r.stopRun(c.stalled, stopBefore, c.next.target.server.Address); left != nil {
		c.stopping = left.done
		c.stopLimit.Reset(takeover.StopTimeoutWithCopy)
	}
}

// checkOverlap probes both engines and decides what follows.
func (c *race) checkOverlap(ctx context.Context) {
	c.onOverlap = takeover.AfterOverlap(c.probeBoth(ctx), time.Since(c.writtenAt))
	if c.onOverlap == takeover.Switch && c.stalledState == takeover.Silent {
		c.stalledState = c.r.awaitLatePart(ctx, c.stalled)
	}
	c.overlap.Reset(takeover.OverlapCheckInterval)
}

// probeBoth probes the engines of both attempts and returns what their reports show.
func (c *race) probeBoth(ctx context.Context) takeover.OverlapReports {
	reports := takeover.OverlapReports{OtherResumes: c.next.resumeFrom != ""}
	var both sync.WaitGroup
	both.Go(func() { reports.SilentAnswers = c.r.isResponsive(ctx, c.stalled, c.cause) })
	both.Go(func() {
		report, err := c.r.h.probe(ctx, c.next.target.server, fastProbeTimeout)
		reports.OtherAnswers = err == nil
		_, reports.OtherRuns = report.Events[c.r.in.call.ID]
	})
	both.Wait()
	return reports
}

// keepStalled ends the next attempt, and returns why the response does not continue there.
func (c *race) keepStalled(ctx context.Context, nextState takeover.ServerState) takeover.Outcome {
	if left := c.stalled.left; left != nil {
		left.abandon()
	}
	return c.r.cancelTakeover(ctx, c.stalled, c.next, nextState)
}
