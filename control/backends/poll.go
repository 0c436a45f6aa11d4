package backends

import (
	"context"
	"sync"
	"time"

	"mallowwind.dev/external/engine"
	"mallowwind.dev/telemetry/event"
)

// idlePoll is how long the poll loop waits when nothing is due; news of the
// list or a hint wakes it sooner.
const idlePoll = time.Second

// PollSoon asks for an early poll of a backend server, after work on it failed in
// a way that its own report may explain.
func (m *Manager) PollSoon(id string) {
	m.mu.Lock()
	if e, ok := m.entries[id]; ok {
		e.due = time.Time{}
	}
	m.mu.Unlock()
	m.poke()
}

func (m *Manager) poke() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// pollLoop starts the polls that are due. Polls run beside each other, up to
// Parallel, so that a silent backend server holds up none of the others.
func (m *Manager) pollLoop(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		e, wait := m.next(time.Now())
		if e == nil {
			m.await(ctx, wait)
			continue
		}
		select {
		case <-ctx.Done():
			return
		case m.slots <- struct{}{}:
		}
		wg.Go(func() {
			defer func() { <-m.slots }()
			m.poll(ctx, e)
		})
	}
}

func (m *Manager) await(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-m.wake:
	case <-t.C:
	}
}

// next takes the entry that has been due longest, or says how long to wait.
func (m *Manager) next(now time.Time) (*entry, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var first *entry
	for _, e := range m.entries {
		if e.eng == nil || e.polling {
			continue
		}
		if first == nil || e.due.Before(first.due) || (e.due.Equal(first.due) && e.vm.ID < first.vm.ID) {
			first = e
		}
	}
	if first == nil {
		return nil, idlePoll
	}
	if first.due.After(now) {
		return nil, min(first.due.Sub(now), idlePoll)
	}
	first.polling = true
	return first, 0
}

// poll asks one engine for its status and records the answer.
func (m *Manager) poll(ctx context.Context, e *entry) {
	pollCtx, cancel := context.WithTimeout(ctx, m.cfg.StatusTimeout)
	status, err := e.eng.Status(pollCtx)
	cancel()
	m.met.polls.Inc()
	if ctx.Err() != nil {
		return
	}
	m.record(e, status, err)
}

func (m *Manager) record(e *entry, status engine.Status, err error) {
	interval := m.interval()
	m.mu.Lock()
	was, first := e.reachable, !e.polled
	e.polling, e.polled, e.reachable = false, true, err == nil
	if err == nil {
		e.status, e.seen = status, time.Now()
	}
	digest := digestOf(status, err == nil)
	changed := !first && digest != e.digest
	e.digest = digest
	if e.hot() {
		interval = m.cfg.MinPollInterval
	}
	m.publish()
	vm := e.vm
	m.mu.Unlock()

	due := time.Now().Add(m.jittered(interval))
	m.mu.Lock()
	e.due = due
	m.mu.Unlock()
	if changed {
		for _, f := range m.onReport {
			f(vm.ID, digest)
		}
	}
	switch {
	case err != nil && (was || first):
		m.met.pollFailures.Inc()
		m.deps.Log.Emit(event.BackendUnreachable, vm.ID, vm.Pool, err.Error())
	case err != nil:
		m.met.pollFailures.Inc()
	case !was:
		m.deps.Log.Emit(event.BackendReachable, vm.ID, vm.Pool, status.Incarnation)
	}
}

// interval is the time between two polls of a steady backend server: the
// whole subset shares PollsPerSecond.
func (m *Manager) interval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	round := time.Duration(float64(len(m.entries)) / m.cfg.PollsPerSecond * float64(time.Second))
	return max(round, m.cfg.MinPollInterval)
}
