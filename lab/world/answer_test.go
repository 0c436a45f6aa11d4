package world

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"mallowwind.dev/control/membership"
	"mallowwind.dev/decision/epochs"
	"mallowwind.dev/decision/verdict"
)

const prompt = "summarise the contract"

func codeOf(t *testing.T, err error) verdict.Code {
	t.Helper()
	var e *verdict.Error
	must.True(t, errors.As(err, &e), must.Sprintf("%v", err))
	return e.Code
}

// vmIndex returns the index of an entry VM.
func vmIndex(t *testing.T, id string) (i int) {
	t.Helper()
	_, err := fmt.Sscanf(id, "vm%d", &i)
	must.NoError(t, err)
	return i
}

// A caller's entry VM and the holder of its copy lose power together. No other
// VM knows the text it holds. While nobody knows that the two are dead they may
// be cut off only, and the caller is told to come back; then it is told that the
// answer is lost, keeps a clean prefix, and gets a whole new answer when it sends
// the request again.
func TestOwnerAndHolderDieTogether(t *testing.T) {
	inWorld(t, Config{Seed: 11, Weight: 1}, func(t *testing.T, ctx context.Context, w *World) {
		c := w.Caller(prompt, "order-1", 300)
		must.NoError(t, c.Submit(ctx, 0))
		must.NoError(t, c.ReadTo(ctx, 100))
		holder := vmIndex(t, w.replicaVM(0, c))
		w.Kill(0)
		w.Kill(holder)
		other := 1 + holder%5
		must.NoError(t, c.Continue(other))
		must.Eq(t, verdict.CodeGenerationUnreachable, codeOf(t, c.Finish(ctx)))
		must.NoError(t, c.Check())
		w.SetMemberState(0, membership.Gone)
		w.SetMemberState(holder, membership.Gone)
		must.NoError(t, c.Continue(other))
		code := codeOf(t, c.Finish(ctx))
		must.SliceContains(t, []verdict.Code{verdict.CodeUnknownGeneration, verdict.CodeGenerationLost}, code)
		must.NoError(t, c.Check())
		must.NoError(t, c.Submit(ctx, other))
		must.NoError(t, c.Finish(ctx))
		must.NoError(t, c.Check())
	})
}

// The owner and its copy's holder lose each other while a second caller asks
// for the same key at the holder's side, and their engine dies. Two different
// continuations arise. Each caller holds one of them, also when the first one
// moves to the other's entry VM.
func TestPartitionBetweenOwnerAndHolder(t *testing.T) {
	inWorld(t, Config{Seed: 12, Weight: 1}, func(t *testing.T, ctx context.Context, w *World) {
		a, b := w.Caller(prompt, "order-2", 600), w.Caller(prompt, "order-2", 600)
		must.NoError(t, a.Submit(ctx, 0))
		must.NoError(t, a.ReadTo(ctx, 100))
		for i := 1; i < 6; i++ {
			if VMID(i) != w.replicaVM(0, a) {
				w.Net.Partition(w.replicaVM(0, a), VMID(i), Cut)
			}
		}
		w.Net.Partition(w.replicaVM(0, a), VMID(0), Cut)
		must.NoError(t, b.Submit(ctx, vmIndex(t, w.replicaVM(0, a))))
		must.NoError(t, b.ReadTo(ctx, 200))
		w.killBusy()
		must.NoError(t, b.ReadTo(ctx, 300))
		must.NoError(t, a.ReadTo(ctx, 300))
		must.NotEq(t, a.Text()[:3600], b.Text()[:3600])
		must.NoError(t, a.Check())
		must.NoError(t, b.Check())
		for i := range 6 {
			w.Net.Partition(w.replicaVM(0, a), VMID(i), Healthy)
		}
		must.NoError(t, a.Continue(vmIndex(t, w.replicaVM(0, a))))
		must.NoError(t, a.Finish(ctx))
		must.NoError(t, b.Finish(ctx))
		must.NoError(t, a.Check())
		must.NoError(t, b.Check())
	})
}

