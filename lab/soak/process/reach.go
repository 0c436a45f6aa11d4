package process

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"mallowwind.dev/external/store"
	"mallowwind.dev/platform/kv"
)

// This file gives each daemon a link of its own to all servers and all other daemons:
// a proxy for each of them, and a store in which their addresses are those proxies.

// historyParts is how many prompts an engine tells of that it once held. As much as
// six engines tell at once then is 1 MB.
const historyParts = 5200

// narrowRate is 10 Mbit/s, in bytes.
const narrowRate = 1.25e6

// ip is the address of a daemon's machine.
func (w *world) ip(n int) string { return fmt.Sprintf("%s.%d", w.network, n+1) }

// peers is where other daemons reach a daemon.
func (w *world) peers(n int) string { return fmt.Sprintf("%s:%d", w.ip(n), portPeers) }

// reachAll makes the links and paths of all daemons and returns the addresses of their
// stores.
func (w *world) reachAll(near string) ([]string, error) {
	for n := range historyParts {
		w.history = append(w.history, fmt.Sprintf("past-%d", n))
	}
	for range daemonCount {
		u := &uplink{}
		if w.opts.Sort == NarrowLinks {
			u.out.rate, u.in.rate = narrowRate, narrowRate
		}
		w.uplinks = append(w.uplinks, u)
	}
	var stores []string
	for n := range daemonCount {
		at, err := w.reach(n, near)
		if err != nil {
			return nil, err
		}
		stores = append(stores, at)
	}
	return stores, nil
}

// reach lays a daemon's paths and returns the address of its store.
func (w *world) reach(n int, near string) (storeAt string, err error) {
	u := w.uplinks[n]
	var names []string // pairs of an address and what the daemon has in its place
	lay := func(known, target string, out, in []*lane) (string, error) {
		p, err := newProxyOn(near+":0", target, out, in)
		if err != nil {
			return "", err
		}
		w.paths = append(w.paths, p)
		names = append(names, `"`+known+`"`, `"`+p.address()+`"`)
		return p.address(), nil
	}
	for _, s := range w.servers {
		at, err := lay(s.link.address(), s.listener.Addr().String(), []*lane{&u.out}, []*lane{&u.in})
		if err != nil {
			return "", err
		}
		s.addresses = append(s.addresses, at)
	}
	for m, other := range w.uplinks {
		if m == n {
			continue
		}
		if _, err := lay(w.peers(m), w.peers(m), []*lane{&u.out, &other.in}, []*lane{&other.out, &u.in}); err != nil {
			return "", err
		}
	}
	return w.serveStore(near, kv.NewStandIn(seenFrom{Store: w.memory, names: strings.NewReplacer(names...)}))
}

// serveStore serves the store, of which it returns the address.
func (w *world) serveStore(near string, s *kv.StandIn) (string, error) {
	l, err := net.Listen("tcp", near+":0")
	if err != nil {
		return "", errors.Wrap(err, "store")
	}
	w.storeLs = append(w.storeLs, l)
	go http.Serve(l, s.Handler())
	return l.Addr().String(), nil
}

// seenFrom is the store with other addresses in its values.
type seenFrom struct {
	store.Store
	names *strings.Replacer
}

func (s seenFrom) seen(kv store.KV) store.KV {
	kv.Value = []byte(s.names.Replace(string(kv.Value)))
	return kv
}

// Get implements store.Store.
func (s seenFrom) Get(ctx context.Context, key string) (store.KV, error) {
	kv, err := s.Store.Get(ctx, key)
	return s.seen(kv), err
}

// List implements store.Store.
func (s seenFrom) List(ctx context.Context, prefix string) ([]store.KV, int64, error) {
	return s.seenAll(s.Store.List(ctx, prefix))
}

// ListStale implements store.Store.
func (s seenFrom) ListStale(ctx context.Context, prefix string) ([]store.KV, int64, error) {
	return s.seenAll(s.Store.ListStale(ctx, prefix))
}

func (s seenFrom) seenAll(kvs []store.KV, revision int64, err error) ([]store.KV, int64, error) {
	for i := range kvs {
		kvs[i] = s.seen(kvs[i])
	}
	return kvs, revision, err
}

// Watch implements store.Store.
func (s seenFrom) Watch(ctx context.Context, prefix string, from int64) (store.Watcher, error) {
	w, err := s.Store.Watch(ctx, prefix, from)
	if err != nil {
		return nil, err
	}
	return seenWatch{Watcher: w, from: s}, nil
}

type seenWatch struct {
	store.Watcher
	from seenFrom
}

// Next implements store.Watcher.
func (w seenWatch) Next(ctx context.Context) ([]store.Event, error) {
	events, err := w.Watcher.Next(ctx)
	seen := make([]store.Event, len(events))
	for i, e := range events {
		seen[i] = store.Event{Kind: e.Kind, KV: w.from.seen(e.KV)}
	}
	return seen, err
}
