package soak

import (
	"slices"
	"sync"

	"mallowwind.dev/lab/stand"
)

// fleet is the entry VMs and engines there are now, without those lost for good.
type fleet struct {
	d *stand.Deployment

	stops sync.WaitGroup // VMs on their way out

	mu      sync.Mutex
	entries []*stand.Entry
	engines []string
	zoneOf  map[string]string // of engines
}

func newFleet(d *stand.Deployment) *fleet {
	f := &fleet{d: d, entries: slices.Clone(d.Entries), zoneOf: make(map[string]string)}
	for id := range d.Engines {
		f.engines = append(f.engines, id)
		vm, _ := d.VMs.Latest(id)
		f.zoneOf[id] = vm.Zone
	}
	slices.Sort(f.engines)
	return f
}

func (f *fleet) all() []*stand.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.entries)
}

func (f *fleet) entry(target int) *stand.Entry {
	all := f.all()
	return all[target%len(all)]
}

// engine chooses an engine that works, if one does: a fault of an idle one
// shows little.
func (f *fleet) engine(target int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var busy []string
	for _, id := range f.engines {
		if f.d.Engines[id].IsBusy() {
			busy = append(busy, id)
		}
	}
	if len(busy) > 0 {
		return busy[target%len(busy)]
	}
	return f.engines[target%len(f.engines)]
}

func (f *fleet) enginesOf(zone string) (ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range f.engines {
		if f.zoneOf[id] == zone {
			ids = append(ids, id)
		}
	}
	return ids
}

func (f *fleet) entriesOf(zone string) (in []*stand.Entry) {
	for _, e := range f.all() {
		if e.Zone == zone {
			in = append(in, e)
		}
	}
	return in
}

// startEntry adds an entry VM.
func (f *fleet) startEntry(zone string) error {
	e, err := f.d.StartEntry(zone)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = append(f.entries, e)
	return nil
}

// lose takes an entry VM off; it reports whether it was there.
func (f *fleet) lose(e *stand.Entry) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := len(f.entries)
	f.entries = slices.DeleteFunc(f.entries, func(x *stand.Entry) bool { return x == e })
	return len(f.entries) < before
}

// startEngine adds an engine and returns its id.
func (f *fleet) startEngine(zone string) (string, error) {
	id, err := f.d.AddEngine(zone)
	if err != nil {
		return "", err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engines = append(f.engines, id)
	f.zoneOf[id] = zone
	return id, nil
}

func (f *fleet) loseEngine(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := slices.Index(f.engines, id)
	if i < 0 {
		return false
	}
	f.engines = slices.Delete(f.engines, i, i+1)
	return true
}
