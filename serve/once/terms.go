package once

import (
	"time"

	"mallowwind.dev/decision/slot"
)

// termShift leaves the lower half of a counter to one term, so that numbers of
// a newer term are always higher.
const termShift = 32

// isServingLocked reports whether keys may be bound here at term. The caller holds mu.
func (t *table) isServingLocked(term uint64) bool {
	return term > 0 && t.term == term && t.sealed < term
}

// lastSeqAt returns the newest number if this daemon owns the slot at term, else 0:
// numbers of a term that the store has not accepted must not reach entry VMs.
func (t *table) lastSeqAt(term uint64) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isServingLocked(term) {
		return 0
	}
	return t.lastSeq
}

// isServing reports whether keys may be bound here at term.
func (t *table) isServing(term uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isServingLocked(term)
}

// seal refuses keys of terms up to term from now on and returns what is known,
// if that is everything.
func (t *table) seal(term uint64) (complete bool, records []record, undecided time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sealed = max(t.sealed, term)
	if t.term < term {
		return false, nil, t.undecidedUntil
	}
	records = make([]record, 0, len(t.records))
	for _, r := range t.records {
		records = append(records, *r)
	}
	return true, records, t.undecidedUntil
}

// install replaces the table by that of the next term, or by another one of the
// same term as long as no key was bound at it here. Every table offered for a
// term is complete, since its maker sealed one of the pair before; what it must
// not do is wipe keys bound at the term since. Accepting a second one matters
// when the store was down: a daemon that tries again must not find its former
// witnesses shut.
func (t *table) install(term uint64, records []record, undecided time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if term < t.term || term <= t.sealed || (term == t.term && t.boundInTerm) {
		return false
	}
	fresh := make(map[slot.Key]*record, len(records))
	answerBytes := 0
	for i := range records {
		r := &records[i]
		if old := t.records[r.key]; old != nil && old.attempt == r.attempt && r.state == stateBound {
			r.call = old.call
		}
		fresh[r.key] = r
		answerBytes += r.answerBytes()
	}
	t.records, t.answerBytes = fresh, answerBytes
	t.setTerm(term, undecided)
	return true
}

// advanceTerm moves a table whose keys are all here to the next term. It is
// refused unless the term before was sealed here.
func (t *table) advanceTerm(term uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.term+1 < term || t.sealed+1 < term || t.sealed >= term {
		return false
	}
	if t.records == nil {
		t.records = make(map[slot.Key]*record)
	}
	t.setTerm(term, t.undecidedUntil)
	return true
}

// setTerm is the common end of install and advance. The caller holds mu.
func (t *table) setTerm(term uint64, undecided time.Time) {
	if term > t.term {
		t.boundInTerm = false
	}
	t.term, t.undecidedUntil = max(t.term, term), undecided
	t.sealed = max(t.sealed, term-1)
	t.lastSeq = max(t.lastSeq, term<<termShift)
}

// dropUpTo forgets the whole table after the store gave the slot to others at
// term. Tables of a newer term stay: their change may not have been read yet.
func (t *table) dropUpTo(term uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.term <= term {
		t.records, t.term, t.answerBytes = nil, 0, 0
		t.sealed = max(t.sealed, term)
	}
}
