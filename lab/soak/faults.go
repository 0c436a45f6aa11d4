package soak

import (
	"context"
	"time"

	"mallowwind.dev/lab/stand"
)

const (
	slowFactor = 12 // of a straggling engine
	storeDelay = 1500 * time.Millisecond
	deskDelay  = 3 * time.Second // over the calls' deadline
	deskWork   = 10 * time.Millisecond
	lostCalls  = 3
	// leaveBefore is how long an engine stays after it was marked leaving at
	// least; the platform ends it when its work has ended.
	leaveBefore = 8 * time.Second
	leavePoll   = 500 * time.Millisecond
)

// healing is what ends a fault, at its time.
type healing struct {
	at   time.Duration
	what Kind
	heal func()
}

// faults carries out the plan and returns when all is healed. It alone changes
// the deployment, so that no two changes meet half way.
func (r *run) faults(ctx context.Context) {
	began := time.Now()
	var open []healing
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
			r.note("healed: %s", open[due].what)
			open[due].heal()
			open = append(open[:due], open[due+1:]...)
		case isStep:
			s := steps[0]
			steps = steps[1:]
			if heal := r.apply(ctx, s); heal != nil {
				open = append(open, healing{s.At + s.For, s.Kind, heal})
			}
		case len(open) == 0:
			return
		default: // what outlasts the plan is healed at its end
			for _, h := range open {
				r.note("healed: %s", h.what)
				h.heal()
			}
			return
		}
	}
}

// apply begins one step and returns what ends it, or nil.
func (r *run) apply(ctx context.Context, s Step) (heal func()) {
	r.note("%s target=%d other=%d for %v", s.Kind, s.Target, s.Other, s.For)
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
	id := r.fleet.engine(s.Target)
	sim := r.stand.Engines[id]
	switch s.Kind {
	case EngineDie:
		sim.Crash()
		return sim.Restart, true
	case EnginePause:
		sim.Pause()
		return sim.Unpause, true
	case EngineSlow:
		sim.SetSlowdown(slowFactor)
		return func() { sim.SetSlowdown(1) }, true
	case EngineSilence:
		sim.Silence()
		return nil, true
	case EngineCutOff:
		r.stand.EngineNet(id).Silence()
		return nil, true
	case EngineRefuse:
		sim.SetRefusing(true)
		return func() { sim.SetRefusing(false) }, true
	case EngineLeave:
		r.replaceEngine(id)
		return nil, true
	}
	return nil, false
}

// replaceEngine starts another engine, marks this one leaving, and ends it when
// nothing runs on it any more.
func (r *run) replaceEngine(id string) {
	if !r.fleet.loseEngine(id) {
		return
	}
	if _, err := r.fleet.startEngine(r.fleet.zoneOf[id]); err != nil {
		r.violate("harness: %v", err)
		return
	}
	r.stand.DrainEngine(id)
	sim := r.stand.Engines[id]
	r.fleet.stops.Go(func() {
		time.Sleep(leaveBefore)
		for sim.IsBusy() {
			time.Sleep(leavePoll)
		}
		r.stand.RemoveEngine(id, sim)
	})
}

func (r *run) applyPlatform(s Step) (heal func(), known bool) {
	d := r.stand
	switch s.Kind {
	case StoreDown:
		d.Store.SetDown(true)
		return func() { d.Store.SetDown(false) }, true
	case StoreSlow:
		d.Store.SetDelay(storeDelay)
		return func() { d.Store.SetDelay(0) }, true
	case StoreLoseWrite:
		d.Store.LoseNextWriteResponse()
		return nil, true
	case StoreDropWrite:
		d.Store.DropNextWrite()
		return nil, true
	case ListDown:
		d.VMs.SetDown(true)
		return func() { d.VMs.SetDown(false) }, true
	case DeskLose:
		d.PlainBackend.LoseResponses(lostCalls)
		return func() { d.PlainBackend.LoseResponses(0) }, true
	case DeskSilent:
		d.PlainBackend.SetSilent(true)
		return func() { d.PlainBackend.SetSilent(false) }, true
	case DeskSlow:
		d.PlainBackend.SetServiceTime(deskDelay)
		return func() { d.PlainBackend.SetServiceTime(deskWork) }, true
	}
	return nil, false
}

func (r *run) applyLinks(s Step) (heal func(), known bool) {
	d, zones := r.stand, stand.DemoZones()
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

// loseZone cuts every VM of a zone off at once.
func (r *run) loseZone(zone string) (heal func()) {
	entries, engines := r.fleet.entriesOf(zone), r.fleet.enginesOf(zone)
	for _, e := range entries {
		e.Cut()
	}
	for _, id := range engines {
		r.stand.Engines[id].Crash()
	}
	return func() {
		for _, e := range entries {
			r.restore(e)
		}
		for _, id := range engines {
			r.stand.Engines[id].Restart()
		}
	}
}

func (r *run) restore(e *stand.Entry) {
	if err := e.Restore(); err != nil {
		r.violate("harness: %v", err)
	}
}

func (r *run) applyEntry(_ context.Context, s Step) (heal func()) {
	e := r.fleet.entry(s.Target)
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

// replaceLost loses an entry VM for good; another one starts when it heals.
func (r *run) replaceLost(e *stand.Entry) (heal func()) {
	if len(r.fleet.all()) == 1 || !r.fleet.lose(e) {
		return nil
	}
	e.Cut()
	return func() {
		e.Remove()
		r.fleet.stops.Go(e.Kill)
		if err := r.fleet.startEntry(e.Zone); err != nil {
			r.violate("harness: %v", err)
		}
	}
}

// stopEntry replaces an entry VM as planned: the new one starts first.
func (r *run) stopEntry(e *stand.Entry) {
	if err := r.fleet.startEntry(e.Zone); err != nil {
		r.violate("harness: %v", err)
		return
	}
	if !r.fleet.lose(e) {
		return
	}
	r.fleet.stops.Go(func() {
		if err := e.Stop(); err != nil {
			r.violate("%s stopped with an error: %v", e.ID, err)
		}
		r.note("%s has stopped", e.ID)
		e.Remove()
	})
}

// awaitStops waits for VMs that are on their way out.
func (r *run) awaitStops() { r.fleet.stops.Wait() }
