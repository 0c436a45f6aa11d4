package soak

import (
	"slices"
	"sync"

	"mallowwind.dev/lab/stand"
)

// fleet tracks the current entry VMs and engines, without those that are lost for good or stopping.
type fleet struct {
	deployment *stand.Deployment

	stops sync.WaitGroup // VMs that are being stopped

	mu      sync.Mutex
	entries []*stand.Entry
	engines []string
	zoneOf  map[string]string // by engine ID
}

func newFleet(d *stand.Deployment) *fleet {
	f := &fleet{deployment: d, entries: slices.Clone(d.Entries), zoneOf: make(map[string]string)}
	for id := range d.Engines {
		f.engines = append(f.engines, id)
		vm, _ := d.VMs.Latest(id)
		f.zoneOf[id] = vm.Zone
	}
	slices.Sort(f.engines)
	return f
}

func (f *fleet) allEntries() []*stand.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.entries)
}

func (f *fleet) entryAt(target int) *stand.Entry {
	all := f.allEntries()
	return all[target%len(all)]
}

// engineAt chooses a busy engine if there is one, because a fault of an idle one has little effect.
func (f *fleet) engineAt(target int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var busy []string
	for _, id := range f.engines {
		if f.deployment.Engines[id].IsBusy() {
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
	for _, e := range f.allEntries() {
		if e.Zone == zone {
			in = append(in, e)
		}
	}
	return in
}

// startEntry adds an entry VM.
func (f *fleet) startEntry(zone string) error {
	e, err := f.deployment.StartEntry(zone)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = append(f.entries, e)
	return nil
}

// removeEntry removes an entry VM from the fleet and reports whether it was there.
func (f *fleet) removeEntry(e *stand.Entry) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := len(f.entries)
	f.entries = slices.DeleteFunc(f.entries, func(x *stand.Entry) bool { return x == e })
	return len(f.entries) < before
}

// startEngine adds an engine and returns its ID.
func (f *fleet) startEngine(zone string) (string, error) {
	id, err := f.deployment.AddEngine(zone)
	if err != nil {
		return "", err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engines = append(f.engines, id)
	f.zoneOf[id] = zone
	return id, nil
}

func (f *fleet) removeEngine(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := slices.Index(f.engines, id)
	if i < 0 {
		return false
	}
	f.engines = slices.Delete(f.engines, i, i+1)
	return true
}
