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

// server is what this daemon knows of one backend server. It outlives
// snapshots, so that counts and learned limits do.
type server struct {
	backend     Backend
	pool        string
	slots       int // operators' bound on the whole server, 0 if none
	incarnation string
	load        route.Load
	limit       limit.Concurrency
	peer        health.Server
	groups      []*group
	present     bool // in the snapshot and not leaving
	inFlightAt  history
}

// historyLen covers load reports that are some seconds old at one entry a tick.
const historyLen = 64

// history remembers this daemon's own requests in flight, so that an old load
// report is compared with the count of its own time.
type history struct {
	at    [historyLen]time.Time
	count [historyLen]int32
	next  int
}

func (h *history) add(now time.Time, n int32) {
	h.at[h.next], h.count[h.next] = now, n
	h.next = (h.next + 1) % historyLen
}

// before returns the newest count not younger than t.
func (h *history) before(t time.Time) int {
	for k := 1; k <= historyLen; k++ {
		i := (h.next - k + historyLen) % historyLen
		if h.at[i].IsZero() {
			break
		}
		if !h.at[i].After(t) {
			return int(h.count[i])
		}
	}
	return 0
}

func newServer(b *backends.Backend, slots, sharers int, vm string) *server {
	mixed := route.Mix(xxhash.Sum64String(vm) ^ route.Mix(xxhash.Sum64String(b.VM.ID)))
	phase := float64(mixed>>11) / (1 << 53)
	return &server{limit: limit.NewConcurrency(slots, sharers, phase), pool: b.VM.Pool, slots: slots}
}

// observe takes in one row of the snapshot.
func (s *server) observe(now time.Time, b *backends.Backend, sharers, readers int) (health.Transition, bool) {
	s.backend = Backend{ID: b.VM.ID, Address: b.VM.Address, Zone: b.VM.Zone, Engine: b.Engine}
	taken := time.Time{}
	if !b.StatusAt.IsZero() {
		taken = b.StatusAt.Add(-b.Status.Age)
	}
	own := s.inFlightAt.before(taken)
	s.limit.ApplyReport(limit.Report{
		TakenAt: taken, Running: b.Status.Running, Waiting: b.Status.Waiting,
		Slots: b.Status.Slots, OwnInFlight: own, SharingDaemons: sharers, ReadingDaemons: readers,
	}, s.slots)
	s.load.OtherInFlight = int32(max(0, b.Status.Running+b.Status.Waiting-own))
	was := s.incarnation
	s.incarnation = b.Status.Incarnation
	if was != "" && was != s.incarnation {
		return s.peer.RecordRestart(now), true
	}
	return health.Transition{}, false
}

// refresh recomputes what the picker reads.
func (s *server) refresh(now time.Time) {
	s.load.Limit, s.load.Slots = 0, int32(s.slots)
	if s.present {
		s.load.Limit = int32(s.peer.Limit(now, s.limit.Limit()))
	}
	s.load.Weight = float32(s.peer.Weight(now))
}

// usable reports whether a row may get new work of this kind: one that is
// leaving must not, and one that did not answer its last poll cannot.
func usable(b *backends.Backend, ref engine.ModelRef) bool {
	if b.VM.State == vmlist.Leaving || !b.Reachable {
		return false
	}
	return ref == (engine.ModelRef{}) || b.Serves(ref)
}

// loadingFor returns how long until b has ref, and whether it loads it at all.
func loadingFor(b *backends.Backend, ref engine.ModelRef) (time.Duration, bool) {
	for _, l := range b.Status.Models {
		if l.Ref == ref && l.State == engine.Loading && b.VM.State != vmlist.Leaving {
			return l.Remaining, true
		}
	}
	return 0, false
}
