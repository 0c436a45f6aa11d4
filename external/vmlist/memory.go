package vmlist

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// ErrDown is what Memory answers during an outage.
var ErrDown = errors.New("vmlist: outage")

// Memory is the list in process. Each change becomes visible after its lag.
// It is safe for concurrent use.
type Memory struct {
	mu      sync.Mutex
	lag     time.Duration
	down    bool
	visible map[string]VM
	pending []change // in the order in which they were made
}

var _ Source = (*Memory)(nil)

type change struct {
	due  time.Time
	vm   VM
	gone bool
}

// NewMemory returns a list that shows these VMs at once and later changes after lag.
func NewMemory(lag time.Duration, vms ...VM) *Memory {
	m := &Memory{lag: lag, visible: make(map[string]VM)}
	for _, vm := range vms {
		m.visible[vm.ID] = vm
	}
	return m
}

// PutNow adds or replaces a VM at once, for the start.
func (m *Memory) PutNow(vm VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.visible[vm.ID] = vm
}

// Latest returns a VM as the last change made it, visible or not.
func (m *Memory) Latest(id string) (VM, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range slices.Backward(m.pending) {
		if c.vm.ID == id {
			return c.vm, !c.gone
		}
	}
	vm, ok := m.visible[id]
	return vm, ok
}

// Put adds or replaces a VM.
func (m *Memory) Put(vm VM) { m.change(change{vm: vm}) }

// Remove takes a VM off the list.
func (m *Memory) Remove(id string) { m.change(change{vm: VM{ID: id}, gone: true}) }

func (m *Memory) change(c change) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c.due = time.Now().Add(m.lag)
	m.pending = append(m.pending, c)
}

// SetLag changes how late changes made from now on become visible. They never
// overtake earlier ones.
func (m *Memory) SetLag(lag time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lag = lag
}

// SetDown begins or ends an outage.
func (m *Memory) SetDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
}

// List implements Source; the list is ordered by id.
func (m *Memory) List(ctx context.Context) ([]VM, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return nil, ErrDown
	}
	m.settle(time.Now())
	byID := func(a, b VM) int { return strings.Compare(a.ID, b.ID) }
	return slices.SortedFunc(maps.Values(m.visible), byID), nil
}

func (m *Memory) settle(now time.Time) {
	for len(m.pending) > 0 && !m.pending[0].due.After(now) {
		c := m.pending[0]
		m.pending = m.pending[1:]
		if c.gone {
			delete(m.visible, c.vm.ID)
			continue
		}
		m.visible[c.vm.ID] = c.vm
	}
}

// Handler serves a Source in its wire form: one GET, one JSON array, with an
// entity tag, and compressed for clients that take it.
func Handler(s Source) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		list, err := s.List(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		body, err := json.Marshal(list)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		tag := fmt.Sprintf("\"%016x\"", xxhash.Sum64(body))
		w.Header().Set("ETag", tag)
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
			_, _ = w.Write(body)
			return
		}
		w.Header().Set("Content-Encoding", "gzip")
		z := gzip.NewWriter(w)
		_, _ = z.Write(body)
		_ = z.Close()
	})
}
