package backends

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"mallowwind.dev/external/engine"
)

// silent stands for the digest of a backend server that does not answer.
const silent = 1

// reportSpread is the time over which daemons that hear of a changed report
// ask for it themselves, so that they do not all ask at once.
const reportSpread = time.Second

// digestOf returns a hash of what other daemons should know of a report soon:
// the process and the state of its weights, not its load.
func digestOf(s engine.Status, answered bool) uint64 {
	if !answered {
		return silent
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(s.Incarnation + "\x00" + string(s.Role))
	for _, l := range s.Models {
		_, _ = d.WriteString("\x00" + l.Ref.Model + "\x00" + l.Ref.Adapter + "\x00" + l.Ref.Version + "\x00" + string(l.State))
	}
	return d.Sum64()
}

// OnReportChange registers f to be called when a poll of this daemon found a changed
// report: another process, other weights, or silence. f must not block. Call
// OnReport before Run.
func (m *Manager) OnReportChange(f func(id string, digest uint64)) {
	m.onReport = append(m.onReport, f)
}

// HandleReportChange takes the news that another daemon found a changed report, and
// asks for the report itself soon. At 1,900 backend servers the steady round
// takes minutes; some daemon or other polls each server every few seconds.
func (m *Manager) HandleReportChange(id string, digest uint64) {
	soon := time.Now().Add(m.jittered(reportSpread) / 2)
	m.mu.Lock()
	e, ok := m.entries[id]
	ok = ok && e.digest != digest && soon.Before(e.due)
	if ok {
		e.due = soon
	}
	m.mu.Unlock()
	if ok {
		m.poke()
	}
}
