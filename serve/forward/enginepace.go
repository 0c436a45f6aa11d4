package forward

import (
	"maps"
	"sync"
	"time"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/pace"
	"mallowwind.dev/decision/prompts"
	"mallowwind.dev/peer/peerpb"
	"mallowwind.dev/telemetry/event"
)

const (
	// learnedPaceTTL is how long the pace of an engine that a tracking daemon stated counts here. It is
	// as long as trackers keep a pace, and also how long a sample of this daemon is kept for its notes.
	learnedPaceTTL = time.Minute
	// paceAssessInterval is how often the paces of a service's engines are compared.
	paceAssessInterval = time.Second
)

// enginePaces knows how fast the engines decode, from the replies of their tracking daemons. It
// measures the streams of this daemon for its notes, and holds the samples of all daemons of the
// engines that this daemon tracks. This daemon's own samples count only through the trackers: one
// daemon has too few to tell a busy engine from a slow one. It is safe for concurrent use. Its
// methods call no others of the handler while they hold the lock.
type enginePaces struct {
	log *event.Log

	mu       sync.Mutex // guards the fields below
	tracked  pace.Table[routing.Incarnation]
	services map[string]*servicePaces
}

// servicePaces is what is known here of the engines of one service.
type servicePaces struct {
	samples map[routing.Incarnation]paceSample // the last one taken here
	// learned holds what tracking daemons stated; interval is 0 if they don't know the pace.
	learned    map[routing.Incarnation]paceSample
	fleet      pace.Comparison
	saturation pace.Saturation
	assessedAt time.Time
}

// paceSample is an interval between events that was observed at a time.
type paceSample struct {
	interval time.Duration
	at       time.Time
}

func (s paceSample) isExpired(now time.Time) bool { return now.Sub(s.at) >= learnedPaceTTL }

func newEnginePaces(log *event.Log) *enginePaces {
	return &enginePaces{log: log, services: map[string]*servicePaces{}}
}

// service returns the state of a service. The caller holds p.mu.
func (p *enginePaces) service(name string) *servicePaces {
	s := p.services[name]
	if s == nil {
		s = &servicePaces{samples: map[routing.Incarnation]paceSample{}, learned: map[routing.Incarnation]paceSample{}}
		p.services[name] = s
	}
	return s
}

// recordSample records the interval between events of a stream of this daemon. It reports whether
// this is its first sample of the engine and the tracking daemon did not know the pace either.
func (p *enginePaces) recordSample(now time.Time, s routing.Server, interval time.Duration) (isNews bool) {
	p.mu.Lock()
	state, life := p.service(s.Service), s.Incarnation()
	_, sampled := state.samples[life]
	state.samples[life] = paceSample{interval: interval, at: now}
	learned, asked := state.learned[life]
	changed := p.assess(now, state)
	p.mu.Unlock()
	p.logChange(s.Service, changed)
	return !sampled && asked && learned.interval == 0
}

// learn records what a tracking daemon stated of an engine; interval is 0 if it does not know the
// pace. A known pace is kept until it expires if its tracking daemon has changed.
func (p *enginePaces) learn(now time.Time, service string, life routing.Incarnation, interval time.Duration) {
	if interval != 0 && !pace.IsValid(interval) {
		return
	}
	p.mu.Lock()
	state := p.service(service)
	if old := state.learned[life]; interval != 0 || old.interval == 0 || old.isExpired(now) {
		state.learned[life] = paceSample{interval: interval, at: now}
	}
	changed := p.assess(now, state)
	p.mu.Unlock()
	p.logChange(service, changed)
}

