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

// newServingTable returns a table that may bind keys at term.
func newServingTable(t testing.TB, term uint64) *table {
	tab := &table{}
	must.True(t, tab.install(term, nil, time.Time{}))
	return tab
}

func boundRecord(key byte, attempt uint64) *record {
	return &record{key: slot.Key{key}, attempt: attempt, dispatcher: owner1, expires: time.Now().Add(hour)}
}

func newCall(key byte, knownSeq uint64) *inFlightCall {
	return &inFlightCall{key: slot.Key{key}, req: executeRequest{knownSeq: knownSeq}, done: make(chan struct{})}
}

func TestSealedWitnessRejectsBind(t *testing.T) {
	// An owner is partitioned. A third daemon seals the witness, copies its keys and owns the
	// slot next. The old owner asks the witness for one more key: with the witness's consent
	// the key could run at both the old and the new owner.
	w := newServingTable(t, 4)
	must.True(t, w.bind(4, boundRecord(1, 41)))
	complete, records, _ := w.seal(4)
	must.True(t, complete)
	must.Len(t, 1, records)
	must.False(t, w.bind(4, boundRecord(2, 42)))
	must.False(t, w.bind(4, boundRecord(1, 43)))
}

func TestSealedOwnerTakesNoNewKey(t *testing.T) {
	o := newServingTable(t, 4)
	_, got := o.claim(time.Now(), newCall(1, 0), owner1, 4, hour)
	must.EqOp(t, claimNew, got)
	o.seal(4)
	_, got = o.claim(time.Now(), newCall(2, 0), owner1, 4, hour)
	must.EqOp(t, claimNotServed, got)
}

func TestTableOfOlderTermIsIncomplete(t *testing.T) {
	// A daemon that missed a change holds only some of the keys. Copying from it would lose
	// those bound since, and they could run again.
	complete, _, _ := newServingTable(t, 4).seal(5)
	must.False(t, complete)
}

func TestInstallNeverReplacesATableThatMayHaveBoundKeys(t *testing.T) {
	// Two daemons race for the next term and choose the same witness. The store accepts one of
	// them; the delayed transfer of the other must not remove its keys.
	w := newServingTable(t, 4)
	must.True(t, w.install(5, nil, time.Time{}))
	must.True(t, w.bind(5, boundRecord(1, 51)))
	must.False(t, w.install(5, nil, time.Time{}))
	must.False(t, w.install(4, nil, time.Time{}))
	_, known := w.lookup(slot.Key{1})
	must.True(t, known)
}

func TestRetriedInstallAndAdvanceAreAccepted(t *testing.T) {
	// The store is down when an owner installs the next term at a witness, and the owner
	// retries. If each attempt made one witness unusable, none would be left.
	w := newServingTable(t, 4)
	must.True(t, w.install(5, nil, time.Time{}))
	must.True(t, w.install(5, []record{*boundRecord(1, 41)}, time.Time{}))
	must.True(t, w.bind(5, boundRecord(2, 51)))
	o := newServingTable(t, 4)
	o.seal(4)
	must.True(t, o.advanceTerm(5))
	must.True(t, o.advanceTerm(5))
	_, got := o.claim(time.Now(), newCall(1, 0), owner1, 5, hour)
	must.EqOp(t, claimNew, got)
	must.True(t, o.advanceTerm(5))
	must.False(t, o.install(5, nil, time.Time{}))
}

func TestRefusalRejectsOlderCopies(t *testing.T) {
	// A key is refused. A copy that reached an entry VM before the refusal was known there must
	// not run; a later copy may, as a new attempt.
	o := newServingTable(t, 4)
	c := newCall(1, 0)
	_, _ = o.claim(time.Now(), c, owner1, 4, hour)
	end := record{key: c.key, attempt: c.attempt, state: stateRefused, out: outcome{err: errNotSent(nil)}}
	must.EqOp(t, finishApplied, o.finish(end, 4, 0))
	_, got := o.claim(time.Now(), newCall(1, c.attempt), owner1, 4, hour)
	must.EqOp(t, claimStale, got)
	again := newCall(1, o.lastSeqAt(4))
	_, got = o.claim(time.Now(), again, owner1, 4, hour)
	must.EqOp(t, claimNew, got)
	must.Greater(t, c.attempt, again.attempt)
}

