// Package membership maintains each daemon's view of the entry VMs by gossip. The platform's VM list
// lags behind; the daemons' probes of each other correct it.
package membership

// State is a member's state as this daemon sees it.
type State uint8

// The states of a member, in the order in which they follow each other within one incarnation unless
// the member refutes one.
const (
	Alive State = iota
	Suspect
	Leaving
	Gone
)

// String returns the lower-case name.
func (s State) String() string {
	return [...]string{"alive", "suspect", "leaving", "gone"}[s]
}

// Member is an entry VM as this daemon sees it.
type Member struct {
	ID          string // VM id
	Incarnation uint64 // start time of the daemon process, unix nanoseconds
	Zone        string
	Region      string
	CallerAddr  string // address callers connect to
	PeerAddr    string // address other daemons connect to
	State       State
}

// View is an immutable snapshot of all members except those that are gone, ordered by ID. It includes
// this daemon itself.
type View struct {
	Self    Member
	Members []Member
}

// Find returns the member with this id, and whether there is one.
func (v *View) Find(id string) (Member, bool) {
	for _, m := range v.Members {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// Source provides the current view, which is never nil.
type Source interface {
	Current() *View
}

// Static is a Source that never changes, for tests.
type Static struct{ View *View }

// Current returns the static view.
func (s Static) Current() *View { return s.View }
