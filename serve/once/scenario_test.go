package once

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/shoenig/test/must"

	"mallowwind.dev/decision/slot"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/external/plain"
)

func newReader(b []byte) io.Reader { return bytes.NewReader(b) }

// runScenario runs f with n daemons whose slots are assigned.
func runScenario(t *testing.T, n int, f func(t *testing.T, cl *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, n)
		defer cl.close()
		time.Sleep(15 * time.Second)
		f(t, cl)
	})
}

// send simulates a caller that sends key and body to this daemon's entry VM.
func (d *daemon) send(key, body string) (string, *verdict.Error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	answer, err := d.Handle(ctx, Request{
		Account: d.cluster.site.Accounts["depot"], Service: d.cluster.site.Services["desk"], Key: key,
		Call: plain.Call{Method: "POST", Path: "/orders", Body: []byte(body)},
	})
	if err != nil {
		return "", verdict.FromError(err)
	}
	return string(answer.Body), nil
}

// verdictOf returns the verdict that a caller receives. An answer means that the call ran.
func verdictOf(err *verdict.Error) verdict.Verdict {
	if err == nil {
		return verdict.Ran
	}
	return err.Verdict
}

// pairOf returns the owner and the witness of key, and another live daemon.
func (cl *cluster) pairOf(key string) (owner, witness, other *daemon) {
	i := slot.ForKey(slot.KeyOf("depot", "desk", key))
	a := cl.newestAssignment(i)
	owner, witness = cl.daemon(a.Owner.ID), cl.daemon(a.Witness.ID)
	for _, d := range cl.daemons {
		if d != owner && d != witness && !d.dead.Load() {
			other = d
		}
	}
	return owner, witness, other
}

func (cl *cluster) newestAssignment(i int) slot.Assignment {
	var a slot.Assignment
	for _, d := range cl.daemons {
		if b := d.Roster.Slot(i); b.Term > a.Term {
			a = b
		}
	}
	return a
}

// killAndSyncViews kills a daemon and removes it from all views.
func (cl *cluster) killAndSyncViews(d *daemon) {
	d.kill()
	cl.syncViews()
}

func TestSameKeyAtThreeEntryVMsAtOnceRunsOnce(t *testing.T) {
	// Copies of a call arrive at three entry VMs at the same moment, as from a client that
	// sends them to all. All three get the answer of the one run. A fourth copy much later gets
	// it too, and the same key with another body is refused.
	runScenario(t, 6, func(t *testing.T, cl *cluster) {
		cl.backend.runDuration = 3 * time.Second
		answers := make(chan string, 3)
		for _, id := range []string{"vm0", "vm1", "vm2"} {
			go func() {
				answer, _ := cl.daemon(id).send("k1", "ship 4 t")
				answers <- answer
			}()
		}
		for range 3 {
			must.EqOp(t, "ship 4 t run 1", <-answers)
		}
		time.Sleep(time.Minute)
		answer, err := cl.daemon("vm4").send("k1", "ship 4 t")
		must.Nil(t, err)
		must.EqOp(t, "ship 4 t run 1", answer)
		_, err = cl.daemon("vm5").send("k1", "ship 5 t")
		must.EqOp(t, verdict.NotRun, verdictOf(err))
		must.EqOp(t, verdict.CodeKeyReused, err.Code)
		must.EqOp(t, 1, cl.backend.count("ship 4 t"))
		must.EqOp(t, 0, cl.backend.count("ship 5 t"))
	})
}

func TestPausedOwnerSendsLateAndTheRetryDoesNotRunAgain(t *testing.T) {
	// The owner binds a key at its witness and is paused before it sends. The others consider
	// it dead, the witness takes over, and a retry of the call learns that it may have run.
	// Then the old owner resumes and sends. A paused process does not learn that it lost a
	// slot, so the new owner must not dispatch the key.
	runScenario(t, 6, func(t *testing.T, cl *cluster) {
		owner, witness, other := cl.pairOf("k2")
		hold := make(chan struct{})
		owner.flow.hold.Store(&hold)
		go func() { _, _ = other.send("k2", "dispatch excavator") }()
		time.Sleep(time.Second)
		owner.pause()
		owner.dead.Store(true)
		cl.syncViews()
		owner.dead.Store(false)
		time.Sleep(10 * time.Second)
		answer, err := other.send("k2", "dispatch excavator")
		must.EqOp(t, "", answer)
		must.EqOp(t, verdict.MayHaveRun, verdictOf(err))
		must.EqOp(t, 0, cl.backend.count("dispatch excavator"))
		newOwner, _, _ := cl.pairOf("k2")
		must.EqOp(t, witness.id, newOwner.id)
		close(hold)
		owner.resume()
		time.Sleep(5 * time.Second)
		must.EqOp(t, 1, cl.backend.count("dispatch excavator"))
		answer, err = other.send("k2", "dispatch excavator")
		must.Nil(t, err)
		must.EqOp(t, "dispatch excavator run 1", answer)
		must.EqOp(t, 1, cl.backend.count("dispatch excavator"))
	})
}

