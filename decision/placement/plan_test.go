package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var (
	v1 = Ref{Model: "m", Version: "1"}
	v2 = Ref{Model: "m", Version: "2"}
	dp = Ref{Model: "d", Version: "1"}
)

func engines(n int, held ...ModelStatus) []Backend {
	out := make([]Backend, n)
	for i := range out {
		out[i] = Backend{ID: fmt.Sprintf("b%d", i), Pool: "p", Models: append([]ModelStatus(nil), held...)}
	}
	return out
}

func service(ref Ref, replicas, floor int, deps ...string) Service {
	return Service{Name: "s-" + ref.Model, Pool: "p", Ref: ref, Replicas: replicas, Floor: floor, DependsOn: deps}
}

// The rules one by one: what Plan says first in a given zone.
func TestFirstStep(t *testing.T) {
	ready := func(r Ref) ModelStatus { return ModelStatus{r, Ready} }
	full := func(bs []Backend) []Backend {
		for i := range bs {
			bs[i].Full = true
		}
		return bs
	}
	with := func(bs []Backend, i int, held ...ModelStatus) []Backend {
		bs[i].Models = held
		return bs
	}
	cases := []struct {
		name string
		in   Input
		kind Kind
		why  Reason
	}{
		{"as desired", Input{Services: []Service{service(v1, 2, 1)}, Backends: engines(2, ready(v1))}, None, ReasonConverged},
		{"empty engine", Input{Services: []Service{service(v1, 2, 1)}, Backends: engines(2), LoadBudget: 1}, Load, ReasonSpare},
		{"weight store busy", Input{Services: []Service{service(v1, 2, 1)}, Backends: engines(2)}, Wait, ReasonBudget},
		{
			"dependency first",
			Input{Services: []Service{service(v1, 1, 1, "s-d"), service(dp, 1, 1)}, Backends: with(engines(2), 0, ModelStatus{dp, Loading}), LoadBudget: 1},
			Wait, ReasonComing,
		},
		{"new version beside old", Input{Services: []Service{service(v2, 2, 2)}, Backends: engines(2, ready(v1)), LoadBudget: 1}, Load, ReasonReplace},
		{"room above floor", Input{Services: []Service{service(v2, 2, 1)}, Backends: full(engines(2, ready(v1))), LoadBudget: 1}, Unload, ReasonRoom},
		{"no room at floor", Input{Services: []Service{service(v2, 2, 2)}, Backends: full(engines(2, ready(v1))), LoadBudget: 1}, Wait, ReasonFloor},
		{
			"failed version stops",
			Input{
				Services: []Service{service(v2, 2, 0)}, LoadBudget: 1, Now: time.Unix(0, 0),
				Backends: func() []Backend {
					b := with(engines(2, ready(v1)), 0, ready(v1), ModelStatus{v2, Failed})
					b[0].NotBefore = time.Unix(9, 0)
					return b
				}(),
			},
			Wait, ReasonLoadFailed,
		},
		{"unload taken back", Input{Services: []Service{service(v1, 2, 1)}, Backends: with(engines(2, ready(v1)), 0, ModelStatus{v1, Unloading})}, Load, ReasonKeep},
		{"old beside new", Input{Services: []Service{service(v2, 2, 2)}, Backends: with(engines(2, ready(v2)), 0, ready(v1), ready(v2))}, Unload, ReasonOld},
		{"surplus", Input{Services: []Service{service(v1, 1, 1)}, Backends: engines(2, ready(v1))}, Unload, ReasonSurplus},
		{"unwanted last", Input{Services: []Service{service(v1, 1, 1)}, Backends: with(engines(1, ready(v1)), 0, ready(v1), ready(dp))}, Unload, ReasonUnwanted},
	}
	for _, c := range cases {
		step := Plan(c.in)
		must.Eq(t, c.kind, step.Kind, must.Sprint(c.name, step))
		must.Eq(t, c.why, step.Reason, must.Sprint(c.name, step))
	}
}

