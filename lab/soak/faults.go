package soak

import (
	"context"
	"time"

	"mallowwind.dev/lab/stand"
)

const (
	slowdownFactor = 12 // of a straggling engine
	storeDelay     = 1500 * time.Millisecond
	deskSlowWork   = 3 * time.Second // exceeds the deadline of calls
	deskNormalWork = 10 * time.Millisecond
	lostResponses  = 3
	// minDrainTime is the shortest time between marking an engine as draining and ending it. The
	// platform ends it once it is idle.
	minDrainTime      = 8 * time.Second
	drainPollInterval = 500 * time.Millisecond
)

// activeFault is an injected fault and how and when it is healed.
type activeFault struct {
	at   time.Duration
	kind Kind
	heal func()
}

// injectFaults executes the plan and returns when all faults are healed. Only this goroutine
// changes the deployment, so that changes do not interleave.
func (r *run) injectFaults(ctx context.Context) {
	began := time.Now()
	var open []activeFault
	steps := r.opts.Plan.Steps
	for {
		next, isStep := r.opts.Plan.Length, false
		if len(steps) > 0 {
			next, isStep = steps[0].At, true
		}
		due := -1
		for i, h := range open {
			if h.at <= next {
				next, due, isStep = h.at, i, false
			}
		}
		time.Sleep(next - time.Since(began))
		switch {
		case due >= 0:
			r.logEvent("healed: %s", open[due].kind)
			open[due].heal()
			open = append(open[:due], open[due+1:]...)
		case isStep:
			s := steps[0]
			steps = steps[1:]
			if heal := r.apply(ctx, s); heal != nil {
				open = append(open, activeFault{s.At + s.For, s.Kind, heal})
			}
		case len(open) == 0:
			return
		default: // heal what outlasts the plan
			for _, h := range open {
				r.logEvent("healed: %s", h.kind)
				h.heal()
			}
			return
		}
	}
}

// apply starts one step and returns the function that heals it, or nil.
func (r *run) apply(ctx context.Context, s Step) (heal func()) {
	r.logEvent("%s target=%d other=%d for %v", s.Kind, s.Target, s.Other, s.For)
	if heal, known := r.applyEngine(s); known {
		return heal
	}
	if heal, known := r.applyPlatform(s); known {
		return heal
	}
	if heal, known := r.applyLinks(s); known {
		return heal
	}
	return r.applyEntry(ctx, s)
}

func (r *run) applyEngine(s Step) (heal func(), known bool) {
	id := r.fleet.engineAt(s.Target)
	sim := r.deployment.Engines[id]
	switch s.Kind {
	case EngineCrash:
		sim.Crash()
		return sim.Restart, true
	case EnginePause:
		sim.Pause()
		return sim.Unpause, true
	case EngineSlow:
		sim.SetSlowdown(slowdownFactor)
		return func() { sim.SetSlowdown(1) }, true
	case EngineStreamsSilent:
		sim.Silence()
		return nil, true
	case EngineConnsSilent:
		r.deployment.EngineNet(id).Silence()
		return nil, true
	case EngineRefuse:
		sim.SetRefusing(true)
		return func() { sim.SetRefusing(false) }, true
	case EngineStall:
		l := r.deployment.EngineNet(id)
		l.Stall()
		return l.Unstall, true
	case EngineDrain:
		r.replaceEngine(id)
		return nil, true
	}
	return nil, false
}

// replaceEngine starts another engine, marks this one as draining, and ends it once it is idle.
func (r *run) replaceEngine(id string) {
	if !r.fleet.removeEngine(id) {
		return
	}
	if _, err := r.fleet.startEngine(r.fleet.zoneOf[id]); err != nil {
		r.recordViolation("harness: %v", err)
		return
	}
	r.deployment.DrainEngine(id)
	sim := r.deployment.Engines[id]
	r.fleet.stops.Go(func() {
		time.Sleep(minDrainTime)
		for sim.IsBusy() {
			time.Sleep(drainPollInterval)
		}
		r.deployment.RemoveEngine(id, sim)
	})
}

