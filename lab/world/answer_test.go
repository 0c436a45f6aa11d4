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

// The owner and the VM with its replica die together, so that no VM has the generation's
// state. While the membership still shows both as alive, they may only be unreachable: the
// caller gets CodeGenerationUnreachable. Once they are gone it gets a final error, keeps a
// valid prefix, and gets a complete new generation when it submits again.
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

// The VM with the replica is partitioned from all others, a second caller submits the same
// key there, and the engine dies. Both sides continue the generation differently (split
// brain). No caller may get a mix of the two, even when the first caller connects to
// the other side after the partition has healed.
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

// An entry VM with two callers of one generation pauses. One caller fails over, another VM
// takes over, and the engine dies, so that the continuation differs. When the paused VM
// resumes as a stale owner with tokens of its own, it must release none of them, its caller
// must follow the new owner, and the replica must stay valid.
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

// All engines pause briefly, as when their network hangs. No attempt may be started
// again: that would repeat many prefills on engines that recover by themselves.
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

// A caller disconnects and does not return. Its generation must be cancelled at the
// engine, which would otherwise run it to the end.
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

// A caller reads nothing for a minute. The tokens buffered for it must stay bounded, its
// engine must not be suspected, and it must still get the complete generation.
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

// A caller sends the same request with the same key to another entry VM. It must get the
// same generation from the first token; no second attempt may start. The key with another
// body is refused.
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

// A caller sends one request to several entry VMs at the same time. Each submission must
// be answered completely, and no answer may mix two generations.
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

// All engines are down when a request arrives, so that it must fail within a second. After
// they have recovered, a request with the same key must succeed.
func TestKeyReusedAfterFailure(t *testing.T) {
	inWorld(t, Config{Seed: 17}, func(t *testing.T, ctx context.Context, w *World) {
		for _, e := range w.Engines {
			e.Crash()
		}
		c := w.Caller(prompt, "order-4", 200)
		must.NoError(t, c.Submit(ctx, 0))
		began := time.Now()
		must.Eq(t, verdict.CodeNoBackend, codeOf(t, c.Finish(ctx)))
		must.LessEq(t, time.Second, time.Since(began))
		for _, e := range w.Engines {
			e.Restart()
		}
		time.Sleep(10 * time.Second)
		must.NoError(t, c.Submit(ctx, 3))
		must.NoError(t, c.Finish(ctx))
		must.NoError(t, c.Check())
	})
}

// A generation is complete, but the entry VM dies before the caller has read the last
// tokens. Another entry VM must deliver them and the terminal event.
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

// An account uses the id of another account's generation. Every entry VM must answer as
// for an id that never existed.
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

// A caller submits a key whose generation another entry VM serves, and is attached to it. That
// VM is replaced before the first token, so that the generation is unknown everywhere. The caller
// has received nothing of it and must get a new generation instead of an unknown-generation error.
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
