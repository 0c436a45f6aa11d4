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
	// badPart is the part of the answers that fail at a bad version.
	badPart = 0.4
	// A bad version may get this part of its service's requests, and so many more.
	exposedPart, exposedSlack = 0.1, 50
)

// goodVersion brings in a version that works, badVersion one whose answers fail in part.
func (w *world) goodVersion(ctx context.Context) { w.rollOut(ctx, 0) }

func (w *world) badVersion(ctx context.Context) { w.rollOut(ctx, badPart) }

// rollOut starts servers of another version beside those of a service of calls, orders the service
// to move there, and stops at once those that the end of it leaves.
func (w *world) rollOut(ctx context.Context, failing float64) {
	if !w.rolling.TryLock() {
		return // one at a time
	}
	defer w.rolling.Unlock()
	old := w.ofService(w.busyDesk().service)
	service, began := old[0].service, time.Now()
	target := fmt.Sprintf("v%d", began.UnixNano())
	raw, err := wire.EncodeRolloutOrder(routing.RolloutOrder{Service: service, Target: target, Period: rolloutPeriod})
	if err != nil {
		w.ledger.violate("harness: %v", err)
		return
	}
	w.write(wire.RolloutOrderKey(service), raw)
	fresh := w.startVersion(old, target, failing)
	stage := w.awaitRollout(ctx, service, target)
	w.note("roll-out of %s to a version that fails %v of its answers: %v", service, failing, stage)
	w.ledger.count("roll-outs " + stage.String())
	if stage == rollout.Completed {
		w.retire(old, false)
	} else {
		w.retire(fresh, true)
	}
	w.checkExposure(service, failing, began, old, fresh, stage)
}

// checkExposure checks what a bad version got.
func (w *world) checkExposure(service string, failing float64, began time.Time, old, fresh []*server, stage rollout.Stage) {
	w.mu.Lock()
	troubled := w.trouble.After(began)
	w.mu.Unlock()
	got, others := arrivedSince(fresh, began), arrivedSince(old, began)
	if failing > 0 && w.opts.Timed && !troubled && float64(got) > exposedPart*float64(got+others)+exposedSlack {
		w.ledger.violate("a bad version of %s got %d of %d requests", service, got, got+others)
	}
	if failing == 0 && w.opts.Timed && !troubled && stage != rollout.Completed {
		w.ledger.violate("a good version of %s is %v after its period", service, stage)
	}
}

// ofService are the servers of a service.
func (w *world) ofService(service string) (list []*server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		if s.service == service {
			list = append(list, s)
		}
	}
	return list
}

// startVersion starts a server of another version beside each of some.
func (w *world) startVersion(old []*server, version string, failing float64) (fresh []*server) {
	for _, s := range old {
		near := w.network + ".200"
		next, err := w.newServer(s.service, s.zone, near+":0", near+":0")
		if err != nil {
			w.ledger.violate("harness: %v", err)
			continue
		}
		next.version, next.failing = version, failing
		fresh = append(fresh, next)
		w.mu.Lock()
		w.servers = append(w.servers, next)
		w.mu.Unlock()
		w.register(next, false)
	}
	return fresh
}

// awaitRollout waits for the end of a roll-out, as the operator reads it.
func (w *world) awaitRollout(ctx context.Context, service, target string) rollout.Stage {
	stage := rollout.Idle
	for began := time.Now(); time.Since(began) < rolloutPeriod+rolloutWait && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		kv, err := w.memory.Get(ctx, wire.Schema{}.RolloutStatusKey(service))
		if err != nil {
			continue // there is none yet
		}
		status, err := wire.Schema{}.DecodeRolloutStatus(kv.Value)
		if err != nil {
			w.ledger.violate("status of a roll-out: %v", err)
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
func (w *world) retire(servers []*server, drain bool) {
	w.mu.Lock()
	w.servers = slices.DeleteFunc(w.servers, func(s *server) bool { return slices.Contains(servers, s) })
	w.retired = append(w.retired, servers...)
	w.mu.Unlock()
	for _, s := range servers {
		s.life.Lock()
		if drain {
			w.register(s, true)
		}
	}
	if drain {
		time.Sleep(drainAge + 1500*time.Millisecond)
	}
	for _, s := range servers {
		s.gone = true
		s.crash()
		w.unregister(s.entry(true).ID)
		s.life.Unlock()
	}
}

// arrivedSince is how many requests reached servers since a moment.
func arrivedSince(servers []*server, began time.Time) (n int) {
	for _, s := range servers {
		s.mu.Lock()
		for _, at := range s.arrived {
			if at.After(began) {
				n++
			}
		}
		s.mu.Unlock()
	}
	return n
}