// recordWork records the work of all other daemons at the engines that this daemon asked about.
func (p *enginePaces) recordWork(service string, work workloads) {
	busy := 0
	for _, w := range work {
		if w.prefilling > 0 {
			busy++
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.service(service).saturation.Observe(busy, len(work))
}

// assess compares the engines of a service, at most once in paceAssessInterval, and removes what has
// expired. It returns the result if the engines have become uneven or even. The caller holds p.mu.
func (p *enginePaces) assess(now time.Time, s *servicePaces) (changed *pace.Comparison) {
	if now.Sub(s.assessedAt) < paceAssessInterval {
		return nil
	}
	var intervals []time.Duration
	for life, l := range s.learned {
		switch {
		case l.isExpired(now):
			delete(s.learned, life)
		case l.interval != 0:
			intervals = append(intervals, l.interval)
		}
	}
	maps.DeleteFunc(s.samples, func(_ routing.Incarnation, one paceSample) bool { return one.isExpired(now) })
	before := s.fleet.Uneven
	s.fleet, s.assessedAt = pace.Assess(s.fleet, now, intervals, s.saturation.IsSaturated()), now
	if s.fleet.Uneven == before {
		return nil
	}
	fleet := s.fleet
	return &fleet
}

// logChange logs that the engines of a service have become uneven or even; f is nil if neither.
func (p *enginePaces) logChange(service string, f *pace.Comparison) {
	if f != nil {
		p.log.Emit(event.EnginesUneven, service, f.Uneven, f.Known, f.Fast, f.Average, f.Slow)
	}
}

// comparisonOf returns the comparison of a service's engines; the zero Fleet once nothing was learned for
// so long that all of it has expired. The caller holds p.mu.
func (p *enginePaces) comparisonOf(now time.Time, service string) (*servicePaces, pace.Comparison) {
	s := p.services[service]
	if s == nil || now.Sub(s.assessedAt) >= learnedPaceTTL {
		return nil, pace.Comparison{}
	}
	return s, s.fleet
}

// interval returns the known interval between events of an engine, 0 if unknown.
func (s *servicePaces) interval(now time.Time, life routing.Incarnation) time.Duration {
	if l := s.learned[life]; !l.isExpired(now) {
		return l.interval
	}
	return 0
}

// of returns the comparison of a service's engines and the interval between events of one of them, 0
// if that is unknown or if the engines are not uneven.
func (p *enginePaces) of(now time.Time, server routing.Server) (pace.Comparison, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, fleet := p.comparisonOf(now, server.Service)
	if !fleet.Uneven {
		return fleet, 0
	}
	return fleet, s.interval(now, server.Incarnation())
}

// rate sets the pace of the engines of a server set where they are uneven. It looks only at those of
// known pace, which are few at a daemon of a large fleet.
func (p *enginePaces) rate(now time.Time, l *serverSet, engines []prompts.Engine) {
	if len(l.servers) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s, fleet := p.comparisonOf(now, l.servers[0].Service)
	if !fleet.Uneven {
		return
	}
	for i := range engines {
		engines[i].Pace, engines[i].Untested = fleet.Relative(0), true
	}
	for life := range s.learned {
		i, interval := l.indexOf(life), s.interval(now, life)
		if i >= 0 && interval > 0 {
			engines[i].Pace, engines[i].Untested = fleet.Relative(interval), false
			engines[i].Slow = fleet.ClassOf(interval) == pace.Slow
		}
	}
}

// rateReport sets the pace of an engine in its report.
func (p *enginePaces) rateReport(now time.Time, s routing.Server, r *prompts.Report) {
	fleet, interval := p.of(now, s)
	class := fleet.ClassOf(interval)
	r.Pace, r.Untested, r.Slow = fleet.Relative(interval), class == pace.Unknown, class == pace.Slow
}

// usualPause returns the longest pause between events that is usual at a slow engine; 0 at others.
func (p *enginePaces) usualPause(now time.Time, s routing.Server) time.Duration {
	fleet, interval := p.of(now, s)
	return fleet.UsualPause(interval)
}

// addSample adds this daemon's last sample of an engine to a note.
func (p *enginePaces) addSample(now time.Time, s routing.Server, note *peerpb.ServerWork) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.services[s.Service]
	if state == nil {
		return
	}
	if sample, ok := state.samples[s.Incarnation()]; ok {
		note.EventUs, note.ObservedMs = sample.interval.Microseconds(), max(now.Sub(sample.at), 0).Milliseconds()
	}
}

// recordNote records the sample in a note on an engine that this daemon tracks. Invalid values are
// ignored.
func (p *enginePaces) recordNote(now time.Time, life routing.Incarnation, note *peerpb.ServerWork) {
	interval, ok := noteDuration(note.GetEventUs(), time.Microsecond)
	age, okAge := noteDuration(note.GetObservedMs(), time.Millisecond)
	if !ok || !okAge {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracked.Observe(now, life, interval, age)
}

// noteDuration converts a number of units in a note; ok is false for one that no note can mean.
func noteDuration(n int64, unit time.Duration) (d time.Duration, ok bool) {
	if n < 0 || n > int64(time.Hour/unit) {
		return 0, false
	}
	return time.Duration(n) * unit, true
}

// trackedInterval returns the estimate for an engine that this daemon tracks, 0 if unknown.
func (p *enginePaces) trackedInterval(now time.Time, life routing.Incarnation) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracked.Interval(now, life)
}

// measurePace records the arrival of an event.
func (a *attempt) measurePace() {
	r := a.r
	if r.h.opts.Feed.View().Config.Engine(r.service) == nil {
		return
	}
	interval, ok := a.meter.Observe(monotonic())
	if !ok {
		return
	}
	if r.h.paces.recordSample(time.Now(), a.target.server, interval) {
		r.h.workTracker.workChanged(a.target.server)
	}
}

// countPlacement counts a prompt by the pace of its engine where engines are uneven.
func (r *relay) countPlacement(c choice) {
	if fleet, interval := r.h.paces.of(time.Now(), c.server); fleet.Uneven {
		r.h.metrics.pacedPlacements.WithLabelValues(string(fleet.ClassOf(interval))).Inc()
	}
}
