package world

import (
	"context"
	"strings"
	"testing"
	"testing/cryptotest"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/control/membership"
	"mallowwind.dev/serve/journal"
)

// inWorld runs f on a deployment in virtual time and checks that no invariant
// inside the program was violated.
func inWorld(t *testing.T, c Config, f func(t *testing.T, ctx context.Context, w *World)) {
	t.Helper()
	cryptotest.SetGlobalRandom(t, c.Seed)
	synctest.Test(t, func(t *testing.T) {
		w := New(t.Context(), c)
		defer w.Close()
		f(t, t.Context(), w)
		must.Eq(t, 0, w.SumCounter("generation_invariant_violations_total"))
	})
}

// faultCase is a fault that hits an answer of which the caller holds some tokens.
type faultCase struct {
	name        string
	description string // what a user sees, in which order, and the cause
	fault       func(w *World, c *Caller)
	// maxWait bounds the wait for the next token after the fault.
	maxWait time.Duration
	// maxExtraAttempts is the most attempts, after the first, that may read the prompt anew.
	maxExtraAttempts int
}

var faultCases = []faultCase{{
	name: "engine dies",
	description: `A contract summary is half written when its engine's connections are reset.
The caller sees a short pause and then the rest, each token once.`,
	fault:   func(w *World, _ *Caller) { w.killBusy() },
	maxWait: 200 * time.Millisecond, maxExtraAttempts: 1,
}, {
	name: "engine dies and the next one refuses connections",
	description: `Two engines share a rack whose switch fails. The second connection is
refused at once; the answer goes on elsewhere without waiting for anything.`,
	fault: func(w *World, _ *Caller) {
		w.killBusy()
		w.Engines[1].Die()
		w.Engines[2].Die()
		w.Engines[4].Die()
	},
	maxWait: 200 * time.Millisecond, maxExtraAttempts: 4,
}, {
	name: "engine pauses for good",
	description: `The engine stops in the middle while its connections stay open. The caller
sees a pause as long as the learned suspicion, then the rest from another engine.`,
	fault:   func(w *World, _ *Caller) { w.pauseBusy() },
	maxWait: 500 * time.Millisecond, maxExtraAttempts: 1,
}, {
	name: "engine pauses and returns",
	description: `The engine comes back after the answer went on elsewhere and delivers what
it had. Its late tokens continue another text; the caller sees none of them.`,
	fault: func(w *World, _ *Caller) {
		paused := w.pauseBusy()
		time.AfterFunc(700*time.Millisecond, func() {
			for _, i := range paused {
				w.Engines[i].Unpause()
			}
		})
	},
	maxWait: 500 * time.Millisecond, maxExtraAttempts: 1,
}, {
	name: "connection goes silent",
	description: `Something between daemon and engine loses track of the open connection. The
engine works on; a fresh connection reads the same attempt, without a prefill.`,
	fault: func(w *World, _ *Caller) {
		for _, i := range w.BusyEngines() {
			w.Engines[i].Silence()
		}
	},
	maxWait: 300 * time.Millisecond, maxExtraAttempts: 0,
}, {
	name: "engine turns slow",
	description: `The engine's batch grows and each token takes five times as long. That is no
loss: at most one other attempt races it, and the answer is whole.`,
	fault: func(w *World, _ *Caller) {
		for _, i := range w.BusyEngines() {
			w.Engines[i].Slow(5)
		}
	},
	maxWait: 500 * time.Millisecond, maxExtraAttempts: 2,
}, {
	name: "entry VM dies",
	description: `The caller's entry VM dies. It connects to another one with its last event's
id; that VM takes the copy and attaches to the engine, which works on.`,
	fault:   func(w *World, _ *Caller) { w.Kill(0) },
	maxWait: time.Second, maxExtraAttempts: 0,
}, {
	name: "entry VM and engine die together",
	description: `A power failure takes the entry VM and the engine. The answer continues from
the copy on a third machine, on another engine.`,
	fault: func(w *World, _ *Caller) {
		w.Kill(0)
		w.killBusy()
	},
	maxWait: time.Second, maxExtraAttempts: 1,
}, {
	name: "entry VM pauses and returns",
	description: `The entry VM stalls; the caller moves on after a silence. When the VM comes
back it still believes it owns the answer: it releases nothing new, and does not
cancel the attempt that its successor reads.`,
	fault: func(w *World, _ *Caller) {
		w.Net.SetVM(VMID(0), Hang)
		time.AfterFunc(defaultCallerTimeout+2*time.Second, func() { w.Net.SetVM(VMID(0), Healthy) })
	},
	maxWait: defaultCallerTimeout + 4*time.Second, maxExtraAttempts: 1,
}, {
	name: "holder is cut off",
	description: `The network between the owner and its copy's holder breaks. The caller sees
at most a short pause while the copy moves to another zone.`,
	fault: func(w *World, c *Caller) {
		w.Net.Partition(VMID(0), w.replicaVM(0, c), Hang)
	},
	maxWait: 1500 * time.Millisecond, maxExtraAttempts: 0,
}, {
	name: "holder is replaced",
	description: `Each VM but the caller's is replaced by one that holds nothing. The owner
sends its copy whole again; the caller sees nothing.`,
	fault: func(w *World, _ *Caller) {
		for i := 1; i < 6; i++ {
			w.Replace(i)
		}
	},
	maxWait: 600 * time.Millisecond, maxExtraAttempts: 0,
}, {
	name: "connection to the holder goes silent",
	description: `The owner's connection to the copy's holder goes silent while new ones
work. A fresh one is used after a single missed write.`,
	fault: func(w *World, _ *Caller) {
		for i := 1; i < 6; i++ {
			w.Net.Silence(VMID(0), VMID(i))
		}
	},
	maxWait: time.Second, maxExtraAttempts: 0,
}, {
	name: "writes of the copy arrive late",
	description: `Messages to all holders take longer than their sender waits and arrive after
their successors, those of an earlier attempt too. The engine and the entry VM
die then: nothing late may have spoilt the copies.`,
	fault: func(w *World, _ *Caller) {
		for i := 1; i < 6; i++ {
			w.Net.Delay(VMID(0), VMID(i), 700*time.Millisecond)
		}
		time.Sleep(200 * time.Millisecond)
		for i := 1; i < 6; i++ {
			w.Net.Delay(VMID(0), VMID(i), 0)
		}
	},
	maxWait: 3 * time.Second, maxExtraAttempts: 1,
}}