func TestStoreOutageStopsNoCallWhilePairIsAlive(t *testing.T) {
	// The store is down for minutes. Calls continue, also at an entry VM that received none
	// before. If the owner dies during the outage, its slot can't move: callers get
	// may_have_run with a retry delay, and after the outage the key still has its one run.
	runScenario(t, 6, func(t *testing.T, cl *cluster) {
		cl.store.setDown(true)
		answer, err := cl.daemon("vm3").send("k3", "order 12")
		must.Nil(t, err)
		must.EqOp(t, "order 12 run 1", answer)
		owner, _, other := cl.pairOf("k3")
		time.Sleep(time.Second)
		cl.killAndSyncViews(owner)
		time.Sleep(3 * time.Minute)
		_, err = other.send("k3", "order 12")
		must.EqOp(t, verdict.MayHaveRun, verdictOf(err))
		must.Positive(t, err.RetryAfter)
		cl.store.setDown(false)
		time.Sleep(10 * time.Second)
		answer, err = other.send("k3", "order 12")
		must.Nil(t, err)
		must.EqOp(t, "order 12 run 1", answer)
		must.EqOp(t, 1, cl.backend.count("order 12"))
	})
}

func TestWitnessReturnsAnswerAfterOwnerDies(t *testing.T) {
	// The owner dies after it answered. A retry with the same key, as by a caller that lost the
	// answer, must get the recorded answer from the witness, which takes over.
	runScenario(t, 6, func(t *testing.T, cl *cluster) {
		owner, _, other := cl.pairOf("k4")
		answer, err := other.send("k4", "confirm 7")
		must.Nil(t, err)
		must.EqOp(t, "confirm 7 run 1", answer)
		time.Sleep(100 * time.Millisecond)
		cl.killAndSyncViews(owner)
		updated := time.Now()
		answer, err = other.send("k4", "confirm 7")
		must.Nil(t, err)
		must.EqOp(t, "confirm 7 run 1", answer)
		t.Logf("answered %v after the views were updated", time.Since(updated))
	})
}

func TestLostConfirmationOfTheRosterWrite(t *testing.T) {
	// The owner dies. The store accepts the write that names its successor, but the
	// confirmation is lost, and the write even takes effect late in the second case. Callers
	// must see a short wait and then one owner, which knows the key.
	for _, late := range []time.Duration{0, 20 * time.Millisecond} {
		runScenario(t, 6, func(t *testing.T, cl *cluster) {
			owner, _, other := cl.pairOf("k5")
			_, err := other.send("k5", "hire roller")
			must.Nil(t, err)
			time.Sleep(100 * time.Millisecond)
			cl.store.loseConfirmations(3, late)
			cl.killAndSyncViews(owner)
			answer, err := other.send("k5", "hire roller")
			must.Nil(t, err)
			must.EqOp(t, "hire roller run 1", answer)
		})
	}
}

func TestPartitionBetweenOwnerAndWitness(t *testing.T) {
	// Owner and witness of a key can't reach each other, while all other daemons reach both.
	// The owner selects another witness and the call runs once.
	runScenario(t, 6, func(t *testing.T, cl *cluster) {
		owner, witness, other := cl.pairOf("k6")
		cl.partition(owner.id, witness.id, true)
		answer, err := other.send("k6", "tow pump")
		must.Nil(t, err)
		must.EqOp(t, "tow pump run 1", answer)
		_, newWitness, _ := cl.pairOf("k6")
		must.NotEqOp(t, witness.id, newWitness.id)
	})
}

