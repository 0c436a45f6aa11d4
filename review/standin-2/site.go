package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"
)

const (
	host      = "ficu95.example"
	clientKey = "xd9dnn2ctnfzs989anu6"
	tenant    = "huka270"
	// heartbeat is the interval at which replicas write to the store (heartbeat_ms).
	heartbeat = 1200 * time.Millisecond
	// staleReads is how old the reads are that need not be current ("may be seconds old").
	staleReads = 3 * time.Second
	// contactTime, drainTime and applyTime are contact_ms, drain_ms and config_apply_ms.
	contactTime, drainTime, applyTime = 4 * time.Second, 3 * time.Second, 3 * time.Second
)

type object = map[string]any

// site is a small deployment: the store, the daemons and what the operator wants.
type site struct {
	rec     *record
	store   *store
	daemons []*daemon
	folder  string
	network string // first three bytes of its addresses
	version int64
}

// addressCount makes the addresses of replicas differ.
var addressCount atomic.Int64

// newSite starts a store and prepares count daemons, which are not started yet.
func newSite(rec *record, home string, count int, staleAge time.Duration) (*site, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &site{rec: rec, folder: folder, network: fmt.Sprintf("127.%d.%d", 60+os.Getpid()%150, os.Getpid()/150%250)}
	s.store = newStore(rec, staleAge)
	address, err := s.store.serve(s.network + ".1")
	if err != nil {
		return nil, err
	}
	for i := range count {
		d, err := newDaemon(rec, i, fmt.Sprintf("%s.%d", s.network, 10+i), home, folder, address)
		if err != nil {
			return nil, err
		}
		s.daemons = append(s.daemons, d)
	}
	for _, d := range s.daemons {
		if err := d.writeSettings(s.daemons); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// startDaemons starts all daemons and waits until they are ready.
func (s *site) startDaemons() error {
	for _, d := range s.daemons {
		if err := d.start(); err != nil {
			return err
		}
	}
	return s.awaitReady(10 * time.Second)
}

func (s *site) awaitReady(limit time.Duration) error {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		ready := 0
		for _, d := range s.daemons {
			if d.isReady() {
				ready++
			}
		}
		if ready == len(s.daemons) {
			s.rec.add("all daemons are ready")
			return nil
		}
	}
	return fmt.Errorf("the daemons were not ready within %v", limit)
}

func (s *site) close() {
	for _, d := range s.daemons {
		d.kill()
	}
	_ = os.RemoveAll(s.folder)
}

// desired is a desired state.
type desired struct {
	routes, services []object
	limits           object
}

func route(routeName, prefix, kind, service string, timeoutMS, sloMS, attempts int) object {
	return object{
		"name": routeName, "host": host, name("keyprefix"): prefix, "kind": kind, "timeout_ms": timeoutMS, "slo_ms": sloMS, "priority": 2,
		"service": service, "attempts": attempts, "public": false, "sticky": false, "resumable": false,
	}
}

func plainService(serviceName string) object {
	return object{"name": serviceName, "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": false}
}

func limits(headerBytes int) object {
	return object{"header_bytes": headerBytes, "body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
}

// apply writes a desired state and returns its version and the time of the ack.
func (s *site) apply(d desired) (version int64, acked time.Time) {
	s.version += 3
	raw, err := json.Marshal(object{
		"version": s.version, "routes": d.routes, "services": d.services, "limits": d.limits,
		"tenants": []object{{"name": tenant, name("keys"): []string{clientKey}, "priority": 1}},
	})
	if err != nil {
		panic(err)
	}
	s.store.put(name("config"), raw)
	s.rec.add("the store acknowledges desired state %d (%d routes, %d bytes)", s.version, len(d.routes), len(raw))
	return s.version, time.Now()
}

// replicaAddress returns a free address for a replica.
func (s *site) replicaAddress() (string, error) {
	ip := fmt.Sprintf("%s.%d", s.network, 100+addressCount.Add(1))
	port, err := freePort(ip)
	return net.JoinHostPort(ip, fmt.Sprint(port)), err
}

// entry is what a replica writes to the store.
type entry struct {
	id, service, address, zone string
	slots, sequence            int
	draining                   bool
}

func (s *site) register(e *entry) time.Time {
	e.sequence++
	state := "ready"
	if e.draining {
		state = "draining"
	}
	raw, err := json.Marshal(object{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": state,
		"cold_left_ms": 0, "sequence": e.sequence,
	})
	if err != nil {
		panic(err)
	}
	s.store.put(name("servers")+e.id, raw)
	return time.Now()
}

// deskState is a desired state with two routes to a plain service and many that nobody uses.
func deskState(idle, timeoutMS int) desired {
	d := desired{
		routes: []object{
			route("r-status", "/pule252/", name("atmostonce"), "wuno96b", 600, 100, 1),
			route("r-check", "/puxa403/", "idempotent", "wuno96b", 600, 100, 2),
		},
		services: []object{plainService("wuno96b")}, limits: limits(16384),
	}
	for i := range idle {
		d.routes = append(d.routes, route(fmt.Sprintf("r-idle-%d", i), fmt.Sprintf("/idle%d/", i), "idempotent", "wuno96b", timeoutMS, 100, 2))
	}
	return d
}
