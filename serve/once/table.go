package once

import (
	"sync"
	"time"

	"mallowwind.dev/decision/slot"
)

// table holds the keys of one slot at its owner or witness. Its rules:
//
//   - The owner records a key before it asks the witness, and dispatches only
//     after the witness recorded it too. So either of the pair knows every key
//     that was ever dispatched.
//   - A sealed table takes no key of that term or an older one. Sealing either
//     of the pair therefore ends the term: an owner that was paused or cut off
//     can dispatch only keys that the next owner received as bound.
//   - A key that is bound is never dispatched by another daemon. It may be
//     bound anew only after a refusal, and only for a copy that reached an
//     entry VM after that refusal was known there.
type table struct {
	mu     sync.Mutex
	term   uint64 // newest term whose keys are all here; 0: none
	sealed uint64 // keys of terms up to this one are refused
	used   bool   // a key was bound at term
	// counter numbers attempts and refusals in the order in which they happen.
	counter   uint64
	records   map[slot.Key]*record
	undecided time.Time // until then unknown keys may have run
	answers   int       // bytes of kept answers
}

const (
	// maxKeysPerSlot holds two hours of 8,200 calls a second, all of them not
	// repeatable, over 1,024 slots.
	maxKeysPerSlot = 1 << 16
	// maxAnswerKept and maxAnswersPerSlot bound kept answers, in bytes. A
	// daemon holds five slots in a fleet of full size, up to 350 among six daemons.
	maxAnswerKept     = 64 << 10
	maxAnswersPerSlot = 256 << 10
)

func (t *table) next() uint64 {
	t.counter++
	return t.counter
}

// claimed says what became of a claim.
type claimed uint8

const (
	claimNew       claimed = iota // the caller works on the call now
	claimKnown                    // the key is known: wait, or give its outcome
	claimElsewhere                // this daemon does not serve the slot
	claimStale                    // refused before, and this copy may be older than the refusal
	claimReused                   // the key was used with another body
	claimUndecided                // the slot's history is lost
	claimFull                     // no room for another key
)

// claim looks a key up for one copy of a call and binds it if it is new, in
// one step, so that of many copies one is dispatched. The record is that of a
// new claim.
func (t *table) claim(now time.Time, c *call, self slot.Member, term uint64, ttl time.Duration) (record, claimed) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.serves(term) {
		return record{}, claimElsewhere
	}
	r := t.records[c.key]
	if r != nil && !r.expires.After(now) && r.call == nil {
		r = nil
	}
	switch {
	case r != nil && r.digest != c.req.digest:
		return record{}, claimReused
	case r != nil && r.state != refused:
		return record{}, claimKnown
	case r != nil && c.req.seen < r.refusedAt:
		return record{}, claimStale
	case now.Before(t.undecided):
		return record{}, claimUndecided
	case r == nil && len(t.records) >= maxKeysPerSlot:
		return record{}, claimFull
	}
	c.attempt = t.next()
	r = &record{
		key: c.key, digest: c.req.digest, attempt: c.attempt,
		dispatcher: self, expires: now.Add(ttl), call: c,
	}
	t.records[c.key], t.used = r, true
	return *r, claimNew
}

// look returns a copy of a record.
func (t *table) look(key slot.Key) (record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[key]
	if r == nil {
		return record{}, false
	}
	return *r, true
}

// forget removes a key whose attempt was given up before it was dispatched.
func (t *table) forget(key slot.Key, attempt uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[key]; r != nil && r.attempt == attempt && r.state == bound {
		delete(t.records, key)
	}
}

// bind is the witness's consent to dispatch r at term.
func (t *table) bind(term uint64, r *record) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.serves(term) {
		return false
	}
	have := t.records[r.key]
	if have != nil && have.attempt == r.attempt {
		return have.state == bound
	}
	if have != nil && (have.attempt > r.attempt || have.state > refused) {
		return false
	}
	t.records[r.key], t.used = r, true
	return true
}

// finished says what finish did.
type finished uint8

const (
	finishApplied   finished = iota
	finishIgnored            // nothing known of the attempt, or known already
	finishElsewhere          // a refusal needs a number of the slot's owner
	finishClash              // the key has another end: an invariant does not hold
)

// finish records how an attempt ended. ownTerm is the term at which this daemon
// owns the slot, senderTerm that of the daemon that says so; 0 if it does not
// own it. At the owner a refusal gets a number of this table, with which copies
// are compared. A witness takes that number from the owner of its own term
// only: another daemon's number could be lower than one that an entry VM
// already knows, and a delayed copy would pass as sent after the refusal.
func (t *table) finish(end record, ownTerm, senderTerm uint64) finished {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[end.key]
	if r == nil || end.state == bound {
		return finishIgnored
	}
	if r.attempt != end.attempt {
		return sentTwice(r.state.sent() && end.state.sent())
	}
	if r.state != bound {
		return sentTwice(r.state != end.state)
	}
	if end.state == abandoned {
		delete(t.records, end.key)
		return finishIgnored
	}
	own := t.serves(ownTerm)
	if end.state == refused && !own && (senderTerm == 0 || senderTerm != t.term) {
		return finishElsewhere
	}
	r.state, r.out, r.refusedAt, r.call = end.state, end.out, end.refusedAt, nil
	if own && end.state == refused {
		r.refusedAt = t.next()
	}
	t.keep(r)
	return finishApplied
}

func sentTwice(clash bool) finished {
	if clash {
		return finishClash
	}
	return finishIgnored
}

// keep drops an answer for which there is no room. The caller holds mu.
func (t *table) keep(r *record) {
	if r.out.answer == nil {
		return
	}
	n := len(r.out.answer.Body)
	if n > maxAnswerKept || t.answers+n > maxAnswersPerSlot {
		r.out = outcome{err: errAnswerGone()}
		return
	}
	t.answers += n
}

// undecidedFor is how long unknown keys stay undecided.
func (t *table) undecidedFor(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.undecided.Sub(now), 0)
}

// release ends this daemon's work on an attempt whose end it could not record.
func (t *table) release(c *call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[c.key]; r != nil && r.call == c {
		r.call = nil
	}
}

// sweep removes expired keys and answers kept long enough, and counts the rest.
// A bound key stays while this daemon still works on it.
func (t *table) sweep(now time.Time, answersBefore time.Duration) (keys int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, r := range t.records {
		if !r.expires.After(now) && r.call == nil {
			t.answers -= r.bytes()
			delete(t.records, k)
			continue
		}
		if r.out.answer != nil && r.expires.Sub(now) < answersBefore {
			t.answers -= r.bytes()
			r.out = outcome{err: errAnswerGone()}
		}
	}
	return len(t.records)
}

// size is the number of known keys.
func (t *table) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}

// all returns every record and the end of the undecided time.
func (t *table) all() ([]record, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]record, 0, len(t.records))
	for _, r := range t.records {
		out = append(out, *r)
	}
	return out, t.undecided
}