// An entry VM pauses with two callers. One moves on; its answer is taken over
// and, as the engine dies, goes on elsewhere. The paused VM comes back, still
// believes that it owns the answer and has a text of its own: it releases
// nothing of it, its caller follows the new owner, and the copy is not spoilt.
func TestPausedOwnerReturns(t *testing.T) {
	c := Config{Seed: 20, Weight: 1, CallerTimeout: time.Second, MaxTokens: 2000}
	inWorld(t, c, func(t *testing.T, ctx context.Context, w *World) {
		a, b := w.Caller(prompt, "order-5", 1500), w.Caller(prompt, "order-5", 1500)
		for _, c := range []*Caller{a, b} {
			must.NoError(t, c.Submit(ctx, 0))
			must.NoError(t, c.ReadTo(ctx, 100))
		}
		w.Net.SetVM(VMID(0), Hang)
		must.NoError(t, a.Continue(4))
		must.NoError(t, a.ReadTo(ctx, 200))
		w.killBusy()
		must.NoError(t, a.ReadTo(ctx, 300))
		w.Net.SetVM(VMID(0), Healthy)
		must.NoError(t, b.ReadTo(ctx, 400))
		must.NoError(t, b.Check())
		w.Kill(4)
		must.NoError(t, a.Continue(2))
		must.NoError(t, a.Finish(ctx))
		must.NoError(t, a.Check())
		must.NoError(t, b.Finish(ctx))
		must.NoError(t, b.Check())
		must.Eq(t, a.Text(), b.Text())
	})
}

// Every engine stands still for a moment, as when their network hangs. Nobody
// starts anything anew: many prompts would be read again by engines that just go on.
func TestGlobalStallStartsNoStorm(t *testing.T) {
	inWorld(t, Config{Seed: 13, Weight: 1}, func(t *testing.T, ctx context.Context, w *World) {
		callers := make([]*Caller, 40)
		for i := range callers {
			callers[i] = w.Caller(fmt.Sprint(prompt, i), "", 400)
			must.NoError(t, callers[i].Submit(ctx, 0))
		}
		time.Sleep(2 * time.Second)
		for _, e := range w.Engines {
			e.Pause()
		}
		time.Sleep(1500 * time.Millisecond)
		for _, e := range w.Engines {
			e.Unpause()
		}
		for _, c := range callers {
			must.NoError(t, c.Finish(ctx))
			must.NoError(t, c.Check())
		}
		must.Eq(t, 40, w.SumCounter("generation_prefills_total"))
	})
}

// A caller hangs up and does not return. Its answer is cancelled at the engine,
// which would otherwise write it to the end for nobody.
func TestCallerGone(t *testing.T) {
	inWorld(t, Config{Seed: 14}, func(t *testing.T, ctx context.Context, w *World) {
		c := w.Caller(prompt, "", 4000)
		must.NoError(t, c.Submit(ctx, 0))
		must.NoError(t, c.ReadTo(ctx, 100))
		c.Close()
		time.Sleep(35 * time.Second)
		must.SliceEmpty(t, w.BusyEngines())
		must.Eq(t, 1, w.Stats().Cancelled)
	})
}

// A caller on a poor line takes nothing for a minute. What is kept for it stays
// bounded, its engine is not suspected, and it gets the whole answer.
func TestSlowReader(t *testing.T) {
	inWorld(t, Config{Seed: 15, MaxTokens: 9000, Weight: 1}, func(t *testing.T, ctx context.Context, w *World) {
		c := w.Caller(prompt, "", 9000)
		must.NoError(t, c.Submit(ctx, 0))
		must.NoError(t, c.ReadTo(ctx, 10))
		time.Sleep(time.Minute)
		must.LessEq(t, 4200, w.SumCounter("generation_tokens_total"))
		must.NoError(t, c.Finish(ctx))
		must.NoError(t, c.Check())
		must.Zero(t, w.SumCounter("generation_attempts_suspected_total"))
		must.Eq(t, 1, w.SumCounter("generation_prefills_total"))
	})
}

// A caller sends the same request again, with its key, to another entry VM. It
// gets the same answer from the first token, not a second one.
func TestSameKeyElsewhere(t *testing.T) {
	inWorld(t, Config{Seed: 16}, func(t *testing.T, ctx context.Context, w *World) {
		a, b := w.Caller(prompt, "order-3", 300), w.Caller(prompt, "order-3", 300)
		must.NoError(t, a.Submit(ctx, 0))
		must.NoError(t, a.ReadTo(ctx, 100))
		must.NoError(t, b.Submit(ctx, 4))
		must.NoError(t, b.Finish(ctx))
		must.NoError(t, a.Finish(ctx))
		must.NoError(t, a.Check())
		must.Eq(t, a.Text(), b.Text())
		must.Eq(t, 1, w.Stats().Started)

		other := w.Caller("another contract", "order-3", 300)
		must.Eq(t, verdict.CodeKeyReused, codeOf(t, other.Submit(ctx, 2)))
	})
}