// An engine stops answering. Its replicas must not be replaced at the first
// missed poll, nor counted as serving when another is to be unloaded.
func TestDoubtfulEngine(t *testing.T) {
	b := engines(3, ModelStatus{v1, Ready})
	b[0].Health = Suspect
	in := Input{Services: []Service{service(v1, 3, 2)}, Backends: append(b, Backend{ID: "spare", Pool: "p"}), LoadBudget: 1}
	must.Eq(t, ReasonComing, Plan(in).Reason)
	in.Backends[0].Health = Lost
	must.Eq(t, "spare", Plan(in).Backend)
	for i := range 3 {
		in.Backends[i].Full = true
	}
	in.Backends, in.Services[0].Ref = in.Backends[:3], v2
	must.Eq(t, ReasonFloor, Plan(in).Reason)
}

// sim is a zone that does what it is told, slowly, and at times fails.
type sim struct {
	in    Input
	rng   *rand.Rand
	limit int // sets of weights an engine holds
}

func (z *sim) serving(s Service) int {
	n, full := 0, newZone(z.in)
	for i := range z.in.Backends {
		if b := &z.in.Backends[i]; b.usable() && full.serves(b, &s) {
			n++
		}
	}
	return n
}

func (z *sim) backend(id string) *Backend {
	for i := range z.in.Backends {
		if z.in.Backends[i].ID == id {
			return &z.in.Backends[i]
		}
	}
	return nil
}

func (z *sim) carryOut(step Step) {
	b := z.backend(step.Backend)
	held := b.Models[:0:0]
	had := false
	for _, h := range b.Models {
		if h.Ref == step.Ref {
			had = true
			switch {
			case step.Kind == Unload:
				h.State = Unloading
			case h.State == Unloading:
				h.State = Ready
			case h.State == Failed:
				h.State = Loading
			}
		}
		held = append(held, h)
	}
	b.Models = held
	if step.Kind == Load && !had {
		if len(b.Models) >= z.limit {
			b.Full = true
			return
		}
		b.Models = append(b.Models, ModelStatus{step.Ref, Loading})
	}
}

// progress lets every engine finish something with some probability.
func (z *sim) progress() {
	for i := range z.in.Backends {
		b := &z.in.Backends[i]
		held := b.Models[:0:0]
		for _, h := range b.Models {
			if z.rng.IntN(3) == 0 && h.State == Loading {
				h.State = Ready
			}
			if h.State == Unloading && z.rng.IntN(3) == 0 {
				b.Full = false
				continue
			}
			held = append(held, h)
		}
		b.Models = held
	}
}

// Operators change versions, replicas and services at random while engines
// die and return. No order of ours may take a service below its floor, a
// dependent may not load before its dependency serves, and when changes stop
// the zone must come to what the text says.
func TestRandomZones(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		z := &sim{rng: rng, limit: 1 + rng.IntN(3)}
		z.in = Input{Backends: engines(6), LoadBudget: 2}
		for round := range 600 {
			if round < 400 && rng.IntN(40) == 0 {
				z.in.Services = randomServices(rng)
			}
			for i := range z.in.Backends {
				if b := &z.in.Backends[i]; round < 400 && rng.IntN(100) == 0 {
					b.Models, b.Full = nil, false // died and came back empty
				}
			}
			z.check(t, seed, Plan(z.in))
			z.progress()
		}
		must.Eq(t, None, Plan(z.in).Kind, must.Sprint("seed ", seed, Plan(z.in), z.in))
	}
}

func (z *sim) check(t *testing.T, seed uint64, step Step) {
	t.Helper()
	if step.Kind != Load && step.Kind != Unload {
		return
	}
	var before []int
	for _, s := range z.in.Services {
		before = append(before, z.serving(s))
		if s.Name == step.Service && step.Kind == Load && step.Reason != ReasonKeep {
			must.True(t, newZone(z.in).dependenciesServe(&s), must.Sprint("seed ", seed, step))
		}
	}
	z.carryOut(step)
	for i, s := range z.in.Services {
		if now := z.serving(s); now < before[i] {
			must.GreaterEq(t, s.floor(), now, must.Sprint("seed ", seed, step, s))
			must.True(t, step.ReducesCapacity, must.Sprint("seed ", seed, step))
		}
	}
}

func randomServices(rng *rand.Rand) []Service {
	ref := func(model string) Ref { return Ref{Model: model, Version: fmt.Sprint(1 + rng.IntN(3))} }
	a, b := service(ref("a"), 1+rng.IntN(2), 1), service(ref("b"), 1+rng.IntN(2), rng.IntN(2), "s-a")
	if rng.IntN(4) == 0 {
		return []Service{a}
	}
	return []Service{a, b}
}
