package process

import (
	"context"
	"fmt"
	"slices"
	"time"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/rollout"
	"mallowwind.dev/platform/wire"
)

const (
	// rolloutPeriod is the period of a roll-out, rolloutWait the extra time to wait for its end.
	rolloutPeriod = 6 * time.Second
	rolloutWait   = 2 * time.Second
	// faultyErrorRatio is the share of responses of a faulty version that fail.
	faultyErrorRatio = 0.4
	// A faulty version may get this share of its service's requests plus a fixed number.
	maxExposureRatio, exposureSlackRequests = 0.1, 50
)

// rollOutHealthyVersion rolls out a version that works; rollOutFaultyVersion rolls out one that
// fails part of its requests.
func (h *harness) rollOutHealthyVersion(ctx context.Context) { h.rollOut(ctx, 0) }

func (h *harness) rollOutFaultyVersion(ctx context.Context) { h.rollOut(ctx, faultyErrorRatio) }

// rollOut starts servers of another version beside those of the active plain service and orders a
// roll-out to them. At its end it retires the old servers at once if the roll-out completed;
// otherwise it drains and retires the new ones.
func (h *harness) rollOut(ctx context.Context, errorRatio float64) {
	if !h.rolloutMu.TryLock() {
		return // one roll-out at a time
	}
	defer h.rolloutMu.Unlock()
	old := h.serversOf(h.activePlainServer().service)
	service, began := old[0].service, time.Now()
	target := fmt.Sprintf("v%d", began.UnixNano())
	raw, err := wire.EncodeRolloutOrder(routing.RolloutOrder{Service: service, Target: target, Period: rolloutPeriod})
	if err != nil {
		h.recorder.recordViolation("harness: %v", err)
		return
	}
	h.write(wire.RolloutOrderKey(service), raw)
	fresh := h.startVersion(old, target, errorRatio)
	stage := h.awaitRollout(ctx, service, target)
	h.logFault("roll-out of %s to a version with error ratio %v: %v", service, errorRatio, stage)
	h.recorder.count("roll-outs " + stage.String())
	if stage == rollout.Completed {
		h.retire(old, false)
	} else {
		h.retire(fresh, true)
	}
	h.checkExposure(service, errorRatio, began, old, fresh, stage)
}

// checkExposure checks that a faulty version got few requests and that a healthy one completed.
func (h *harness) checkExposure(service string, errorRatio float64, began time.Time, old, fresh []*server, stage rollout.Stage) {
	h.mu.Lock()
	boundsSuspended := h.boundsSuspendedUntil.After(began)
	h.mu.Unlock()
	got, others := arrivalsSince(fresh, began), arrivalsSince(old, began)
	if errorRatio > 0 && h.opts.Timed && !boundsSuspended && float64(got) > maxExposureRatio*float64(got+others)+exposureSlackRequests {
		h.recorder.recordViolation("a faulty version of %s got %d of %d requests", service, got, got+others)
	}
	if errorRatio == 0 && h.opts.Timed && !boundsSuspended && stage != rollout.Completed {
		h.recorder.recordViolation("a healthy version of %s is %v after its period", service, stage)
	}
}

// serversOf returns the servers of a service.
func (h *harness) serversOf(service string) (servers []*server) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.servers {
		if s.service == service {
			servers = append(servers, s)
		}
	}
	return servers
}

// startVersion starts a server of another version beside each of the old ones.
func (h *harness) startVersion(old []*server, version string, errorRatio float64) (fresh []*server) {
	for _, s := range old {
		listenIP := h.network + ".200"
		next, err := h.newServer(s.service, s.zone, listenIP+":0", listenIP+":0")
		if err != nil {
			h.recorder.recordViolation("harness: %v", err)
			continue
		}
		next.version, next.errorRatio = version, errorRatio
		fresh = append(fresh, next)
		h.mu.Lock()
		h.servers = append(h.servers, next)
		h.mu.Unlock()
		h.register(next, false)
	}
	return fresh
}

// awaitRollout waits until the published status of a roll-out is terminal, and returns its stage.
func (h *harness) awaitRollout(ctx context.Context, service, target string) rollout.Stage {
	stage := rollout.Idle
	for began := time.Now(); time.Since(began) < rolloutPeriod+rolloutWait && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		kv, err := h.memory.Get(ctx, wire.Schema{}.RolloutStatusKey(service))
		if err != nil {
			continue // not published yet
		}
		status, err := wire.Schema{}.DecodeRolloutStatus(kv.Value)
		if err != nil {
			h.recorder.recordViolation("roll-out status: %v", err)
			return stage
		}
		if status.Target != target {
			continue
		}
		if stage = status.Stage; stage.IsTerminal() {
			return stage
		}
	}
	return stage
}

// retire ends servers for good, at once or after a drain.
func (h *harness) retire(servers []*server, drain bool) {
	h.mu.Lock()
	h.servers = slices.DeleteFunc(h.servers, func(s *server) bool { return slices.Contains(servers, s) })
	h.retired = append(h.retired, servers...)
	h.mu.Unlock()
	for _, s := range servers {
		s.lifecycle.Lock()
		if drain {
			h.register(s, true)
		}
	}
	if drain {
		time.Sleep(drainPropagation + 1500*time.Millisecond)
	}
	for _, s := range servers {
		s.retired = true
		s.crash()
		h.unregister(s.entry(true).ID)
		s.lifecycle.Unlock()
	}
}

// arrivalsSince counts the requests that reached servers after the given time.
func arrivalsSince(servers []*server, began time.Time) (n int) {
	for _, s := range servers {
		s.mu.Lock()
		for _, at := range s.arrivals {
			if at.After(began) {
				n++
			}
		}
		s.mu.Unlock()
	}
	return n
}
