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

// withFeeds starts the feeds of size gateways in four zones with a common store, in virtual time,
// and calls test once each gateway knows all entry VMs. The last leaving VMs are registered as
// leaving.
func withFeeds(t *testing.T, size, leaving int, test func([]*Gateway)) {
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

// In a large fleet, lookups take seconds and long answers are interrupted at a few VMs, while most
// VMs carry no load. Callers ask a daemon for addresses and pick one at random for each new
// connection. A gateway doesn't know the account's share of the load; if it gives every caller the
// window at the start of the ring, the links of the VMs in that window become saturated.
//
// Each VM must get an even share. With 400 picks per VM, the random deviation is 5%, so a deviation
// of a quarter isn't random. This must hold for callers that ask all daemons, for the addresses
// that callers hold at one moment, and if all callers have the same nearest daemon.
func TestCallersSpreadOverAllEntryVMs(t *testing.T) {
	const (
		picksPerVM = 400 // picks by callers per VM of the fleet
		tolerance  = 0.25
	)
	cases := []struct {
		name         string
		daemon       func(k, size int) int // returns the daemon for the k-th lookup
		lookupsPerVM int                   // lookups per VM of the fleet
	}{
		{"all daemons in turn", func(k, size int) int { return k % size }, 20},
		{"all daemons once", func(k, size int) int { return k % size }, 1},
		{"one daemon", func(int, int) int { return 0 }, 1},
	}
	for _, size := range []struct{ vms, leaving int }{{88, 0}, {88, 1}, {390, 0}} {
		withFeeds(t, size.vms, size.leaving, func(fleet []*Gateway) {
			for _, c := range cases {
				random := rand.New(rand.NewPCG(1, uint64(size.vms)))
				picked := map[string]int{}
				for k := range size.vms * c.lookupsPerVM {
					addresses := fleet[c.daemon(k, size.vms)].Addresses("z0")
					must.Between(t, 1, len(addresses), 64)
					for range picksPerVM / c.lookupsPerVM {
						picked[addresses[random.IntN(len(addresses))]]++
					}
				}
				usable := size.vms - size.leaving
				mean := float64(picksPerVM) * float64(size.vms) / float64(usable)
				least, most := math.Inf(1), 0.0
				for i := range usable {
					share := float64(picked[address(i)]) / mean
					least, most = min(least, share), max(most, share)
				}
				for i := usable; i < size.vms; i++ {
					test.Eq(t, 0, picked[address(i)], test.Sprintf("VM %d is leaving", i))
				}
				summary := test.Sprintf("%d of %d VMs usable, %s: a VM gets between %.2f and %.2f of an even share", usable, size.vms, c.name, least, most)
				test.GreaterEq(t, 1-tolerance, least, summary)
				test.LessEq(t, 1+tolerance, most, summary)
			}
		})
	}
}
