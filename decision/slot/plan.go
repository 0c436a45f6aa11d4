package slot

// Reason says why a slot's assignment changes.
type Reason uint8

// The reasons, most urgent first.
const (
	// NeverAssigned: the slot has no assignment yet.
	NeverAssigned Reason = iota
	// OwnerLost: the owner is gone or leaving; the witness takes over.
	OwnerLost
	// WitnessLost: the owner needs a new witness.
	WitnessLost
	// Sealed: a change was started and not completed; the owner starts the next term.
	Sealed
	// BothLost: neither the owner nor the witness is healthy.
	BothLost
	// Rebalance: owner and witness are healthy but are not the highest-ranked members.
	Rebalance
	reasonCount
)

// String returns the name used in logs and metrics.
func (r Reason) String() string {
	return [...]string{"fresh", "owner_lost", "witness_lost", "sealed", "both_lost", "rebalance"}[r]
}

// MemberStatus is a member and whether it is leaving.
type MemberStatus struct {
	Member
	Leaving bool
}

// Snapshot is the input of Plan: what this daemon knows about the members and the slots.
type Snapshot struct {
	Self    Member
	Leaving bool // this daemon is leaving and takes no slots
	Members []MemberStatus
	Slots   []Assignment // indexed by slot
	// IsSealed reports whether a slot owned by Self refuses new keys.
	IsSealed func(slot int) bool
	// Rebalance also asks for the moves that are not urgent.
	Rebalance bool
	// IsStable reports whether a slot's assignment has not changed recently.
	IsStable func(slot int) bool
	// AvoidWitnesses holds the ids of members that recently failed to answer as witnesses.
	AvoidWitnesses map[string]bool
}

// Move is one change that this daemon should make: to become or remain the owner of a slot at
// the next term, with the given witness.
type Move struct {
	From    Assignment
	Witness Member
	Reason  Reason
}

// Plan returns the moves for s.Self, urgent ones first.
//
// When the daemons' views agree, exactly one healthy daemon is responsible for each repair:
// the healthy one of the old owner and witness, which already holds the slot's keys, or else
// the highest-ranked member. When views differ, two daemons may try; the store's
// compare-and-swap lets one of them win. Slots whose owner and witness are both lost may have
// to wait for proof that the old ones are dead, so they come after the slots that need only
// this daemon. Rebalancing comes last, so that a wave of restarts never delays a repair.
func Plan(s Snapshot) []Move {
	if s.Leaving {
		return nil
	}
	p := newPlanner(s)
	var byReason [reasonCount][]Move
	for i := range s.Slots {
		m, ok := p.planSlot(s.Slots[i])
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
	ranker  *ranker
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
	p.ranker = newRanker(members)
	return p
}

func (p *planner) isHealthy(m Member) bool {
	return !m.IsNone() && p.healthy[m.ID].IsSameProcess(m)
}

// planSlot decides on the move for one slot.
func (p *planner) planSlot(a Assignment) (Move, bool) {
	owner, witness := p.isHealthy(a.Owner), p.isHealthy(a.Witness)
	switch {
	case a.Term == 0:
		return p.moveIfResponsible(a, NeverAssigned, p.ranker.owner(a.Slot))
	case owner && witness:
		return p.planHealthyPair(a)
	case owner:
		return p.replaceWitness(a)
	case witness:
		return p.moveIfResponsible(a, OwnerLost, a.Witness)
	default:
		return p.moveIfResponsible(a, BothLost, p.ranker.owner(a.Slot))
	}
}

// moveIfResponsible returns the move if this daemon is the responsible member.
func (p *planner) moveIfResponsible(a Assignment, why Reason, responsible Member) (Move, bool) {
	if !responsible.IsSameProcess(p.Self) {
		return Move{}, false
	}
	newWitness := p.ranker.witness(a.Slot, p.Self, p.AvoidWitnesses)
	return Move{From: a, Witness: newWitness, Reason: why}, true
}

// replaceWitness plans a slot whose owner is healthy and whose witness is gone, leaving or was
// never assigned.
func (p *planner) replaceWitness(a Assignment) (Move, bool) {
	if !a.Owner.IsSameProcess(p.Self) {
		return Move{}, false
	}
	newWitness := p.ranker.witness(a.Slot, p.Self, p.AvoidWitnesses)
	if newWitness.IsNone() && a.Witness.IsNone() && !p.IsSealed(a.Slot) {
		return Move{}, false
	}
	return Move{From: a, Witness: newWitness, Reason: WitnessLost}, true
}

// planHealthyPair plans a slot whose owner and witness are healthy.
func (p *planner) planHealthyPair(a Assignment) (Move, bool) {
	isOwner := a.Owner.IsSameProcess(p.Self)
	if isOwner && p.IsSealed(a.Slot) {
		return p.moveIfResponsible(a, Sealed, p.Self)
	}
	if isOwner && p.AvoidWitnesses[a.Witness.ID] {
		return p.moveIfResponsible(a, WitnessLost, p.Self)
	}
	if !p.Rebalance || !p.IsStable(a.Slot) {
		return Move{}, false
	}
	target := p.ranker.owner(a.Slot)
	if !isOwner {
		return p.moveIfResponsible(a, Rebalance, target)
	}
	if !target.IsSameProcess(p.Self) {
		return Move{}, false
	}
	newWitness := p.ranker.witness(a.Slot, p.Self, p.AvoidWitnesses)
	return Move{From: a, Witness: newWitness, Reason: Rebalance}, !newWitness.IsSameProcess(a.Witness)
}
