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

// runScenario runs f with n daemons that have settled their slots.
func runScenario(t *testing.T, n int, f func(t *testing.T, cl *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, n)
		defer cl.close()
		time.Sleep(15 * time.Second)
		f(t, cl)
	})
}

// send plays a caller that sends key and body to one entry VM.
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

// verdictOf is the verdict a caller reads; an answer says that the call ran.
func verdictOf(err *verdict.Error) verdict.Verdict {
	if err == nil {
		return verdict.Ran
	}
	return err.Verdict
}

// pairOf returns the owner and the witness of key, and another daemon.
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

// killAndSyncViews kills a daemon and takes it out of all views.
func (cl *cluster) killAndSyncViews(d *daemon) {
	d.kill()
	cl.syncViews()
}

func TestSameKeyAtThreeEntryVMsAtOnceRunsOnce(t *testing.T) {
	// A driver's phone sends one confirmation over three entry VMs at the same
	// moment. All three get the answer of the one run; a fourth copy much later
	// gets it too, and the key with another body is refused.
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
	// The owner binds a dispatch at its witness and is paused before it sends.
	// The others believe it gone, the witness takes over, the caller asks again
	// and learns that the call may have run. Then the old owner wakes and sends.
	// The cause of the danger: nothing tells a paused process that it lost a slot.
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
		now, _, _ := cl.pairOf("k2")
		must.EqOp(t, witness.id, now.id)
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

func TestStoreOutageStopsNoCallOfAWholePair(t *testing.T) {
	// The store is down for minutes. Calls go on, also at an entry VM that was
	// never asked before. When the owner dies in the outage its slot can't move:
	// callers are told at once that the outcome is open and when to ask again,
	// and after the outage the key still has its one run.
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

func TestOwnerDiesAfterAnsweringAndTheWitnessKnowsTheAnswer(t *testing.T) {
	// The answer is lost on the way back because the owner dies. The caller
	// asks another entry VM with the same key and gets the recorded answer.
	runScenario(t, 6, func(t *testing.T, cl *cluster) {
		owner, _, other := cl.pairOf("k4")
		answer, err := other.send("k4", "confirm 7")
		must.Nil(t, err)
		must.EqOp(t, "confirm 7 run 1", answer)
		time.Sleep(100 * time.Millisecond)
		cl.killAndSyncViews(owner)
		noticed := time.Now()
		answer, err = other.send("k4", "confirm 7")
		must.Nil(t, err)
		must.EqOp(t, "confirm 7 run 1", answer)
		t.Logf("answered %v after the death was noticed", time.Since(noticed))
	})
}

func TestLostConfirmationOfTheRosterWrite(t *testing.T) {
	// The owner dies. The store takes the write that names its successor, but
	// the confirmation is lost, and the first write even takes effect late.
	// Callers see a short wait and then one owner, which knows the key.
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
	// Owner and witness of a key can't reach each other, while everyone else
	// reaches both. The owner takes another witness and the call runs once.
	runScenario(t, 6, func(t *testing.T, cl *cluster) {
		owner, witness, other := cl.pairOf("k6")
		cl.partition(owner.id, witness.id, true)
		answer, err := other.send("k6", "tow pump")
		must.Nil(t, err)
		must.EqOp(t, "tow pump run 1", answer)
		_, now, _ := cl.pairOf("k6")
		must.NotEqOp(t, witness.id, now.id)
	})
}

func TestBothOfThePairLostIsNeverGuessed(t *testing.T) {
	// Owner and witness die together after a run. Nobody knows the key any
	// more, so every unknown key of the slot is answered with may_have_run
	// until the retention time is over, and nothing runs a second time.
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

func TestPairCutOffTogetherIsNotTakenForDead(t *testing.T) {
	// The pair of a slot is cut off from everyone else, as when regions lose
	// each other, and goes on serving on its side. The other side must neither
	// run keys of the slot nor take it: both come back in an hour.
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

func TestRefusalIsNotUndoneByACopyThatWasHeldUp(t *testing.T) {
	// A caller sends one order over two entry VMs. One copy is held up inside
	// the first; the other is refused for overload with not_run. The caller
	// trusts that and orders under a new key. When the held copy arrives at
	// last it must not run. A copy sent after the refusal runs, wherever it goes.
	runScenario(t, 6, func(t *testing.T, cl *cluster) {
		owner, witness, held := cl.pairOf("k9")
		held.pause()
		late := make(chan *verdict.Error)
		go func() {
			_, err := held.send("k9", "20 sacks")
			late <- err
		}()
		time.Sleep(time.Millisecond)
		owner.flow.refuse.Store(true)
		_, err := witness.send("k9", "20 sacks")
		must.EqOp(t, verdict.NotRun, verdictOf(err))
		must.Positive(t, err.RetryAfter)
		owner.flow.refuse.Store(false)
		held.resume()
		must.EqOp(t, verdict.MayHaveRun, verdictOf(<-late))
		must.EqOp(t, 0, cl.backend.count("20 sacks"))
		time.Sleep(err.RetryAfter)
		answer, err := held.send("k9", "20 sacks")
		must.Nil(t, err)
		must.EqOp(t, "20 sacks run 1", answer)
	})
}

func TestVerdictsFollowWhatWasSent(t *testing.T) {
	// A backend server that can't be connected to is passed over; when all are
	// the caller reads not_run. One that takes the call and says nothing may
	// have run it: it is not sent again, now or on a retry.
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

func TestPlannedLeaveRefusesNothing(t *testing.T) {
	// A daemon is replaced as planned while callers send orders without pause,
	// one of them running for seconds. None is refused or left open.
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
	// Hundreds of orders: the store sees no write, so its rate bounds nothing.
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

func TestKeyThatLeftTheTableIsNotDispatched(t *testing.T) {
	// While an owner waits for the witness, the slot goes to another daemon and
	// comes back. The owner's table was replaced and does not hold the key. If it
	// were sent now, a second copy would find no trace of it and run again.
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

func TestChangeCutShortLeavesNoSlotBehind(t *testing.T) {
	// A daemon seals one of a pair to take its slot, and dies before it asks the
	// store. The pair is alive and in every roster, and yet half of it refuses
	// every key. Callers must see a short wait, not refusals for ever.
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

func TestSlotsThatCannotBeTakenKeepNoneBack(t *testing.T) {
	// Two of three entry VMs are lost within seconds, and the platform still
	// lists them. Nobody can give the keys of the slots that they shared, for a
	// minute and more. The one that is left must neither ask for them five
	// times a second nor keep back the slots that it can take.
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
