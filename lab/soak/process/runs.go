package process

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// This file checks that no two engines work on one stream at the same time. The engines are the
// witnesses: a run begins with its first token, and ends when its engine stops to work on it.
//
// A daemon answers for that only if it could reach the earlier engine. Two runs are excused if, while
// both worked or at most recoveryTime before,
//
//   - the daemon was killed, stopped, started or frozen,
//   - the link between the daemon and the earlier engine was cut, narrowed or stalled in either direction,
//   - the earlier engine crashed or was restarted.
//
// A delay on a link is no excuse, nor is an engine that is slow, sends nothing, breaks its connection or
// sends bytes that are no events: the daemon's bytes reach it.

// maxTwoRuns is how long an engine may work on a stream that another engine has begun to continue.
const maxTwoRuns = 400 * time.Millisecond

// note is what happened to a run at its engine.
type note struct {
	at   time.Time
	text string
}

// recordBegun records that an engine has begun to generate the events of a run.
func (rec *recorder) recordBegun(r *execution) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	r.begunAt = time.Now()
}

// recordNote records what happened to a run.
func (rec *recorder) recordNote(r *execution, format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	r.notes = append(r.notes, note{at: time.Now(), text: fmt.Sprintf(format, args...)})
}

// twoRuns are two runs of one request at different engines that worked at the same time.
type twoRuns struct {
	id             string
	earlier, later execution
	until          time.Time // when the first of the two ended
	delayed        string    // directions of the link to the earlier engine that were delayed
}

// concurrentRuns returns the pairs of runs of one stream at different engines that worked at the same
// time for longer than maxTwoRuns, in order of time.
func (rec *recorder) concurrentRuns() (found []twoRuns) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	now := time.Now()
	for _, id := range slices.Sorted(maps.Keys(rec.executions)) {
		if !rec.sentRequests[id].kind.isStream() {
			continue
		}
		runs := rec.executions[id]
		for n, later := range runs {
			for _, earlier := range runs[:n] {
				until := earlier.endedBy(now)
				if end := later.endedBy(now); end.Before(until) {
					until = end
				}
				if later.at != earlier.at && !later.begunAt.IsZero() && until.Sub(later.begunAt) > maxTwoRuns {
					found = append(found, twoRuns{id: id, earlier: *earlier, later: *later, until: until})
				}
			}
		}
	}
	slices.SortFunc(found, func(a, b twoRuns) int { return cmp.Compare(a.later.begunAt.UnixNano(), b.later.begunAt.UnixNano()) })
	return found
}

// endedBy returns when an execution ended, now if it has not.
func (r *execution) endedBy(now time.Time) time.Time {
	if !r.finished {
		return now
	}
	return r.finishedAt
}

// String describes two runs: how long both worked, and what happened to each, in seconds from the begin
// of the later one.
func (p twoRuns) String() string {
	return fmt.Sprintf("%s runs at two engines for %.2fs: at %s [%s]%s, then at %s [%s]",
		p.id, p.until.Sub(p.later.begunAt).Seconds(), p.earlier.server, p.history(p.earlier), p.delayed, p.later.server, p.history(p.later))
}

func (p twoRuns) history(r execution) string {
	at := func(t time.Time, text string) string {
		return fmt.Sprintf("%+.2fs %s", t.Sub(p.later.begunAt).Seconds(), text)
	}
	parts := []string{at(r.startedAt, "admitted"), at(r.begunAt, "begun")}
	for _, n := range r.notes {
		parts = append(parts, at(n.at, n.text))
	}
	if r.finished {
		parts = append(parts, at(r.finishedAt, "ended"))
	}
	return strings.Join(parts, ", ")
}

// checkNoTwoRuns checks that no engine worked on a stream for longer than maxTwoRuns after another one
// had begun to continue it.
func (h *harness) checkNoTwoRuns() {
	for _, pair := range h.recorder.concurrentRuns() {
		if h.isOutOfTouch(pair) {
			h.recorder.count("two runs, out of touch")
			continue
		}
		pair.delayed = pair.earlier.at.delaysBetween(pair.later.begunAt, pair.until)
		h.recorder.recordViolation("%v", pair)
	}
}

// isOutOfTouch reports whether the daemon of two runs could not be expected to reach the earlier engine.
func (h *harness) isOutOfTouch(pair twoRuns) bool {
	from, until := pair.later.begunAt.Add(-recoveryTime), pair.until
	s := pair.earlier.at
	if s.disturbed.overlap(from, until) || s.link.isDisturbed(from, until) {
		return true
	}
	sentTo := h.recorder.sentRequestOf(pair.id).daemon
	n := slices.IndexFunc(h.daemons, func(d *daemon) bool { return d.callerProxy.address() == sentTo })
	if n < 0 {
		return false
	}
	if h.daemons[n].disturbed.overlap(from, until) {
		return true
	}
	if n >= len(h.uplinks) {
		return false
	}
	own := slices.IndexFunc(h.uplinks[n].toServers, func(p *proxy) bool { return slices.Contains(s.addresses, p.address()) })
	return own >= 0 && h.uplinks[n].toServers[own].isDisturbed(from, until)
}

// delaysBetween describes which directions of the server's link were delayed between two times.
func (s *server) delaysBetween(from, until time.Time) (text string) {
	if s.requestLink.delays.overlap(from, until) {
		text += " (requests delayed)"
	}
	if s.responseLink.delays.overlap(from, until) {
		text += " (responses delayed)"
	}
	return text
}

// isDisturbed reports whether the link of a proxy was cut, narrowed or stalled between two times.
func (p *proxy) isDisturbed(from, until time.Time) bool {
	if p.disturbed.overlap(from, until) {
		return true
	}
	for _, l := range slices.Concat(p.requestPath, p.responsePath) {
		if l.isNarrow() || l.stalls.overlap(from, until) {
			return true
		}
	}
	return false
}
