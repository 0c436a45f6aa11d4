package once

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/decision/slot"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/external/plain"
)

var (
	owner1 = slot.Member{ID: "vm1", Incarnation: 1, Zone: "z1", PeerAddr: "vm1"}
	hour   = time.Hour
)

// served returns a table that may bind keys at term.
func served(t testing.TB, term uint64) *table {
	tab := &table{}
	must.True(t, tab.install(term, nil, time.Time{}))
	return tab
}

func boundRecord(key byte, attempt uint64) *record {
	return &record{key: slot.Key{key}, attempt: attempt, dispatcher: owner1, expires: time.Now().Add(hour)}
}

func newCall(key byte, seen uint64) *call {
	return &call{key: slot.Key{key}, req: execution{seen: seen}, done: make(chan struct{})}
}

func TestSealedWitnessGivesNoConsent(t *testing.T) {
	// An owner is cut off. A third daemon seals the witness, copies its keys and
	// owns the slot next. The old owner asks the witness for one more key: with
	// its consent the key could run at the old and at the new owner.
	w := served(t, 4)
	must.True(t, w.bind(4, boundRecord(1, 41)))
	complete, records, _ := w.seal(4)
	must.True(t, complete)
	must.Len(t, 1, records)
	must.False(t, w.bind(4, boundRecord(2, 42)))
	must.False(t, w.bind(4, boundRecord(1, 43)))
}

func TestSealedOwnerTakesNoNewKey(t *testing.T) {
	o := served(t, 4)
	_, got := o.claim(time.Now(), newCall(1, 0), owner1, 4, hour)
	must.EqOp(t, claimNew, got)
	o.seal(4)
	_, got = o.claim(time.Now(), newCall(2, 0), owner1, 4, hour)
	must.EqOp(t, claimElsewhere, got)
}

func TestTableOfAnOlderTermIsNoSource(t *testing.T) {
	// A daemon that missed a change holds a part of the keys only. Copying from
	// it would lose those bound since, and they could run again.
	complete, _, _ := served(t, 4).seal(5)
	must.False(t, complete)
}

func TestInstallNeverReplacesATableThatMayHaveBoundKeys(t *testing.T) {
	// Two daemons race for the next term and both choose this witness. The store
	// lets one win; the delayed transfer of the other must not wipe its keys.
	w := served(t, 4)
	must.True(t, w.install(5, nil, time.Time{}))
	must.True(t, w.bind(5, boundRecord(1, 51)))
	must.False(t, w.install(5, nil, time.Time{}))
	must.False(t, w.install(4, nil, time.Time{}))
	_, known := w.look(slot.Key{1})
	must.True(t, known)
}

func TestOwnerThatTriesAgainFindsItsWitness(t *testing.T) {
	// The store is down when an owner gives a witness the next term, and the
	// owner tries again. If each try shut one witness, none would be left.
	w := served(t, 4)
	must.True(t, w.install(5, nil, time.Time{}))
	must.True(t, w.install(5, []record{*boundRecord(1, 41)}, time.Time{}))
	must.True(t, w.bind(5, boundRecord(2, 51)))
	o := served(t, 4)
	o.seal(4)
	must.True(t, o.advance(5))
	must.True(t, o.advance(5))
	_, got := o.claim(time.Now(), newCall(1, 0), owner1, 5, hour)
	must.EqOp(t, claimNew, got)
	must.True(t, o.advance(5))
	must.False(t, o.install(5, nil, time.Time{}))
}

func TestRefusalClosesTheKeyForOlderCopies(t *testing.T) {
	// A key is refused. A copy that reached an entry VM before that is known
	// there must not run, a later one may, and under a new attempt.
	o := served(t, 4)
	c := newCall(1, 0)
	_, _ = o.claim(time.Now(), c, owner1, 4, hour)
	end := record{key: c.key, attempt: c.attempt, state: refused, out: outcome{err: errNotSent(nil)}}
	must.EqOp(t, finishApplied, o.finish(end, 4, 0))
	_, got := o.claim(time.Now(), newCall(1, c.attempt), owner1, 4, hour)
	must.EqOp(t, claimStale, got)
	again := newCall(1, o.seen(4))
	_, got = o.claim(time.Now(), again, owner1, 4, hour)
	must.EqOp(t, claimNew, got)
	must.Greater(t, c.attempt, again.attempt)
}

func TestWitnessTakesRefusalNumbersOfItsOwnerOnly(t *testing.T) {
	// An owner that lost the slot reports a refusal with a number of its old
	// term. Entry VMs know higher ones already, so a copy held up since before
	// the refusal would pass as newer.
	w := served(t, 5)
	must.True(t, w.bind(5, boundRecord(1, 51)))
	end := record{key: slot.Key{1}, attempt: 51, state: refused, refusedAt: 44}
	must.EqOp(t, finishElsewhere, w.finish(end, 0, 4))
	must.EqOp(t, finishApplied, w.finish(end, 0, 5))
}

