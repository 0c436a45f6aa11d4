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

// loss is a fault that hits an answer of which the caller holds some tokens.
type loss struct {
	name  string
	story string // what a user sees, in which order, and the cause
	fault func(w *World, c *Caller)
	// within bounds the wait for the next token after the fault.
	within time.Duration
	// fresh is the most attempts, after the first, that may read the prompt anew.
	fresh int
}

var losses = []loss{{
	name: "engine dies",
	story: `A contract summary is half written when its engine's connections are reset.
The caller sees a short pause and then the rest, each token once.`,
	fault:  func(w *World, _ *Caller) { w.killBusy() },
	within: 200 * time.Millisecond, fresh: 1,
}, {
	name: "engine dies and the next one refuses connections",
	story: `Two engines share a rack whose switch fails. The second connection is
refused at once; the answer goes on elsewhere without waiting for anything.`,
	fault: func(w *World, _ *Caller) {
		w.killBusy()
		w.Engines[1].Crash()
		w.Engines[2].Crash()
		w.Engines[4].Crash()
	},
	within: 200 * time.Millisecond, fresh: 4,
}, {
	name: "engine pauses for good",
	story: `The engine stops in the middle while its connections stay open. The caller
sees a pause as long as the learned suspicion, then the rest from another engine.`,
	fault:  func(w *World, _ *Caller) { w.pauseBusy() },
	within: 500 * time.Millisecond, fresh: 1,
}, {
	name: "engine pauses and returns",
	story: `The engine comes back after the answer went on elsewhere and delivers what
it had. Its late tokens continue another text; the caller sees none of them.`,
	fault: func(w *World, _ *Caller) {
		paused := w.pauseBusy()
		time.AfterFunc(700*time.Millisecond, func() {
			for _, i := range paused {
				w.Engines[i].Unpause()
			}
		})
	},
	within: 500 * time.Millisecond, fresh: 1,
}, {
	name: "connection goes silent",
	story: `Something between daemon and engine loses track of the open connection. The
engine works on; a fresh connection reads the same attempt, without a prefill.`,
	fault: func(w *World, _ *Caller) {
		for _, i := range w.BusyEngines() {
			w.Engines[i].Silence()
		}
	},
	within: 300 * time.Millisecond, fresh: 0,
}, {
	name: "engine turns slow",
	story: `The engine's batch grows and each token takes five times as long. That is no
loss: at most one other attempt races it, and the answer is whole.`,
	fault: func(w *World, _ *Caller) {
		for _, i := range w.BusyEngines() {
			w.Engines[i].SetSlowdown(5)
		}
	},
	within: 500 * time.Millisecond, fresh: 2,
}, {
	name: "entry VM dies",
	story: `The caller's entry VM dies. It connects to another one with its last event's
id; that VM takes the copy and attaches to the engine, which works on.`,
	fault:  func(w *World, _ *Caller) { w.Kill(0) },
	within: time.Second, fresh: 0,
}, {
	name: "entry VM and engine die together",
	story: `A power failure takes the entry VM and the engine. The answer continues from
the copy on a third machine, on another engine.`,
	fault: func(w *World, _ *Caller) {
		w.Kill(0)
		w.killBusy()
	},
	within: time.Second, fresh: 1,
}, {
	name: "entry VM pauses and returns",
	story: `The entry VM stalls; the caller moves on after a silence. When the VM comes
back it still believes it owns the answer: it releases nothing new, and does not
cancel the attempt that its successor reads.`,
	fault: func(w *World, _ *Caller) {
		w.Net.SetVM(VMID(0), Hang)
		time.AfterFunc(defaultPatience+2*time.Second, func() { w.Net.SetVM(VMID(0), Healthy) })
	},
	within: defaultPatience + 4*time.Second, fresh: 1,
}, {
	name: "holder is cut off",
	story: `The network between the owner and its copy's holder breaks. The caller sees
at most a short pause while the copy moves to another zone.`,
	fault: func(w *World, c *Caller) {
		w.Net.Partition(VMID(0), w.holder(0, c), Hang)
	},
	within: 1500 * time.Millisecond, fresh: 0,
}, {
	name: "holder is replaced",
	story: `Each VM but the caller's is replaced by one that holds nothing. The owner
sends its copy whole again; the caller sees nothing.`,
	fault: func(w *World, _ *Caller) {
		for i := 1; i < 6; i++ {
			w.Replace(i)
		}
	},
	within: 600 * time.Millisecond, fresh: 0,
}, {
	name: "connection to the holder goes silent",
	story: `The owner's connection to the copy's holder goes silent while new ones
work. A fresh one is used after a single missed write.`,
	fault: func(w *World, _ *Caller) {
		for i := 1; i < 6; i++ {
			w.Net.Silence(VMID(0), VMID(i))
		}
	},
	within: time.Second, fresh: 0,
}, {
	name: "writes of the copy arrive late",
	story: `Messages to all holders take longer than their sender waits and arrive after
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
	within: 3 * time.Second, fresh: 1,
}}

// holder is the entry VM that holds the copy of an answer that another serves.
func (w *World) holder(owner int, c *Caller) string {
	m, _ := journal.PickHolder(c.ID, w.vm(owner).Current(), func(membership.Member) bool { return false })
	return m.ID
}

// killBusy kills the engines that run something.
func (w *World) killBusy() {
	for _, i := range w.BusyEngines() {
		w.Engines[i].Crash()
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
	for i, l := range losses {
		t.Run(strings.ReplaceAll(l.name, " ", "_"), func(t *testing.T) {
			t.Log(l.story)
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
				must.LessEq(t, l.within, longest)
				must.LessEq(t, 1+l.fresh, started)
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
