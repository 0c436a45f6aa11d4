package backends

import (
	"context"
	"sync"
	"time"

	"mallowwind.dev/external/engine"
	"mallowwind.dev/telemetry/event"
)

// idleWait is how long the poll loop waits at most before it looks for due polls again. A change of
// the list or a requested poll wakes it earlier.
const idleWait = time.Second

// PollSoon makes the poll of a backend server due now. Callers use it after a request to the server
// failed in a way that its status report may explain.
func (m *Manager) PollSoon(id string) {
	m.mu.Lock()
	if e, ok := m.entries[id]; ok {
		e.due = time.Time{}
	}
	m.mu.Unlock()
	m.wakePoller()
}

func (m *Manager) wakePoller() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// pollLoop starts the polls that are due. Up to Config.MaxConcurrentPolls run concurrently, so that
// a backend server that does not answer does not delay the polls of others.
func (m *Manager) pollLoop(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		e, wait := m.nextDue(time.Now())
		if e == nil {
			m.waitForWake(ctx, wait)
			continue
		}
		select {
		case <-ctx.Done():
			return
		case m.pollSlots <- struct{}{}:
		}
		wg.Go(func() {
			defer func() { <-m.pollSlots }()
			m.poll(ctx, e)
		})
	}
}

func (m *Manager) waitForWake(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-m.wake:
	case <-t.C:
	}
}

// nextDue returns the entry that has been due longest and marks it as being polled. If none is due,
// it returns nil and how long to wait.
func (m *Manager) nextDue(now time.Time) (*entry, time.Duration) {
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
		return nil, idleWait
	}
	if first.due.After(now) {
		return nil, min(first.due.Sub(now), idleWait)
	}
	first.polling = true
	return first, 0
}

// poll requests the status of one engine and records the result.
func (m *Manager) poll(ctx context.Context, e *entry) {
	pollCtx, cancel := context.WithTimeout(ctx, m.cfg.StatusTimeout)
	status, err := e.eng.Status(pollCtx)
	cancel()
	m.metrics.polls.Inc()
	if ctx.Err() != nil {
		return
	}
	m.recordPoll(e, status, err)
}

// recordPoll stores the result of a poll, schedules the next one and announces a changed report.
func (m *Manager) recordPoll(e *entry, status engine.Status, err error) {
	interval := m.steadyInterval()
	m.mu.Lock()
	wasReachable, first := e.reachable, !e.polled
	e.polling, e.polled, e.reachable = false, true, err == nil
	if err == nil {
		e.status, e.statusAt = status, time.Now()
	}
	digest := statusDigest(status, err == nil)
	changed := !first && digest != e.digest
	e.digest = digest
	if e.isChanging() {
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
		for _, f := range m.onReportChange {
			f(vm.ID, digest)
		}
	}
	switch {
	case err != nil && (wasReachable || first):
		m.metrics.pollFailures.Inc()
		m.deps.Log.Emit(event.BackendUnreachable, vm.ID, vm.Pool, err.Error())
	case err != nil:
		m.metrics.pollFailures.Inc()
	case !wasReachable:
		m.deps.Log.Emit(event.BackendReachable, vm.ID, vm.Pool, status.Incarnation)
	}
}

// steadyInterval returns the time between two polls of a backend server in a steady state. All
// entries share PollsPerSecond.
func (m *Manager) steadyInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	round := time.Duration(float64(len(m.entries)) / m.cfg.PollsPerSecond * float64(time.Second))
	return max(round, m.cfg.MinPollInterval)
}