func TestWitnessAcceptsRefusalNumbersOnlyFromItsOwner(t *testing.T) {
	// An owner that lost the slot reports a refusal with a sequence number of its old term.
	// Entry VMs know higher ones already, so a copy delayed since before the refusal would pass
	// as newer.
	w := newServingTable(t, 5)
	must.True(t, w.bind(5, boundRecord(1, 51)))
	end := record{key: slot.Key{1}, attempt: 51, state: stateRefused, refusalSeq: 44}
	must.EqOp(t, finishNeedsOwner, w.finish(end, 0, 4))
	must.EqOp(t, finishApplied, w.finish(end, 0, 5))
}

func TestConflictingOutcomesAreDetected(t *testing.T) {
	o := newServingTable(t, 4)
	must.True(t, o.bind(4, boundRecord(1, 41)))
	must.EqOp(t, finishApplied, o.finish(record{key: slot.Key{1}, attempt: 41, state: stateRan}, 0, 4))
	must.EqOp(t, finishIgnored, o.finish(record{key: slot.Key{1}, attempt: 41, state: stateRan}, 0, 4))
	must.EqOp(t, finishConflict, o.finish(record{key: slot.Key{1}, attempt: 41, state: stateRefused, refusalSeq: 1}, 0, 4))
	must.EqOp(t, finishConflict, o.finish(record{key: slot.Key{1}, attempt: 42, state: stateRan}, 0, 4))
}

func TestAnswersAreBoundedAndDroppedBeforeKeys(t *testing.T) {
	o := newServingTable(t, 4)
	now := time.Now()
	for i := range byte(20) {
		must.True(t, o.bind(4, boundRecord(i, 41+uint64(i))))
		answer := plain.Response{Body: make([]byte, 30<<10)}
		o.finish(record{key: slot.Key{i}, attempt: 41 + uint64(i), state: stateRan, out: outcome{answer: &answer}}, 0, 4)
	}
	must.LessEq(t, maxAnswerBytesPerSlot, o.answerBytes)
	must.EqOp(t, 20, o.sweep(now.Add(hour/2), hour/2))
	must.EqOp(t, 20, o.sweep(now.Add(hour/2+time.Second), hour/2))
	must.EqOp(t, 0, o.answerBytes)
	r, _ := o.lookup(slot.Key{0})
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
		visible := len(key) >= 1 && len(key) <= MaxKeyBytes
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

func TestFailingMovesDelayNoOthers(t *testing.T) {
	// Two daemons die together. Hundreds of slots can't move until their deaths are proven. A
	// sealed slot that needs only its owner must not wait for them.
	p, now := &moveBackoff{}, time.Now()
	var moves []slot.Move
	for i := range 3 * maxMovesPerRound {
		moves = append(moves, slot.Move{From: slot.Assignment{Slot: i}, Reason: slot.BothLost})
	}
	first := p.due(slices.Clone(moves), maxMovesPerRound, now)
	must.Len(t, maxMovesPerRound, first)
	for _, m := range first {
		p.recordFailure(m, now)
	}
	must.EqOp(t, maxMovesPerRound, p.due(slices.Clone(moves), maxMovesPerRound, now)[0].From.Slot)
	now = now.Add(minMoveBackoff)
	must.EqOp(t, 0, p.due(slices.Clone(moves), maxMovesPerRound, now)[0].From.Slot)
}

func TestUnresponsiveMemberReplacedByAnotherIsAChange(t *testing.T) {
	// One witness becomes unresponsive at the moment at which another one is trusted again. The
	// number of unresponsive members stays the same, but slots must move.
	s, now := &unresponsiveSet{}, time.Now()
	s.add("vm4", now)
	_, before := s.ids(now)
	later := now.Add(unresponsivePeriod)
	s.add("vm9", later)
	ids, after := s.ids(later)
	must.Eq(t, map[string]bool{"vm9": true}, ids)
	must.NotEqOp(t, before, after)
	_, again := s.ids(later)
	must.EqOp(t, after, again)
}