func TestLossOfOwnerAndWitnessLeavesKeysUndecided(t *testing.T) {
	// Owner and witness die together after a run. No daemon knows the key any more, so every
	// unknown key of the slot must be answered with may_have_run until the retention has
	// passed.
	runScenario(t, 6, func(t *testing.T, cl *cluster) {
		cl.setRetention(4*time.Minute, time.Minute)
		owner, witness, other := cl.pairOf("k7")
		_, err := other.send("k7", "release 20 t")
		must.Nil(t, err)
		owner.kill()
		witness.kill()
		cl.syncViews()
		time.Sleep(2 * time.Minute)
		_, err = other.send("k7", "release 20 t")
		must.EqOp(t, verdict.MayHaveRun, verdictOf(err))
		must.EqOp(t, verdict.CodeKeyUndecided, err.Code)
		must.EqOp(t, 1, cl.backend.count("release 20 t"))
		time.Sleep(cl.site.Limits.KeyTTL)
		_, err = other.send("k7", "release 20 t")
		must.Nil(t, err)
	})
}

func TestPartitionedPairIsNotTreatedAsDead(t *testing.T) {
	// The pair of a slot is partitioned from all other daemons, as when regions lose their
	// connection, and both daemons stay alive. The other side must neither run keys of the slot
	// nor take it, since both may return later.
	runScenario(t, 6, func(t *testing.T, cl *cluster) {
		owner, witness, other := cl.pairOf("k8")
		for _, a := range []*daemon{owner, witness} {
			for _, b := range cl.daemons {
				if b != owner && b != witness {
					cl.partition(a.id, b.id, true)
				}
			}
		}
		owner.dead.Store(true)
		witness.dead.Store(true)
		cl.syncViews()
		owner.dead.Store(false)
		witness.dead.Store(false)
		time.Sleep(time.Minute)
		_, err := other.send("k8", "move crane")
		must.EqOp(t, verdict.MayHaveRun, verdictOf(err))
		must.EqOp(t, 0, cl.backend.count("move crane"))
		cl.healLinks()
		cl.syncViews()
		time.Sleep(time.Second)
		answer, err := other.send("k8", "move crane")
		must.Nil(t, err)
		must.EqOp(t, "move crane run 1", answer)
	})
}

func TestDelayedCopyDoesNotRunAfterRefusal(t *testing.T) {
	// A caller sends one call to two entry VMs. One copy is delayed inside the first; the other
	// is refused for overload with not_run. A caller that trusts the verdict repeats the order
	// under a new key, so the delayed copy must not run when it arrives. A copy sent after the
	// refusal runs at any entry VM.
	runScenario(t, 6, func(t *testing.T, cl *cluster) {
		owner, witness, delayed := cl.pairOf("k9")
		delayed.pause()
		late := make(chan *verdict.Error)
		go func() {
			_, err := delayed.send("k9", "20 sacks")
			late <- err
		}()
		time.Sleep(time.Millisecond)
		owner.flow.refuse.Store(true)
		_, err := witness.send("k9", "20 sacks")
		must.EqOp(t, verdict.NotRun, verdictOf(err))
		must.Positive(t, err.RetryAfter)
		owner.flow.refuse.Store(false)
		delayed.resume()
		must.EqOp(t, verdict.MayHaveRun, verdictOf(<-late))
		must.EqOp(t, 0, cl.backend.count("20 sacks"))
		time.Sleep(err.RetryAfter)
		answer, err := delayed.send("k9", "20 sacks")
		must.Nil(t, err)
		must.EqOp(t, "20 sacks run 1", answer)
	})
}

func TestVerdictReflectsWhatWasSent(t *testing.T) {
	// A backend server that can't be connected to is skipped; if none can be, the caller gets
	// not_run. A server that received the call and did not answer may have run it, so the call
	// is not sent again, neither now nor on a retry.
	runScenario(t, 3, func(t *testing.T, cl *cluster) {
		cl.backend.failedSends = 2
		_, err := cl.daemon("vm0").send("a", "order a")
		must.Nil(t, err)
		cl.backend.failedSends = maxBackendsTried
		_, err = cl.daemon("vm0").send("b", "order b")
		must.EqOp(t, verdict.NotRun, verdictOf(err))
		cl.backend.lostAnswers = 1
		for _, id := range []string{"vm0", "vm1", "vm2"} {
			_, err = cl.daemon(id).send("c", "order c")
			must.EqOp(t, verdict.MayHaveRun, verdictOf(err))
		}
		must.EqOp(t, 1, cl.backend.count("order c"))
	})
}