func (r *run) applyPlatform(s Step) (heal func(), known bool) {
	d := r.deployment
	switch s.Kind {
	case StoreDown:
		d.Store.SetDown(true)
		return func() { d.Store.SetDown(false) }, true
	case StoreSlow:
		d.Store.SetDelay(storeDelay)
		return func() { d.Store.SetDelay(0) }, true
	case StoreLoseWriteResponse:
		d.Store.LoseNextWriteResponse()
		return nil, true
	case StoreDropWrite:
		d.Store.DropNextWrite()
		return nil, true
	case VMListDown:
		d.VMs.SetDown(true)
		return func() { d.VMs.SetDown(false) }, true
	case DeskLoseResponses:
		d.PlainBackend.LoseResponses(lostResponses)
		return func() { d.PlainBackend.LoseResponses(0) }, true
	case DeskSilent:
		d.PlainBackend.SetSilent(true)
		return func() { d.PlainBackend.SetSilent(false) }, true
	case DeskStall:
		l := d.PlainBackendNet()
		l.Stall()
		return l.Unstall, true
	case DeskSlow:
		d.PlainBackend.SetServiceTime(deskSlowWork)
		return func() { d.PlainBackend.SetServiceTime(deskNormalWork) }, true
	}
	return nil, false
}

func (r *run) applyLinks(s Step) (heal func(), known bool) {
	d, zones := r.deployment, stand.DemoZones()
	from := zones[s.Target%len(zones)]
	to := zones[(s.Target+1+s.Other%(len(zones)-1))%len(zones)]
	switch s.Kind {
	case ZonesCutOneWay:
		d.CutZones(from, to)
		return func() { d.HealZones(from, to) }, true
	case ZonesCut:
		d.CutZones(from, to)
		d.CutZones(to, from)
		return func() { d.HealZones(from, to); d.HealZones(to, from) }, true
	case ZoneLost:
		return r.loseZone(from), true
	}
	return nil, false
}

// loseZone disconnects every entry VM of a zone and crashes its engines at once.
func (r *run) loseZone(zone string) (heal func()) {
	entries, engines := r.fleet.entriesOf(zone), r.fleet.enginesOf(zone)
	for _, e := range entries {
		e.Cut()
	}
	for _, id := range engines {
		r.deployment.Engines[id].Crash()
	}
	return func() {
		for _, e := range entries {
			r.restore(e)
		}
		for _, id := range engines {
			r.deployment.Engines[id].Restart()
		}
	}
}

func (r *run) restore(e *stand.Entry) {
	if err := e.Restore(); err != nil {
		r.recordViolation("harness: %v", err)
	}
}

func (r *run) applyEntry(_ context.Context, s Step) (heal func()) {
	e := r.fleet.entryAt(s.Target)
	switch s.Kind {
	case EntryCut:
		e.Cut()
		return func() { r.restore(e) }
	case EntryPause:
		e.Pause()
		return e.Unpause
	case CallersSilent:
		e.Callers().Silence()
	case PeersSilent:
		e.Peers().Silence()
	case EntryReplace:
		return r.replaceLost(e)
	case EntryStop:
		r.stopEntry(e)
	}
	return nil
}

// replaceLost loses an entry VM for good. Another one starts when the fault is healed.
func (r *run) replaceLost(e *stand.Entry) (heal func()) {
	if len(r.fleet.allEntries()) == 1 || !r.fleet.removeEntry(e) {
		return nil
	}
	e.Cut()
	return func() {
		e.Remove()
		r.fleet.stops.Go(e.Kill)
		if err := r.fleet.startEntry(e.Zone); err != nil {
			r.recordViolation("harness: %v", err)
		}
	}
}

// stopEntry replaces an entry VM as planned: the replacement starts first.
func (r *run) stopEntry(e *stand.Entry) {
	if err := r.fleet.startEntry(e.Zone); err != nil {
		r.recordViolation("harness: %v", err)
		return
	}
	if !r.fleet.removeEntry(e) {
		return
	}
	r.fleet.stops.Go(func() {
		if err := e.Stop(); err != nil {
			r.recordViolation("%s stopped with an error: %v", e.ID, err)
		}
		r.logEvent("%s has stopped", e.ID)
		e.Remove()
	})
}

// awaitStops waits for the VMs that are being stopped.
func (r *run) awaitStops() { r.fleet.stops.Wait() }
