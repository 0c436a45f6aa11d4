package gateway

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/external/standin/storesim"
	"mallowwind.dev/external/store"
	"mallowwind.dev/serve/forward"
	"mallowwind.dev/telemetry/event"
	"mallowwind.dev/telemetry/metric"
)

// inFleet starts the feeds of size gateways in four zones before one store, in
// virtual time, and hands them over once each knows all. The last leaving ones are
// registered as leaving.
func inFleet(t *testing.T, size, leaving int, test func([]*Gateway)) {
	synctest.Test(t, func(t *testing.T) {
		memory := store.NewMemory()
		put := func(key, value string) {
			_, err := memory.CompareAndSwap(t.Context(), key, 0, []byte(value), 0)
			must.NoError(t, err)
		}
		put(feed.OwnConfigKey, config(1, "15s"))
		start := time.Now()
		ctx, stop := context.WithCancel(t.Context())
		var running sync.WaitGroup
		fleet := make([]*Gateway, size)
		for i := range fleet {
			vm := routing.VM{ID: fmt.Sprintf("e%d", i), Zone: fmt.Sprintf("z%d", i%4), Address: address(i)}
			put("mallowwind/vm/"+vm.ID, fmt.Sprintf(`{"id":%q,"zone":%q,"address":%q,"leaving":%t}`,
				vm.ID, vm.Zone, vm.Address, i >= size-leaving))
			g := New(Options{
				Self: vm, Store: storesim.BoundedWatch{Store: memory, MaxWait: time.Second},
				Schema: feed.OwnSchema{}, Codec: forward.DefaultCodec{}, Log: event.Discard(),
				Clock:          func() time.Duration { return time.Since(start) + time.Hour },
				DynamicOptions: DynamicOptions{MaxKeyAge: 5 * time.Second},
				Registry:       metric.NewCatalogue(),
			})
			fleet[i] = g
			running.Go(func() { g.feed.Run(ctx) })
		}
		time.Sleep(2 * time.Second)
		test(fleet)
		stop()
		running.Wait()
	})
}

func address(i int) string { return fmt.Sprintf("e%d:1", i) }

// Callers of a large fleet see lookups take seconds and long answers cut at a few
// VMs, while most VMs carry nothing. Order: callers ask a daemon for addresses, pick
// one of them at random for each new connection, and the links of the VMs that all
// are told fill up. Cause: a gateway knows no client account's part of the load, and
// told every caller the window that begins at the ring's first place.
//
// Each VM is owed an even part. 400 picks a VM leave 5% of chance around it, so a
// quarter more or less is no chance. That holds for callers that ask all daemons, for
// the answers held at one moment, and where all callers have the same nearest daemon.
func TestCallersSpreadOverAllEntryVMs(t *testing.T) {
	const (
		picks = 400 // for each VM
		slack = 0.25
	)
	asked := []struct {
		name     string
		question func(k, size int) int // the daemon that is asked k-th
		each     int                   // questions for each VM of the fleet
	}{
		{"all daemons in turn", func(k, size int) int { return k % size }, 20},
		{"all daemons once", func(k, size int) int { return k % size }, 1},
		{"one daemon", func(int, int) int { return 0 }, 1},
	}
	for _, size := range []struct{ vms, leaving int }{{88, 0}, {88, 1}, {390, 0}} {
		inFleet(t, size.vms, size.leaving, func(fleet []*Gateway) {
			for _, c := range asked {
				random := rand.New(rand.NewPCG(1, uint64(size.vms)))
				got := map[string]int{}
				for k := range size.vms * c.each {
					told := fleet[c.question(k, size.vms)].Addresses("z0")
					must.Between(t, 1, len(told), 64)
					for range picks / c.each {
						got[told[random.IntN(len(told))]]++
					}
				}
				usable := size.vms - size.leaving
				even := float64(picks) * float64(size.vms) / float64(usable)
				least, most := math.Inf(1), 0.0
				for i := range usable {
					x := float64(got[address(i)]) / even
					least, most = min(least, x), max(most, x)
				}
				for i := usable; i < size.vms; i++ {
					test.Eq(t, 0, got[address(i)], test.Sprintf("VM %d is leaving", i))
				}
				where := test.Sprintf("%d of %d VMs usable, %s: a VM gets from %.2f to %.2f of its even part", usable, size.vms, c.name, least, most)
				test.GreaterEq(t, 1-slack, least, where)
				test.LessEq(t, 1+slack, most, where)
			}
		})
	}
}
