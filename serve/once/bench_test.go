package once

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"mallowwind.dev/control/membership"
	"mallowwind.dev/control/roster"
	"mallowwind.dev/control/site"
	"mallowwind.dev/decision/slot"
	"mallowwind.dev/external/plain"
	"mallowwind.dev/external/standin/storesim"
	"mallowwind.dev/external/store"
	"mallowwind.dev/peer/link"
	"mallowwind.dev/telemetry/event"
)

// storeWrites is the rate that the benchmark's store takes: "several hundred".
const storeWrites = 800

// benchStore returns a client of a stand-in store over loopback HTTP.
func benchStore(b *testing.B) (*store.EtcdClient, *store.Faulty) {
	faulty := store.NewFaulty(store.NewMemory())
	server := httptest.NewServer(storesim.Handler(faulty))
	b.Cleanup(server.Close)
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	client, err := store.NewEtcdClient([]string{server.URL}, &http.Client{Transport: transport})
	if err != nil {
		b.Fatal(err)
	}
	return client, faulty
}

// instant is a backend server that answers at once.
type instant struct{}

func (instant) Do(context.Context, string, plain.Call) (plain.Response, error) {
	return plain.Response{Status: http.StatusOK, Body: []byte("confirmed")}, nil
}

// benchDaemons starts three daemons with settled slots on loopback.
func benchDaemons(b *testing.B, s store.Store) []*Service {
	view := &membership.View{}
	servers := make([]*httptest.Server, 3)
	handlers := make([]atomic.Pointer[http.Handler], 3)
	for i := range servers {
		servers[i] = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			(*handlers[i].Load()).ServeHTTP(w, r)
		}))
		b.Cleanup(servers[i].Close)
		view.Members = append(view.Members, membership.Member{
			ID: fmt.Sprint("vm", i), Incarnation: 1, Zone: fmt.Sprint("z", i), PeerAddr: servers[i].Listener.Addr().String(),
		})
	}
	w := &world{site: &site.Site{
		Services: map[string]*site.Service{"desk": {Name: "desk"}},
		Accounts: map[string]*site.Account{"depot": {Name: "depot"}}, Limits: site.DefaultLimits(),
	}}
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	out := make([]*Service, len(servers))
	for i := range out {
		own := &membership.View{Self: view.Members[i], Members: view.Members}
		manager := roster.NewManager(s, membership.Static{View: own}, event.Discard())
		out[i] = NewService(Deps{
			Members: membership.Static{View: own}, Roster: manager, Site: w, Flow: &fakeFlow{}, Caller: instant{},
			Dialer: link.NewDialer(nil), Log: event.Discard(), Registry: prometheus.NewRegistry(),
		})
		_, h := out[i].Handler()
		handlers[i].Store(&h)
		go func() { _ = manager.Run(ctx) }()
		go func() { _ = out[i].Run(ctx) }()
	}
	settled(b, out)
	return out
}

// settled waits until every slot has a pair that the first daemon knows.
func settled(b *testing.B, daemons []*Service) {
	for range 300 {
		time.Sleep(100 * time.Millisecond)
		slots, _ := daemons[0].Roster.All()
		if !slices.ContainsFunc(slots, func(a slot.Assignment) bool { return a.Witness.IsNone() }) {
			return
		}
	}
	b.Fatal("slots did not settle")
}

// latencies collects the times of calls and reports quantiles.
type latencies struct {
	mu  sync.Mutex
	all []time.Duration
}

func (l *latencies) time(f func()) {
	start := time.Now()
	f()
	took := time.Since(start)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, took)
}

func (l *latencies) report(b *testing.B) {
	slices.Sort(l.all)
	at := func(q float64) float64 { return float64(l.all[int(q*float64(len(l.all)-1))].Microseconds()) }
	b.ReportMetric(at(0.5), "p50-µs")
	b.ReportMetric(at(0.99), "p99-µs")
}

// BenchmarkOnce compares a whole call that may not be repeated, with keys bound
// at owner and witness, with one create-if-absent per key in the store.
func BenchmarkOnce(b *testing.B) {
	b.Run("owner-and-witness", func(b *testing.B) {
		client, faulty := benchStore(b)
		daemons := benchDaemons(b, client)
		before := faulty.Counts().Writes()
		var n atomic.Int64
		var took latencies
		b.ResetTimer()
		b.RunParallel(func(p *testing.PB) {
			for p.Next() {
				i := n.Add(1)
				took.time(func() { benchCall(b, daemons[i%3], fmt.Sprint("order-", i)) })
			}
		})
		took.report(b)
		b.ReportMetric(float64(faulty.Counts().Writes()-before)/float64(b.N), "store-writes/op")
	})
	for name, limit := range map[string]int{"store-write-per-key": 0, "store-write-per-key-limited": storeWrites} {
		b.Run(name, func(b *testing.B) { perKey(b, limit) })
	}
}

// perKey binds by a write to the store; a write above its rate is tried again.
func perKey(b *testing.B, limit int) {
	client, faulty := benchStore(b)
	faulty.SetLimits(0, limit)
	var n atomic.Int64
	var took latencies
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			key := fmt.Sprint("order-", n.Add(1))
			took.time(func() {
				for {
					_, err := client.CompareAndSwap(context.Background(), "/keys/"+key, 0, []byte(key), 0)
					if err == nil {
						return
					}
					time.Sleep(5 * time.Millisecond)
				}
			})
		}
	})
	took.report(b)
	b.ReportMetric(float64(faulty.Counts().Writes())/float64(b.N), "store-writes/op")
}

func benchCall(b *testing.B, s *Service, key string) {
	_, err := s.Handle(context.Background(), Request{
		Account: &site.Account{Name: "depot"}, Service: &site.Service{Name: "desk"}, Key: key,
		Call: plain.Call{Method: "POST", Path: "/orders", Body: []byte("40 sacks to Thies")},
	})
	if err != nil {
		b.Error(err)
	}
}

// BenchmarkBind measures the witness's part alone, without the network, and
// what a remembered key weighs.
func BenchmarkBind(b *testing.B) {
	b.ReportAllocs()
	w := served(b, 1)
	for i := range b.N {
		key := slot.KeyOf("depot", "desk", fmt.Sprint(i))
		if !w.bind(1, &record{key: key, attempt: uint64(i + 1), dispatcher: owner1}) {
			b.Fatal("refused")
		}
	}
}