func TestTwoEndsOfOneKeyAreNoticed(t *testing.T) {
	o := served(t, 4)
	must.True(t, o.bind(4, boundRecord(1, 41)))
	must.EqOp(t, finishApplied, o.finish(record{key: slot.Key{1}, attempt: 41, state: ran}, 0, 4))
	must.EqOp(t, finishIgnored, o.finish(record{key: slot.Key{1}, attempt: 41, state: ran}, 0, 4))
	must.EqOp(t, finishClash, o.finish(record{key: slot.Key{1}, attempt: 41, state: refused, refusedAt: 1}, 0, 4))
	must.EqOp(t, finishClash, o.finish(record{key: slot.Key{1}, attempt: 42, state: ran}, 0, 4))
}

func TestAnswersAreBoundedAndForgottenBeforeKeys(t *testing.T) {
	o := served(t, 4)
	now := time.Now()
	for i := range byte(20) {
		must.True(t, o.bind(4, boundRecord(i, 41+uint64(i))))
		answer := plain.Response{Body: make([]byte, 30<<10)}
		o.finish(record{key: slot.Key{i}, attempt: 41 + uint64(i), state: ran, out: outcome{answer: &answer}}, 0, 4)
	}
	must.LessEq(t, maxAnswersPerSlot, o.answers)
	must.EqOp(t, 20, o.sweep(now.Add(hour/2), hour/2))
	must.EqOp(t, 20, o.sweep(now.Add(hour/2+time.Second), hour/2))
	must.EqOp(t, 0, o.answers)
	r, _ := o.look(slot.Key{0})
	must.EqOp(t, verdict.Ran, r.out.err.Verdict)
	must.EqOp(t, 0, o.sweep(now.Add(hour+time.Second), hour/2))
}

func TestCheckKey(t *testing.T) {
	for key, code := range map[string]verdict.Code{
		"":                       verdict.CodeKeyRequired,
		"with space":             verdict.CodeKeyInvalid,
		"tab\t":                  verdict.CodeKeyInvalid,
		"naïve":                  verdict.CodeKeyInvalid,
		strings.Repeat("k", 256): verdict.CodeKeyInvalid,
	} {
		err := verdict.FromError(CheckKey(key))
		must.EqOp(t, code, err.Code)
		must.EqOp(t, verdict.NotRun, err.Verdict)
	}
	must.NoError(t, CheckKey(strings.Repeat("k", 255)))
	must.NoError(t, CheckKey("!~"))
}

func FuzzCheckKey(f *testing.F) {
	f.Add("order-1")
	f.Add("\x00")
	f.Fuzz(func(t *testing.T, key string) {
		err := CheckKey(key)
		visible := len(key) >= 1 && len(key) <= MaxKey
		for _, b := range []byte(key) {
			visible = visible && b >= 0x21 && b <= 0x7e
		}
		must.EqOp(t, visible, err == nil)
		if err != nil {
			must.EqOp(t, verdict.NotRun, verdict.FromError(err).Verdict)
		}
		must.Between(t, 0, slot.ForKey(slot.KeyOf("a", "s", key)), slot.Count-1)
	})
}

func TestSlotsThatCannotMoveHoldUpNoOthers(t *testing.T) {
	// Two daemons die together. Hundreds of slots wait for proof of that and
	// can't move; a sealed slot that needs only its owner must not wait behind.
	p, now := &postponed{}, time.Now()
	var moves []slot.Move
	for i := range 3 * batch {
		moves = append(moves, slot.Move{From: slot.Assignment{Slot: i}, Reason: slot.BothLost})
	}
	first := p.due(slices.Clone(moves), batch, now)
	must.Len(t, batch, first)
	for _, m := range first {
		p.add(m, now)
	}
	must.EqOp(t, batch, p.due(slices.Clone(moves), batch, now)[0].From.Slot)
	now = now.Add(firstWait)
	must.EqOp(t, 0, p.due(slices.Clone(moves), batch, now)[0].From.Slot)
}

func TestOneSilentMemberForAnotherIsAChange(t *testing.T) {
	// A witness falls silent in the moment in which another one is trusted again.
	// Their number stays the same, and yet slots must move.
	s, now := &silent{}, time.Now()
	s.add("vm4", now)
	_, before := s.ids(now)
	later := now.Add(silentFor)
	s.add("vm9", later)
	ids, after := s.ids(later)
	must.Eq(t, map[string]bool{"vm9": true}, ids)
	must.NotEqOp(t, before, after)
	_, again := s.ids(later)
	must.EqOp(t, after, again)
}
