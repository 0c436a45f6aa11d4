package once

import (
	"sync"
	"time"

	"mallowwind.dev/decision/slot"
)

// table holds the keys of one slot at its owner or witness. Its rules:
//
//   - The owner records a key before it asks the witness, and dispatches only after the witness
//     recorded it too. So each of the pair knows every key that was ever dispatched.
//   - A sealed table accepts no key of that term or an older one. Sealing either of the pair
//     therefore ends the term: an owner that was paused or partitioned can dispatch only keys
//     that the next owner received as bound.
//   - A bound key is never dispatched by another daemon. It may be bound again only after a
//     refusal, and only for a copy that reached an entry VM after that refusal was known there.
type table struct {
	mu          sync.Mutex
	term        uint64 // newest term for which all keys are here; 0 if none
	sealed      uint64 // keys of terms up to this one are refused
	boundInTerm bool   // a key was bound at term
	// lastSeq numbers attempts and refusals in the order in which they happen.
	lastSeq        uint64
	records        map[slot.Key]*record
	undecidedUntil time.Time // before this time unknown keys may have run
	answerBytes    int       // size of the bodies of kept answers
}

const (
	// maxKeysPerSlot holds the keys of two hours at 8,200 calls per second, none of them
	// repeatable, over 1,024 slots.
	maxKeysPerSlot = 1 << 16
	// maxAnswerBytes and maxAnswerBytesPerSlot bound the kept answers. A daemon holds five
	// slots in a fleet of full size and up to 350 in a fleet of six daemons.
	maxAnswerBytes        = 64 << 10
	maxAnswerBytesPerSlot = 256 << 10
)

func (t *table) nextSeq() uint64 {
	t.lastSeq++
	return t.lastSeq
}

// claimResult is the result of a claim.
type claimResult uint8

const (
	claimNew       claimResult = iota // the caller works on the call now
	claimKnown                        // the key is known: wait for its outcome or return it
	claimNotServed                    // this daemon does not serve the slot
	claimStale                        // refused before, and this copy may be older than the refusal
	claimKeyReused                    // the key was used with another method, path or body
	claimUndecided                    // the slot's history is lost
	claimFull                         // the table has no capacity for another key
)

// claim looks up the key of one copy of a call and binds it if it is new, atomically, so that
// only one of many copies is dispatched. The returned record is set only for claimNew.
func (t *table) claim(now time.Time, c *inFlightCall, self slot.Member, term uint64, ttl time.Duration) (record, claimResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isServingLocked(term) {
		return record{}, claimNotServed
	}
	r := t.records[c.key]
	if r != nil && !r.expires.After(now) && r.call == nil {
		r = nil
	}
	switch {
	case r != nil && r.digest != c.req.digest:
		return record{}, claimKeyReused
	case r != nil && r.state != stateRefused:
		return record{}, claimKnown
	case r != nil && c.req.knownSeq < r.refusalSeq:
		return record{}, claimStale
	case now.Before(t.undecidedUntil):
		return record{}, claimUndecided
	case r == nil && len(t.records) >= maxKeysPerSlot:
		return record{}, claimFull
	}
	c.attempt = t.nextSeq()
	r = &record{
		key: c.key, digest: c.req.digest, attempt: c.attempt,
		dispatcher: self, expires: now.Add(ttl), call: c,
	}
	t.records[c.key], t.boundInTerm = r, true
	return *r, claimNew
}

// lookup returns a copy of a record.
func (t *table) lookup(key slot.Key) (record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[key]
	if r == nil {
		return record{}, false
	}
	return *r, true
}

// unbind removes a key whose attempt was given up before it was dispatched.
func (t *table) unbind(key slot.Key, attempt uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[key]; r != nil && r.attempt == attempt && r.state == stateBound {
		delete(t.records, key)
	}
}

// bind records r at the witness. It reports whether the witness consents to dispatching r at
// term.
func (t *table) bind(term uint64, r *record) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isServingLocked(term) {
		return false
	}
	have := t.records[r.key]
	if have != nil && have.attempt == r.attempt {
		return have.state == stateBound
	}
	if have != nil && (have.attempt > r.attempt || have.state > stateRefused) {
		return false
	}
	t.records[r.key], t.boundInTerm = r, true
	return true
}

// finishResult is the result of finish.
type finishResult uint8

const (
	finishApplied    finishResult = iota
	finishIgnored                 // the attempt is unknown, was abandoned, or its outcome is known already
	finishNeedsOwner              // only the slot's owner can number this refusal
	finishConflict                // the key has a conflicting outcome: an invariant does not hold
)

// finish records how an attempt ended. ownTerm is the term at which this daemon owns the slot,
// senderTerm the one at which the reporting daemon owns it; each is 0 if the daemon does not
// own the slot. At the owner a refusal gets a sequence number of this table, with which copies
// are compared. A witness accepts that number only from the owner of its own term: another
// daemon's number could be lower than one that an entry VM already knows, and a delayed copy
// would pass as sent after the refusal.
func (t *table) finish(end record, ownTerm, senderTerm uint64) finishResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[end.key]
	if r == nil || end.state == stateBound {
		return finishIgnored
	}
	if r.attempt != end.attempt {
		return conflictIf(r.state.wasSent() && end.state.wasSent())
	}
	if r.state != stateBound {
		return conflictIf(r.state != end.state)
	}
	if end.state == stateAbandoned {
		delete(t.records, end.key)
		return finishIgnored
	}
	own := t.isServingLocked(ownTerm)
	if end.state == stateRefused && !own && (senderTerm == 0 || senderTerm != t.term) {
		return finishNeedsOwner
	}
	r.state, r.out, r.refusalSeq, r.call = end.state, end.out, end.refusalSeq, nil
	if own && end.state == stateRefused {
		r.refusalSeq = t.nextSeq()
	}
	t.keepAnswer(r)
	return finishApplied
}

func conflictIf(clash bool) finishResult {
	if clash {
		return finishConflict
	}
	return finishIgnored
}

// keepAnswer drops the answer of r if there is no capacity for it. The caller holds mu.
func (t *table) keepAnswer(r *record) {
	if r.out.answer == nil {
		return
	}
	n := len(r.out.answer.Body)
	if n > maxAnswerBytes || t.answerBytes+n > maxAnswerBytesPerSlot {
		r.out = outcome{err: errAnswerNotKept()}
		return
	}
	t.answerBytes += n
}

// undecidedFor returns how long unknown keys stay undecided.
func (t *table) undecidedFor(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.undecidedUntil.Sub(now), 0)
}

// releaseCall ends this daemon's work on an attempt whose outcome it could not record.
func (t *table) releaseCall(c *inFlightCall) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[c.key]; r != nil && r.call == c {
		r.call = nil
	}
}

// sweep removes expired keys, and answers whose keys expire in less than minTTL, and returns
// the number of remaining keys. An expired key stays while this daemon still works on its call.
func (t *table) sweep(now time.Time, minTTL time.Duration) (keys int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, r := range t.records {
		if !r.expires.After(now) && r.call == nil {
			t.answerBytes -= r.answerBytes()
			delete(t.records, k)
			continue
		}
		if r.out.answer != nil && r.expires.Sub(now) < minTTL {
			t.answerBytes -= r.answerBytes()
			r.out = outcome{err: errAnswerNotKept()}
		}
	}
	return len(t.records)
}

// keyCount returns the number of known keys.
func (t *table) keyCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}

// snapshot returns all records and the end of the undecided time.
func (t *table) snapshot() ([]record, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]record, 0, len(t.records))
	for _, r := range t.records {
		out = append(out, *r)
	}
	return out, t.undecidedUntil
}
