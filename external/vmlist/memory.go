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

// ErrDown is returned by Memory.List during an outage.
var ErrDown = errors.New("vmlist: outage")

// Memory is an in-process list. Each change becomes visible after a lag. It is safe for concurrent
// use.
type Memory struct {
	mu      sync.Mutex
	lag     time.Duration
	down    bool
	visible map[string]VM
	pending []change // in the order they were made
}

var _ Source = (*Memory)(nil)

type change struct {
	due     time.Time
	vm      VM
	removed bool
}

// NewMemory returns a list that contains vms immediately and shows later changes after lag.
func NewMemory(lag time.Duration, vms ...VM) *Memory {
	m := &Memory{lag: lag, visible: make(map[string]VM)}
	for _, vm := range vms {
		m.visible[vm.ID] = vm
	}
	return m
}

// PutNow adds or replaces a VM without lag, for the initial contents.
func (m *Memory) PutNow(vm VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.visible[vm.ID] = vm
}

// Latest returns a VM as of its last change, whether or not that change is visible yet.
func (m *Memory) Latest(id string) (VM, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range slices.Backward(m.pending) {
		if c.vm.ID == id {
			return c.vm, !c.removed
		}
	}
	vm, ok := m.visible[id]
	return vm, ok
}

// Put adds or replaces a VM after the lag.
func (m *Memory) Put(vm VM) { m.change(change{vm: vm}) }

// Remove removes a VM after the lag.
func (m *Memory) Remove(id string) { m.change(change{vm: VM{ID: id}, removed: true}) }

func (m *Memory) change(c change) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c.due = time.Now().Add(m.lag)
	m.pending = append(m.pending, c)
}

// SetLag sets the lag of later changes. Changes always become visible in the order they were made,
// also if the lag shrinks.
func (m *Memory) SetLag(lag time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lag = lag
}

// SetDown starts or ends an outage.
func (m *Memory) SetDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
}

// List implements Source. The list is sorted by ID.
func (m *Memory) List(ctx context.Context) ([]VM, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return nil, ErrDown
	}
	m.applyDue(time.Now())
	byID := func(a, b VM) int { return strings.Compare(a.ID, b.ID) }
	return slices.SortedFunc(maps.Values(m.visible), byID), nil
}

func (m *Memory) applyDue(now time.Time) {
	for len(m.pending) > 0 && !m.pending[0].due.After(now) {
		c := m.pending[0]
		m.pending = m.pending[1:]
		if c.removed {
			delete(m.visible, c.vm.ID)
			continue
		}
		m.visible[c.vm.ID] = c.vm
	}
}

// Handler serves the list of s as a JSON array with an entity tag, compressed for clients that accept
// gzip.
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
