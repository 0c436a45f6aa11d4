package once

import (
	"time"

	"mallowwind.dev/decision/slot"
)

// termShift leaves the lower half of a sequence number to one term, so that numbers of a newer
// term are always higher.
const termShift = 32

// isServingLocked reports whether keys may be bound here at term. The caller holds mu.
func (t *table) isServingLocked(term uint64) bool {
	return term > 0 && t.term == term && t.sealed < term
}

// lastSeqAt returns the newest sequence number if keys may be bound here at term, which is the
// term at which this daemon owns the slot, else 0. Numbers of a term that the store has not
// accepted must not reach entry VMs.
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

// seal makes the table refuse keys of terms up to term from now on. It returns the records if
// the table is complete for term.
func (t *table) seal(term uint64) (complete bool, records []record, undecidedUntil time.Time) {
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

// install replaces the table by that of the next term, or by another one of the same term as
// long as no key was bound at that term here. Every table offered for a term is complete,
// because its sender sealed one of the pair before, but it must not remove keys bound at the
// term since. Accepting a second table matters during an outage of the store: a daemon that
// retries must not find its former witnesses unusable.
func (t *table) install(term uint64, records []record, undecidedUntil time.Time) bool {
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
	t.setTerm(term, undecidedUntil)
	return true
}

// advanceTerm moves a complete table to the next term. It fails unless the previous term was
// sealed here.
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

// setTerm is the common last step of install and advanceTerm. The caller holds mu.
func (t *table) setTerm(term uint64, undecidedUntil time.Time) {
	if term > t.term {
		t.boundInTerm = false
	}
	t.term, t.undecidedUntil = max(t.term, term), undecidedUntil
	t.sealed = max(t.sealed, term-1)
	t.lastSeq = max(t.lastSeq, term<<termShift)
}

// dropUpTo removes the whole table after the store assigned the slot to others at term. Tables
// of a newer term stay, since this daemon may not have read their assignment yet.
func (t *table) dropUpTo(term uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.term <= term {
		t.records, t.term, t.answerBytes = nil, 0, 0
		t.sealed = max(t.sealed, term)
	}
}
