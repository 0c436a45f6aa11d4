package backends

import (
	"context"
	"sync"
	"time"

	"mallowwind.dev/external/engine"
	"mallowwind.dev/telemetry/event"
)

// idleWait is how long the poll loop waits when nothing is due; news of the
// list or a hint wakes it sooner.
const idleWait = time.Second

// PollSoon asks for an early poll of a backend server, after work on it failed in
// a way that its own report may explain.
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

// pollLoop starts the polls that are due. Polls run beside each other, up to
// Parallel, so that a silent backend server holds up none of the others.
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

// nextDue takes the entry that has been due longest, or says how long to wait.
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

// poll asks one engine for its status and records the answer.
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

func (m *Manager) recordPoll(e *entry, status engine.Status, err error) {
	interval := m.steadyInterval()
	m.mu.Lock()
	was, first := e.reachable, !e.polled
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
	case err != nil && (was || first):
		m.metrics.pollFailures.Inc()
		m.deps.Log.Emit(event.BackendUnreachable, vm.ID, vm.Pool, err.Error())
	case err != nil:
		m.metrics.pollFailures.Inc()
	case !was:
		m.deps.Log.Emit(event.BackendReachable, vm.ID, vm.Pool, status.Incarnation)
	}
}

// steadyInterval is the time between two polls of a steady backend server: the
// whole subset shares PollsPerSecond.
func (m *Manager) steadyInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	round := time.Duration(float64(len(m.entries)) / m.cfg.PollsPerSecond * float64(time.Second))
	return max(round, m.cfg.MinPollInterval)
}
