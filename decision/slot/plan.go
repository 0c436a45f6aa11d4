package slot

// Reason says why a slot changes hands.
type Reason uint8

// The reasons of moves, most urgent first.
const (
	// NeverAssigned slots were never assigned.
	NeverAssigned Reason = iota
	// OwnerLost: the owner is gone or leaving; the witness takes over.
	OwnerLost
	// WitnessLost: the owner needs a new witness.
	WitnessLost
	// Sealed: a change began and did not end; the owner starts the next term.
	Sealed
	// BothLost: neither of the pair is healthy.
	BothLost
	// Rebalance: the pair is healthy but not the one the members call for.
	Rebalance
	reasons
)

// String returns the name used in logs and metrics.
func (r Reason) String() string {
	return [...]string{"fresh", "owner_lost", "witness_lost", "sealed", "both_lost", "rebalance"}[r]
}

// MemberStatus is a member of the view with its health.
type MemberStatus struct {
	Member
	Leaving bool
}

// Snapshot is what a daemon knows when it plans.
type Snapshot struct {
	Self    Member
	Leaving bool // this daemon leaves: it takes nothing
	Members []MemberStatus
	Slots   []Assignment // indexed by slot
	// IsSealed marks slots owned by Self that refuse new keys.
	IsSealed func(slot int) bool
	// Rebalance asks for moves that can wait, too.
	Rebalance bool
	// IsStable marks slots that did not change hands lately.
	IsStable func(slot int) bool
	// AvoidWitnesses holds ids of members that did not answer as witnesses lately.
	AvoidWitnesses map[string]bool
}

// Move is one change that this daemon should make: to become (or stay) the
// owner of a slot at the next term, with a witness.
type Move struct {
	From    Assignment
	Witness Member
	Reason  Reason
}

// Plan returns the moves for s.Self, urgent ones first.
//
// Exactly one healthy daemon is responsible for each repair when views agree:
// the healthy one of the old pair, which holds the slot's keys already, else
// the highest in rendezvous order. Where views differ two may try; the store's
// compare-and-swap lets one win. Rebalancing comes last, so that a restart wave
// never delays a repair; slots that may have to wait for proof of a death come
// after those that need only this daemon.
func Plan(s Snapshot) []Move {
	if s.Leaving {
		return nil
	}
	p := newPlanner(s)
	var byReason [reasons][]Move
	for i := range s.Slots {
		m, ok := p.move(s.Slots[i])
		if ok {
			byReason[m.Reason] = append(byReason[m.Reason], m)
		}
	}
	var out []Move
	for _, moves := range byReason {
		out = append(out, moves...)
	}
	return out
}

type planner struct {
	Snapshot
	healthy map[string]Member
	rank    *ranker
}

func newPlanner(s Snapshot) *planner {
	p := &planner{Snapshot: s, healthy: make(map[string]Member, len(s.Members))}
	members := make([]Member, 0, len(s.Members))
	for _, m := range s.Members {
		if !m.Leaving {
			members = append(members, m.Member)
			p.healthy[m.ID] = m.Member
		}
	}
	p.rank = newRanker(members)
	return p
}

func (p *planner) isHealthy(m Member) bool {
	return !m.IsNone() && p.healthy[m.ID].IsSameProcess(m)
}

// move decides about one slot.
func (p *planner) move(a Assignment) (Move, bool) {
	owner, witness := p.isHealthy(a.Owner), p.isHealthy(a.Witness)
	switch {
	case a.Term == 0:
		return p.take(a, NeverAssigned, p.rank.owner(a.Slot))
	case owner && witness:
		return p.improve(a)
	case owner:
		return p.replaceWitness(a)
	case witness:
		return p.take(a, OwnerLost, a.Witness)
	default:
		return p.take(a, BothLost, p.rank.owner(a.Slot))
	}
}

// take makes the move if the responsible member is this daemon.
func (p *planner) take(a Assignment, why Reason, responsible Member) (Move, bool) {
	if !responsible.IsSameProcess(p.Self) {
		return Move{}, false
	}
	w := p.rank.witness(a.Slot, p.Self, p.AvoidWitnesses)
	return Move{From: a, Witness: w, Reason: why}, true
}

// replaceWitness covers a witness that is gone, leaving or was never there.
func (p *planner) replaceWitness(a Assignment) (Move, bool) {
	if !a.Owner.IsSameProcess(p.Self) {
		return Move{}, false
	}
	w := p.rank.witness(a.Slot, p.Self, p.AvoidWitnesses)
	if w.IsNone() && a.Witness.IsNone() && !p.IsSealed(a.Slot) {
		return Move{}, false
	}
	return Move{From: a, Witness: w, Reason: WitnessLost}, true
}

// improve covers slots whose pair is healthy.
func (p *planner) improve(a Assignment) (Move, bool) {
	own := a.Owner.IsSameProcess(p.Self)
	if own && p.IsSealed(a.Slot) {
		return p.take(a, Sealed, p.Self)
	}
	if own && p.AvoidWitnesses[a.Witness.ID] {
		return p.take(a, WitnessLost, p.Self)
	}
	if !p.Rebalance || !p.IsStable(a.Slot) {
		return Move{}, false
	}
	target := p.rank.owner(a.Slot)
	if !own {
		return p.take(a, Rebalance, target)
	}
	if !target.IsSameProcess(p.Self) {
		return Move{}, false
	}
	w := p.rank.witness(a.Slot, p.Self, p.AvoidWitnesses)
	return Move{From: a, Witness: w, Reason: Rebalance}, !w.IsSameProcess(a.Witness)
}
