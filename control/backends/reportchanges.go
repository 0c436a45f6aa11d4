package backends

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"mallowwind.dev/external/engine"
)

// noAnswerDigest is the digest of a backend server that does not answer.
const noAnswerDigest = 1

// reportPollSpread spreads the polls of the daemons that learn of a changed report, so that they do
// not all poll the backend server at once. Each polls after half of it, with jitter.
const reportPollSpread = time.Second

// statusDigest returns a hash of the parts of a status report that other daemons should learn soon:
// the incarnation, the role and the state of the sets of weights, but not the load.
func statusDigest(s engine.Status, answered bool) uint64 {
	if !answered {
		return noAnswerDigest
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(s.Incarnation + "\x00" + string(s.Role))
	for _, l := range s.Models {
		_, _ = d.WriteString("\x00" + l.Ref.Model + "\x00" + l.Ref.Adapter + "\x00" + l.Ref.Version + "\x00" + string(l.State))
	}
	return d.Sum64()
}

// OnReportChange registers f to be called when a poll by this daemon finds a changed report:
// another incarnation or role, other weights, no answer, or an answer again. f must not block. Call
// OnReportChange before Run.
func (m *Manager) OnReportChange(f func(id string, digest uint64)) {
	m.onReportChange = append(m.onReportChange, f)
}

// HandleReportChange handles the message that another daemon found a changed report: it schedules
// an early poll of the backend server if the digest differs from that of the last report. At 1,900
// backend servers a daemon takes minutes to poll its whole subset once, but each server is polled
// by some daemon every few seconds.
func (m *Manager) HandleReportChange(id string, digest uint64) {
	soon := time.Now().Add(m.jittered(reportPollSpread) / 2)
	m.mu.Lock()
	e, ok := m.entries[id]
	ok = ok && e.digest != digest && soon.Before(e.due)
	if ok {
		e.due = soon
	}
	m.mu.Unlock()
	if ok {
		m.wakePoller()
	}
}
