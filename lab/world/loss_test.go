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

// inWorld runs f on a deployment in virtual time and checks that no generation
// manager counted an invariant violation.
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

// faultCase is a fault injected after the caller has received some tokens.
type faultCase struct {
	name        string
	description string // the cause and what the caller sees
	fault       func(w *World, c *Caller)
	// maxWait bounds the wait between two reads that bring tokens or the end, after the fault.
	maxWait time.Duration
	// maxExtraAttempts bounds the attempts started at engines after the first; each repeats the prefill.
	maxExtraAttempts int
}

var faultCases = []faultCase{{
	name: "engine dies",
	description: `The engine's connections are reset in the middle of a generation.
The caller sees a short pause and then the rest, each token once.`,
	fault:   func(w *World, _ *Caller) { w.killBusy() },
	maxWait: 200 * time.Millisecond, maxExtraAttempts: 1,
}, {
	name: "engine dies and the next one refuses connections",
	description: `Several engines fail together. New connections to them are refused at
once; the generation continues on another engine without waiting for a timeout.`,
	fault: func(w *World, _ *Caller) {
		w.killBusy()
		w.Engines[1].Crash()
		w.Engines[2].Crash()
		w.Engines[4].Crash()
	},
	maxWait: 200 * time.Millisecond, maxExtraAttempts: 4,
}, {
	name: "engine pauses for good",
	description: `The engine stops producing tokens while its connections stay open. The caller
sees a pause as long as the learned suspicion timeout, then the rest from another engine.`,
	fault:   func(w *World, _ *Caller) { w.pauseBusy() },
	maxWait: 500 * time.Millisecond, maxExtraAttempts: 1,
}, {
	name: "engine pauses and returns",
	description: `The engine resumes after the generation continued on another engine and
delivers its pending tokens. They belong to a different continuation; the caller sees none.`,
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
	description: `The open connection between daemon and engine silently drops all data. The
engine keeps running; a new connection attaches to the same attempt, without a prefill.`,
	fault: func(w *World, _ *Caller) {
		for _, i := range w.BusyEngines() {
			w.Engines[i].Silence()
		}
	},
	maxWait: 300 * time.Millisecond, maxExtraAttempts: 0,
}, {
	name: "engine turns slow",
	description: `Each token takes five times as long, as in a larger batch. The engine is
not lost: a limited number of other attempts race it, and the generation is complete.`,
	fault: func(w *World, _ *Caller) {
		for _, i := range w.BusyEngines() {
			w.Engines[i].SetSlowdown(5)
		}
	},
	maxWait: 500 * time.Millisecond, maxExtraAttempts: 2,
}, {
	name: "entry VM dies",
	description: `The caller's entry VM dies. The caller connects to another one with its last
event id; that VM takes over from the replica and attaches to the running attempt.`,
	fault:   func(w *World, _ *Caller) { w.Kill(0) },
	maxWait: time.Second, maxExtraAttempts: 0,
}, {
	name: "entry VM and engine die together",
	description: `The entry VM and the engine fail at the same time. The generation continues
from the replica on another entry VM, on another engine.`,
	fault: func(w *World, _ *Caller) {
		w.Kill(0)
		w.killBusy()
	},
	maxWait: time.Second, maxExtraAttempts: 1,
}, {
	name: "entry VM pauses and returns",
	description: `The entry VM pauses and the caller fails over after its timeout. When the VM
resumes it still considers itself the owner: it must release no new tokens and must
not cancel the attempt that the new owner reads.`,
	fault: func(w *World, _ *Caller) {
		w.Net.SetVM(VMID(0), Hang)
		time.AfterFunc(defaultCallerTimeout+2*time.Second, func() { w.Net.SetVM(VMID(0), Healthy) })
	},
	maxWait: defaultCallerTimeout + 4*time.Second, maxExtraAttempts: 1,
}, {
	name: "holder is cut off",
	description: `The link between the owner and the VM with the replica fails. The caller sees
at most a short pause while the replica moves to another VM.`,
	fault: func(w *World, c *Caller) {
		w.Net.Partition(VMID(0), w.replicaVM(0, c), Hang)
	},
	maxWait: 1500 * time.Millisecond, maxExtraAttempts: 0,
}, {
	name: "holder is replaced",
	description: `Every VM except the caller's is replaced by a new incarnation without state.
The owner sends the full replica again; the caller notices nothing.`,
	fault: func(w *World, _ *Caller) {
		for i := 1; i < 6; i++ {
			w.Replace(i)
		}
	},
	maxWait: 600 * time.Millisecond, maxExtraAttempts: 0,
}, {
	name: "connection to the holder goes silent",
	description: `The owner's open connections to its peers drop all messages while new
connections work. A new one is opened after a single write timed out.`,
	fault: func(w *World, _ *Caller) {
		for i := 1; i < 6; i++ {
			w.Net.Silence(VMID(0), VMID(i))
		}
	},
	maxWait: time.Second, maxExtraAttempts: 0,
}, {
	name: "writes of the copy arrive late",
	description: `Messages to all peers take longer than the sender's timeout and arrive after
later messages, possibly out of order across attempts. Late writes must not
corrupt the replica.`,
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

// replicaVM returns the id of the entry VM with the replica of the generation that owner serves.
func (w *World) replicaVM(owner int, c *Caller) string {
	m, _ := journal.PickHolder(c.ID, w.vm(owner).Current(), func(membership.Member) bool { return false })
	return m.ID
}

// killBusy kills the engines with running attempts.
func (w *World) killBusy() {
	for _, i := range w.BusyEngines() {
		w.Engines[i].Crash()
	}
}

// pauseBusy pauses the engines with running attempts and returns their indexes.
func (w *World) pauseBusy() []int {
	busy := w.BusyEngines()
	for _, i := range busy {
		w.Engines[i].Pause()
	}
	return busy
}

// Injects each fault after 100 tokens. The caller must get the complete generation,
// each token once, and never wait longer than the case's maxWait.
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
				t.Logf("longest wait %v, %d attempts started at engines", longest, started)
				must.LessEq(t, l.maxWait, longest)
				must.LessEq(t, 1+l.maxExtraAttempts, started)
			})
		})
	}
}

// step reads one batch and continues on another entry VM when the current one is lost.
func (c *Caller) step(ctx context.Context) error {
	err := c.Read(ctx)
	if err == ErrConnection {
		return c.Continue((c.vm + 4) % c.w.config.VMs)
	}
	return err
}
