package load

import (
	"time"

	"github.com/pkg/errors"
)

// Timing of a run: arrivals fill the system, then the run measures, then what
// is under way may end.
const (
	warmUp   = 60 * time.Second
	measured = 180 * time.Second
	settle   = 90 * time.Second
)

// scenario is one pattern of load.
type scenario struct {
	Name  string
	Story string
	// load and desk are offered work as parts of the capacity of the two pools.
	load, desk float64
	// shares replaces the deployment's mix of the generation pool, if set.
	shares []float64
	// heavy accounts ask ten times what the others do.
	heavy int
	// factor scales arrivals at a time since the run began; nil means 1.
	factor func(time.Duration) float64
	// span is how long the run measures; 0 means measured.
	span time.Duration
	// peak is the largest factor.
	peak float64
	// faults are set up before the run begins.
	faults func(w *world)
}

// heavyDemand is what a heavy account asks, relative to the others.
const heavyDemand = 10

var scenarios = []scenario{
	{
		Name: "unloaded", Story: "A tenth of capacity: what callers get when nothing is in the way.",
		load: 0.1, desk: 0.1,
	},
	{
		Name: "usual", Story: "Seven tenths of capacity, all accounts alike.",
		load: 0.7, desk: 0.6,
	},
	{
		Name: "burst", Story: "Half of capacity with bursts of four times that for 5 s in each 30 s.",
		load: 0.5, desk: 0.4, peak: 4,
		factor: func(t time.Duration) float64 {
			if t%(30*time.Second) < 5*time.Second {
				return 4
			}
			return 1
		},
	},
	{
		Name: "heavy", Story: "Twice capacity; one account asks ten times what each other does.",
		load: 2, desk: 0.6, heavy: 1,
	},
	{
		Name: "straggler", Story: "Seven tenths of capacity; one backend server becomes eight times slower, then recovers.",
		load: 0.7, desk: 0.4,
		faults: func(w *world) {
			slow := w.pools[poolLong][0]
			w.clock.after(warmUp+10*time.Second, func() { slow.setSlow(8) })
			w.clock.after(warmUp+130*time.Second, func() { slow.setSlow(1) })
		},
	},
	{
		Name: "mixed", Story: "Nine tenths of capacity, most of it long generations among short requests.",
		load: 0.9, desk: 0.6, shares: []float64{0.85, 0.10, 0.05},
	},
	{
		Name: "saturation", Story: "Twice the capacity of the generation pool, all accounts alike.",
		load: 2, desk: 0.6,
	},
	{
		Name: "urgent_saturation", Story: "Lookups alone ask twice the capacity of their desk.",
		load: 0.5, desk: 2,
	},
	{
		Name: "zone_lost", Story: "At capacity one of three zones is lost with its entry VMs and backend servers.",
		load: 1, desk: 0.6,
		faults: func(w *world) {
			w.clock.after(warmUp+30*time.Second, func() { w.killZone(0) })
		},
	},
}

func (s scenario) length() time.Duration {
	if s.span > 0 {
		return s.span
	}
	return measured
}

// scenarioNamed returns a scenario of the list.
func scenarioNamed(name string) (scenario, error) {
	for _, s := range scenarios {
		if s.Name == name {
			return s, nil
		}
	}
	return scenario{}, errors.Errorf("no scenario is named %q", name)
}

// capacity is what a pool can produce, in answer tokens a second.
type capacity map[string]float64

// measureCapacity offers far more than the pools can do to one plain queue that
// fills every slot, with callers who wait for ever, and counts what comes. One
// entry VM takes all of it: divided among several, shares of slots round up.
func measureCapacity(d deployment, shares []float64, seed uint64) capacity {
	patient := d
	patient.daemons = []int{1}
	patient.kinds = append([]kind(nil), d.kinds...)
	for i := range patient.kinds {
		s := *patient.kinds[i].service
		s.Deadline = time.Hour
		patient.kinds[i].service = &s
	}
	w := newWorld(patient, FIFO, seed)
	nominal := capacity{poolLong: d.nominal(poolLong), poolDesk: d.nominal(poolDesk)}
	w.traffic(scenario{load: 1.5, desk: 1.5, shares: shares}, nominal, warmUp+measured)
	from, until := w.clock.now.Add(warmUp), w.clock.now.Add(warmUp+measured)
	w.meter.window(from, until)
	w.clock.runUntil(until)
	c := capacity{}
	for pool, tokens := range w.meter.pools {
		c[pool] = tokens / measured.Seconds()
	}
	return c
}

// traffic schedules the arrivals of a scenario until end.
func (w *world) traffic(s scenario, c capacity, length time.Duration) {
	for i := range w.accounts {
		if i < s.heavy {
			w.accounts[i].demand = heavyDemand
		}
	}
	id := 0
	for i := range w.deploy.kinds {
		k := &w.deploy.kinds[i]
		share, part := k.share, s.load
		if i < len(s.shares) {
			share = s.shares[i]
		}
		if k.service.Pool == poolDesk {
			part = s.desk
		}
		perS := part * share * c[k.service.Pool] / k.meanAnswer()
		w.arrivals(k, perS, s, length, &id)
	}
}

// arrivals schedules a Poisson process, thinned where the scenario's factor is
// below its peak.
func (w *world) arrivals(k *kind, perS float64, s scenario, length time.Duration, id *int) {
	peak := max(s.peak, 1)
	begin := w.clock.now
	var next func()
	next = func() {
		gap := time.Duration(w.random.ExpFloat64() / (perS * peak) * float64(time.Second))
		w.clock.after(gap, func() {
			t := w.clock.now.Sub(begin)
			if t > length {
				return
			}
			factor := 1.0
			if s.factor != nil {
				factor = s.factor(t)
			}
			if w.random.Float64()*peak < factor {
				*id++
				w.arrive(*id, w.drawAccount(), k)
			}
			next()
		})
	}
	next()
}

func (w *world) drawAccount() *account {
	all := 0.0
	for _, a := range w.accounts {
		all += a.demand
	}
	x := w.random.Float64() * all
	for _, a := range w.accounts {
		if x -= a.demand; x < 0 {
			return a
		}
	}
	return w.accounts[len(w.accounts)-1]
}
