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
	// rolloutPeriod is the time for a roll-out, rolloutWait how long its end is waited for beyond.
	rolloutPeriod = 6 * time.Second
	rolloutWait   = 2 * time.Second
	// faultyErrorRatio is the part of the answers that fail at a bad version.
	faultyErrorRatio = 0.4
	// A bad version may get this part of its service's requests, and so many more.
	maxExposureRatio, exposureSlackRequests = 0.1, 50
)

// rollOutHealthyVersion brings in a version that works, badVersion one whose answers fail in part.
func (h *harness) rollOutHealthyVersion(ctx context.Context) { h.rollOut(ctx, 0) }

func (h *harness) rollOutFaultyVersion(ctx context.Context) { h.rollOut(ctx, faultyErrorRatio) }

// rollOut starts servers of another version beside those of a service of calls, orders the service
// to move there, and stops at once those that the end of it leaves.
func (h *harness) rollOut(ctx context.Context, errorRatio float64) {
	if !h.rolloutMu.TryLock() {
		return // one at a time
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
	h.logFault("roll-out of %s to a version that fails %v of its answers: %v", service, errorRatio, stage)
	h.recorder.count("roll-outs " + stage.String())
	if stage == rollout.Completed {
		h.retire(old, false)
	} else {
		h.retire(fresh, true)
	}
	h.checkExposure(service, errorRatio, began, old, fresh, stage)
}

// checkExposure checks what a bad version got.
func (h *harness) checkExposure(service string, errorRatio float64, began time.Time, old, fresh []*server, stage rollout.Stage) {
	h.mu.Lock()
	boundsSuspended := h.boundsSuspendedUntil.After(began)
	h.mu.Unlock()
	got, others := arrivalsSince(fresh, began), arrivalsSince(old, began)
	if errorRatio > 0 && h.opts.Timed && !boundsSuspended && float64(got) > maxExposureRatio*float64(got+others)+exposureSlackRequests {
		h.recorder.recordViolation("a bad version of %s got %d of %d requests", service, got, got+others)
	}
	if errorRatio == 0 && h.opts.Timed && !boundsSuspended && stage != rollout.Completed {
		h.recorder.recordViolation("a good version of %s is %v after its period", service, stage)
	}
}

// serversOf are the servers of a service.
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

// startVersion starts a server of another version beside each of some.
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

// awaitRollout waits for the end of a roll-out, as the operator reads it.
func (h *harness) awaitRollout(ctx context.Context, service, target string) rollout.Stage {
	stage := rollout.Idle
	for began := time.Now(); time.Since(began) < rolloutPeriod+rolloutWait && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		kv, err := h.memory.Get(ctx, wire.Schema{}.RolloutStatusKey(service))
		if err != nil {
			continue // there is none yet
		}
		status, err := wire.Schema{}.DecodeRolloutStatus(kv.Value)
		if err != nil {
			h.recorder.recordViolation("status of a roll-out: %v", err)
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

// retire ends servers for good, at once or after they said that they leave.
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

// arrivalsSince is how many requests reached servers since a moment.
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