// replicaVM is the entry VM that holds the copy of an answer that another serves.
func (w *World) replicaVM(owner int, c *Caller) string {
	m, _ := journal.Pick(c.ID, w.vm(owner).Current(), func(membership.Member) bool { return false })
	return m.ID
}

// killBusy kills the engines that run something.
func (w *World) killBusy() {
	for _, i := range w.BusyEngines() {
		w.Engines[i].Die()
	}
}

// pauseBusy pauses the engines that run something and returns them.
func (w *World) pauseBusy() []int {
	busy := w.BusyEngines()
	for _, i := range busy {
		w.Engines[i].Pause()
	}
	return busy
}

// Each loss hits an answer at its hundredth token. The caller gets the whole
// answer, each token once, and waits no longer than the loss's bound.
func TestLosses(t *testing.T) {
	for i, l := range faultCases {
		t.Run(strings.ReplaceAll(l.name, " ", "_"), func(t *testing.T) {
			t.Log(l.description)
			inWorld(t, Config{Seed: uint64(i), Weight: 1}, func(t *testing.T, ctx context.Context, w *World) {
				c := w.Caller("summarise the contract", l.name, 800)
				must.NoError(t, c.Submit(ctx, 0))
				must.NoError(t, c.ReadTo(ctx, 100))
				l.fault(w, c)
				began, longest := time.Now(), time.Duration(0)
				for !c.Done {
					at := c.Pos.Offset
					must.NoError(t, c.step(ctx))
					if c.Pos.Offset > at || c.Done {
						longest = max(longest, time.Since(began))
						began = time.Now()
					}
				}
				must.NoError(t, c.Check())
				started := int(w.Stats().Started)
				t.Logf("longest wait %v, %d attempts begun at engines", longest, started)
				must.LessEq(t, l.maxWait, longest)
				must.LessEq(t, 1+l.maxExtraAttempts, started)
			})
		})
	}
}

// step reads one batch, moving on when the entry VM is lost.
func (c *Caller) step(ctx context.Context) error {
	err := c.Read(ctx)
	if err == ErrConnection {
		return c.Continue((c.vm + 4) % c.w.config.VMs)
	}
	return err
}