// A caller's library sends one request to several entry VMs at the same time.
// Each copy is answered whole, and no answer mixes two of them.
func TestSameKeyAtOnce(t *testing.T) {
	for seed := range uint64(20) {
		inWorld(t, Config{Seed: 100 + seed}, func(t *testing.T, ctx context.Context, w *World) {
			callers := make([]*Caller, 3)
			done := make(chan error, len(callers))
			for i := range callers {
				callers[i] = w.Caller(prompt, fmt.Sprint("order-", seed), 200)
				go func() {
					err := callers[i].Submit(ctx, 2*i)
					if err == nil {
						err = callers[i].Finish(ctx)
					}
					done <- err
				}()
			}
			for range callers {
				must.NoError(t, <-done)
			}
			for _, c := range callers {
				must.NoError(t, c.Check())
			}
		})
	}
}

// All engines are down when a request comes; it is refused at once. After they
// are back the same key is answered.
func TestKeyReusedAfterFailure(t *testing.T) {
	inWorld(t, Config{Seed: 17}, func(t *testing.T, ctx context.Context, w *World) {
		for _, e := range w.Engines {
			e.Die()
		}
		c := w.Caller(prompt, "order-4", 200)
		must.NoError(t, c.Submit(ctx, 0))
		began := time.Now()
		must.Eq(t, verdict.CodeNoBackend, codeOf(t, c.Finish(ctx)))
		must.LessEq(t, time.Second, time.Since(began))
		for _, e := range w.Engines {
			e.Revive()
		}
		time.Sleep(10 * time.Second)
		must.NoError(t, c.Submit(ctx, 3))
		must.NoError(t, c.Finish(ctx))
		must.NoError(t, c.Check())
	})
}

// An answer is finished but its last bytes are lost with the entry VM. Another
// entry VM still owes them, and ends the stream properly.
func TestLastBytesLost(t *testing.T) {
	inWorld(t, Config{Seed: 18}, func(t *testing.T, ctx context.Context, w *World) {
		c := w.Caller(prompt, "", 200)
		must.NoError(t, c.Submit(ctx, 0))
		must.NoError(t, c.ReadTo(ctx, 150))
		time.Sleep(10 * time.Second)
		w.Kill(0)
		must.NoError(t, c.Continue(4))
		must.NoError(t, c.Finish(ctx))
		must.NoError(t, c.Check())
		must.Eq(t, 200, c.Pos.Offset)
	})
}

// A client account guesses or learns the id of another account's answer. On
// every entry VM it is told the same as for an id that never was.
func TestAccountIsolation(t *testing.T) {
	inWorld(t, Config{Seed: 19}, func(t *testing.T, ctx context.Context, w *World) {
		c := w.Caller(prompt, "", 300)
		must.NoError(t, c.Submit(ctx, 0))
		must.NoError(t, c.ReadTo(ctx, 10))
		for vm := range 6 {
			_, err := w.Manager(vm).Find(c.ID, "other").Read(ctx, epochs.Position{})
			must.Eq(t, verdict.CodeUnknownGeneration, codeOf(t, err))
			_, never := w.Manager(vm).Find("g0123456789abcdef0123456789abcdef", "other").Read(ctx, epochs.Position{})
			must.EqError(t, err, never.Error())
		}
	})
}

// A caller sends a key that another entry VM works on already, and is led there. That VM is
// replaced before the first token. Nobody knows the generation any more, and the caller holds
// nothing of it: it gets a new one in place of being told that what it just asked for is
// unknown.
func TestKeyWhoseGenerationIsGoneBeforeItsFirstToken(t *testing.T) {
	inWorld(t, Config{Seed: 140}, func(t *testing.T, ctx context.Context, w *World) {
		first, second := w.Caller(prompt, "order-6", 200), w.Caller(prompt, "order-6", 200)
		must.NoError(t, first.Submit(ctx, 0))
		must.NoError(t, second.Submit(ctx, 2))
		first.Close()
		w.Replace(0)
		must.NoError(t, second.Finish(ctx))
		must.NoError(t, second.Check())
	})
}
