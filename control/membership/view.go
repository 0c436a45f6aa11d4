// Package membership keeps each daemon's view of the entry VMs: the platform's
// lagging list corrected by what the daemons see of each other.
package membership

// State is what a daemon believes of another.
type State uint8

// The states of a member, in the order in which they may follow each other
// within one incarnation.
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

// Member is one entry VM as seen here.
type Member struct {
	ID          string // VM id
	Incarnation uint64 // start time of the daemon process, unix nanoseconds
	Zone        string
	Region      string
	CallerAddr  string // address callers connect to
	PeerAddr    string // address other daemons connect to
	State       State
}

// View is an immutable picture of all members but those gone, ordered by ID.
// It includes this daemon itself.
type View struct {
	Self    Member
	Members []Member
}

// Find returns the member with this id.
func (v *View) Find(id string) (Member, bool) {
	for _, m := range v.Members {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// Source gives the current view; the pointer is swapped whole and never nil.
type Source interface {
	Current() *View
}

// Static is a Source that never changes, for tests.
type Static struct{ View *View }

// Current returns the fixed view.
func (s Static) Current() *View { return s.View }
