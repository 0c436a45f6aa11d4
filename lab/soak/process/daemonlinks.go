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

// This file gives each daemon its own link to all servers and all other daemons: one proxy for
// each of them, and a view of the store in which their addresses are those of the proxies.

// historyPartCount is how many prompt parts an engine reports from earlier requests. The reports
// of six engines at once then take 1 MB.
const historyPartCount = 5200

// lowBytesPerSecond is 10 Mbit/s in bytes.
const lowBytesPerSecond = 1.25e6

// daemonIP returns the address of a daemon's machine.
func (h *harness) daemonIP(n int) string { return fmt.Sprintf("%s.%d", h.network, n+1) }

// peerAddress returns the address at which other daemons reach a daemon.
func (h *harness) peerAddress(n int) string { return fmt.Sprintf("%s:%d", h.daemonIP(n), portPeers) }

// buildLinks creates the links and proxies of all daemons and returns the addresses of their views
// of the store.
func (h *harness) buildLinks(listenIP string) ([]string, error) {
	for n := range historyPartCount {
		h.partHistory = append(h.partHistory, fmt.Sprintf("past-%d", n))
	}
	for range daemonCount {
		u := &uplink{}
		if h.opts.Scenario == LowBandwidthLinks {
			u.out.bytesPerSecond, u.in.bytesPerSecond = lowBytesPerSecond, lowBytesPerSecond
		}
		h.uplinks = append(h.uplinks, u)
	}
	var stores []string
	for n := range daemonCount {
		address, err := h.buildDaemonLinks(n, listenIP)
		if err != nil {
			return nil, err
		}
		stores = append(stores, address)
	}
	return stores, nil
}

// buildDaemonLinks creates a daemon's proxies and returns the address of its view of the store.
func (h *harness) buildDaemonLinks(n int, listenIP string) (storeAt string, err error) {
	u := h.uplinks[n]
	var replacements []string // pairs: an address and the proxy that the daemon sees in its place
	addLink := func(known, target string, requestPath, responsePath []*linkDirection) (*proxy, error) {
		p, err := newProxyVia(listenIP+":0", target, requestPath, responsePath)
		if err != nil {
			return nil, err
		}
		h.linkProxies = append(h.linkProxies, p)
		replacements = append(replacements, `"`+known+`"`, `"`+p.address()+`"`)
		return p, nil
	}
	for _, s := range h.servers {
		p, err := addLink(s.link.address(), s.listener.Addr().String(), []*linkDirection{&u.out}, []*linkDirection{&u.in})
		if err != nil {
			return "", err
		}
		s.addresses = append(s.addresses, p.address())
		u.toServers = append(u.toServers, p)
	}
	for m, other := range h.uplinks {
		if m == n {
			continue
		}
		if _, err := addLink(h.peerAddress(m), h.peerAddress(m), []*linkDirection{&u.out, &other.in}, []*linkDirection{&other.out, &u.in}); err != nil {
			return "", err
		}
	}
	return h.serveStore(listenIP, kv.NewStandIn(rewritingStore{Store: h.memory, addresses: strings.NewReplacer(replacements...)}))
}

// serveStore serves a store and returns its address.
func (h *harness) serveStore(listenIP string, s *kv.StandIn) (string, error) {
	l, err := net.Listen("tcp", listenIP+":0")
	if err != nil {
		return "", errors.Wrap(err, "store")
	}
	h.storeListeners = append(h.storeListeners, l)
	go http.Serve(l, s.Handler())
	return l.Addr().String(), nil
}

// rewritingStore is a store.Store that replaces addresses in the values it returns.
type rewritingStore struct {
	store.Store
	addresses *strings.Replacer
}

func (s rewritingStore) rewrite(kv store.KV) store.KV {
	kv.Value = []byte(s.addresses.Replace(string(kv.Value)))
	return kv
}

// Get implements store.Store.
func (s rewritingStore) Get(ctx context.Context, key string) (store.KV, error) {
	kv, err := s.Store.Get(ctx, key)
	return s.rewrite(kv), err
}

// List implements store.Store.
func (s rewritingStore) List(ctx context.Context, prefix string) (store.Listing, error) {
	return s.rewriteAll(s.Store.List(ctx, prefix))
}

// ListStale implements store.Store.
func (s rewritingStore) ListStale(ctx context.Context, prefix string) (store.Listing, error) {
	return s.rewriteAll(s.Store.ListStale(ctx, prefix))
}

func (s rewritingStore) rewriteAll(list store.Listing, err error) (store.Listing, error) {
	for i := range list.KVs {
		list.KVs[i] = s.rewrite(list.KVs[i])
	}
	return list, err
}

// Watch implements store.Store.
func (s rewritingStore) Watch(ctx context.Context, prefix string, from int64) (store.Watcher, error) {
	w, err := s.Store.Watch(ctx, prefix, from)
	if err != nil {
		return nil, err
	}
	return rewritingWatcher{Watcher: w, store: s}, nil
}

type rewritingWatcher struct {
	store.Watcher
	store rewritingStore
}

// Next implements store.Watcher.
func (w rewritingWatcher) Next(ctx context.Context) ([]store.Event, error) {
	events, err := w.Watcher.Next(ctx)
	seen := make([]store.Event, len(events))
	for i, e := range events {
		seen[i] = store.Event{Kind: e.Kind, KV: w.store.rewrite(e.KV)}
	}
	return seen, err
}
