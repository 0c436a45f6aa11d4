package flow

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"mallowwind.dev/control/backends"
	"mallowwind.dev/decision/health"
	"mallowwind.dev/decision/limit"
	"mallowwind.dev/decision/route"
	"mallowwind.dev/external/engine"
	"mallowwind.dev/external/vmlist"
)

// server holds this daemon's state of one backend server. It is kept across
// snapshots, and with it the in-flight count and the learned limit.
type server struct {
	backend         Backend
	pool            string
	slots           int // bound on the requests of all daemons at the server, from the site or defaultSlots
	incarnation     string
	load            route.Load
	limit           limit.Concurrency
	peer            health.Server
	groups          []*group
	present         bool // in the current snapshot
	inFlightHistory history
}

// historyEntryCount is enough to match load reports that are a few seconds old,
// with one entry per tick.
const historyEntryCount = 64

// history records this daemon's in-flight count over time, so that a load report
// is compared with the count at the time when it was taken.
type history struct {
	at    [historyEntryCount]time.Time
	count [historyEntryCount]int32
	next  int
}

func (h *history) add(now time.Time, n int32) {
	h.at[h.next], h.count[h.next] = now, n
	h.next = (h.next + 1) % historyEntryCount
}

// countAt returns the latest count recorded at or before t, 0 if there is none.
func (h *history) countAt(t time.Time) int {
	for k := 1; k <= historyEntryCount; k++ {
		i := (h.next - k + historyEntryCount) % historyEntryCount
		if h.at[i].IsZero() {
			break
		}
		if !h.at[i].After(t) {
			return int(h.count[i])
		}
	}
	return 0
}

func newServer(b *backends.Backend, slots, sharingDaemons int, vm string) *server {
	hash := route.Mix(xxhash.Sum64String(vm) ^ route.Mix(xxhash.Sum64String(b.VM.ID)))
	phase := float64(hash>>11) / (1 << 53)
	return &server{limit: limit.NewConcurrency(slots, sharingDaemons, phase), pool: b.VM.Pool, slots: slots}
}

// applyStatus applies the server's entry in a snapshot. It returns a transition
// and true if the server restarted since the previous entry.
func (s *server) applyStatus(now time.Time, b *backends.Backend, sharingDaemons, readingDaemons int) (health.Transition, bool) {
	s.backend = Backend{ID: b.VM.ID, Address: b.VM.Address, Zone: b.VM.Zone, Engine: b.Engine}
	takenAt := time.Time{}
	if !b.StatusAt.IsZero() {
		takenAt = b.StatusAt.Add(-b.Status.Age)
	}
	ownInFlight := s.inFlightHistory.countAt(takenAt)
	s.limit.ApplyReport(limit.Report{
		TakenAt: takenAt, Running: b.Status.Running, Waiting: b.Status.Waiting,
		Slots: b.Status.Slots, OwnInFlight: ownInFlight, SharingDaemons: sharingDaemons, ReadingDaemons: readingDaemons,
	}, s.slots)
	s.load.OtherInFlight = int32(max(0, b.Status.Running+b.Status.Waiting-ownInFlight))
	previous := s.incarnation
	s.incarnation = b.Status.Incarnation
	if previous != "" && previous != s.incarnation {
		return s.peer.RecordRestart(now), true
	}
	return health.Transition{}, false
}

// refreshLoad recomputes the values that the route table reads.
func (s *server) refreshLoad(now time.Time) {
	s.load.Limit, s.load.Slots = 0, int32(s.slots)
	if s.present {
		s.load.Limit = int32(s.peer.Limit(now, s.limit.Limit()))
	}
	s.load.Weight = float32(s.peer.Weight(now))
}

// isUsable reports whether a backend server may get new work for ref. A server
// that is leaving must not, and one that did not answer its last poll cannot.
func isUsable(b *backends.Backend, ref engine.ModelRef) bool {
	if b.VM.State == vmlist.Leaving || !b.Reachable {
		return false
	}
	return ref == (engine.ModelRef{}) || b.Serves(ref)
}

// loadRemaining returns the remaining time until b has loaded ref, and whether b
// is loading it.
func loadRemaining(b *backends.Backend, ref engine.ModelRef) (time.Duration, bool) {
	for _, l := range b.Status.Models {
		if l.Ref == ref && l.State == engine.Loading && b.VM.State != vmlist.Leaving {
			return l.Remaining, true
		}
	}
	return 0, false
}