func TestPlannedLeaveRefusesNoCall(t *testing.T) {
	// A daemon leaves as planned while callers keep sending calls, one of which runs for
	// seconds. No call may be refused or left undecided.
	runScenario(t, 6, func(t *testing.T, cl *cluster) {
		owner, _, other := cl.pairOf("k0")
		cl.backend.runDuration = 2 * time.Second
		running := make(chan *verdict.Error)
		go func() {
			_, err := other.send("k0", "long order")
			running <- err
		}()
		time.Sleep(500 * time.Millisecond)
		cl.showLeaving(owner)
		left := make(chan error)
		go func() { left <- owner.Leave(context.Background()) }()
		for i := range 50 {
			key := fmt.Sprint("n", i)
			go func() {
				_, err := other.send(key, "order "+key)
				running <- err
			}()
			time.Sleep(50 * time.Millisecond)
		}
		for range 51 {
			must.Nil(t, <-running)
		}
		must.NoError(t, <-left)
		must.EqOp(t, 0, owner.heldSlots())
	})
}

func TestNewKeyNeedsNoStoreWrite(t *testing.T) {
	// Calls with new keys must cause no store writes, or the store's write rate would limit the
	// rate of calls.
	runScenario(t, 6, func(t *testing.T, cl *cluster) {
		before := cl.store.writeCount()
		for i := range 300 {
			key := fmt.Sprint("n", i)
			_, err := cl.daemon("vm1").send(key, key)
			must.Nil(t, err)
		}
		must.EqOp(t, before, cl.store.writeCount())
	})
}

func TestKeyMissingFromTableIsNotDispatched(t *testing.T) {
	// While an owner waits for the witness, the slot goes to another daemon and comes back. The
	// owner's table was replaced and does not contain the key. If the call were sent now, a
	// second copy would find no record of it and run again.
	runScenario(t, 6, func(t *testing.T, cl *cluster) {
		owner, _, _ := cl.pairOf("k10")
		key := slot.KeyOf("depot", "desk", "k10")
		c := &inFlightCall{slot: slot.ForKey(key), key: key, attempt: 1, done: make(chan struct{})}
		r := record{key: key, attempt: 1, dispatcher: owner.self, expires: time.Now().Add(time.Hour)}
		must.EqOp(t, bindMoved, owner.bind(context.Background(), c, r))
		answer, err := owner.send("k10", "4 rollers")
		must.Nil(t, err)
		must.EqOp(t, "4 rollers run 1", answer)
	})
}

func TestSlotServesAgainAfterAbortedChange(t *testing.T) {
	// A daemon seals one member of a pair to take its slot and dies before it writes to the
	// store. The pair is alive and in every roster, but one of the two refuses every key.
	// Callers must see a short wait, not permanent refusals.
	for _, sealOwner := range []bool{true, false} {
		runScenario(t, 6, func(t *testing.T, cl *cluster) {
			owner, witness, other := cl.pairOf("k11")
			i := slot.ForKey(slot.KeyOf("depot", "desk", "k11"))
			sealed := witness
			if sealOwner {
				sealed = owner
			}
			sealed.tables[i].seal(cl.newestAssignment(i).Term)
			answer, err := other.send("k11", "1 roller")
			must.Nil(t, err)
			must.EqOp(t, "1 roller run 1", answer)
		})
	}
}

func TestSlotsThatCannotBeTakenDelayNoOthers(t *testing.T) {
	// Two of three entry VMs are lost. No reachable daemon holds the keys of the slots that
	// they shared, and their death is not proven for a minute and more. The remaining daemon
	// must neither try to take these slots five times per second nor delay the slots that it
	// can take.
	runScenario(t, 3, func(t *testing.T, cl *cluster) {
		owner, witness, other := cl.pairOf("k12")
		owner.kill()
		witness.kill()
		cl.syncViews()
		time.Sleep(time.Minute)
		shared := 0.0
		for i := range slot.Count {
			if !other.Roster.Slot(i).Includes(other.self) {
				shared++
			}
		}
		failed := testutil.ToFloat64(other.metrics.moves.WithLabelValues(slot.BothLost.String(), "failed"))
		must.Positive(t, failed)
		must.Less(t, 20*shared, failed)
		for i := range slot.Count {
			a := other.Roster.Slot(i)
			must.True(t, a.Owner.IsSameProcess(other.self) || !a.Includes(other.self), must.Sprintf("slot %d was not taken", i))
		}
	})
}
