// Package host runs the stand-ins of a whole platform in one process, each on
// its own address: the key-value service, the VM list, the weight store, model
// engines and plain services. Faults are injected by name, from the program or
// over the admin listener.
package host

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/external/standin/enginesim"
	"mallowwind.dev/external/vmlist"
)

// Config lists what to run. An address is host:port; port 0 takes a free one.
type Config struct {
	Seed    uint64
	Admin   string // fault injection; empty means none
	Store   Store
	VMList  VMList
	Weights Weights
	Entries []vmlist.VM // entry VMs, which are only listed here
	Pools   []Pool
}

// Store is the key-value service. Its endpoints serve the same keys.
type Store struct {
	Listen     []string
	ReadsPerS  int // 0 means no limit
	WritesPerS int // 0 means no limit
}

// VMList is the list of VMs.
type VMList struct {
	Listen string
	Lag    time.Duration
}

// Weights is the weight store.
type Weights struct {
	Listen   string
	Capacity int
	Fetch    time.Duration
}

// Kind is what a pool's backend servers are.
type Kind string

// The kinds of pools.
const (
	KindEngine Kind = "engine"
	KindPlain  Kind = "plain"
)

// Pool is a set of equal backend servers.
type Pool struct {
	Name     string
	Kind     Kind
	Region   string
	Zones    []string
	Replicas int    // in each zone
	Listen   string // of the first; each further one takes the next port
	Engine   enginesim.Config
	Work     time.Duration // of a plain service
}

// Address is one address that a Config listens on.
type Address struct {
	Name    string
	Address string
}

// Addresses returns everything that c listens on.
func (c *Config) Addresses() ([]Address, error) {
	var list []Address
	for _, a := range c.Store.Listen {
		list = append(list, Address{NameStore, a})
	}
	for _, a := range []Address{{NameVMList, c.VMList.Listen}, {NameWeights, c.Weights.Listen}, {NameAdmin, c.Admin}} {
		if a.Address != "" {
			list = append(list, a)
		}
	}
	for i := range c.Pools {
		servers, err := c.Pools[i].servers(0)
		if err != nil {
			return nil, err
		}
		for _, s := range servers {
			list = append(list, Address{s.id, s.listen})
		}
	}
	return list, nil
}

// server is one backend server of a pool, before it listens.
type server struct {
	pool   *Pool
	id     string
	zone   string
	listen string
	seed   uint64
}

// servers lays out a pool: all of the first zone, then of the next.
func (p *Pool) servers(seed uint64) ([]server, error) {
	host, port, err := splitPort(p.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "pool %s", p.Name)
	}
	var list []server
	for _, zone := range p.Zones {
		for i := range p.Replicas {
			s := server{pool: p, id: serverID(p.Name, zone, i+1), zone: zone, seed: seed + uint64(len(list))}
			s.listen = net.JoinHostPort(host, strconv.Itoa(port))
			if port != 0 {
				port++
			}
			list = append(list, s)
		}
	}
	return list, nil
}

func serverID(pool, zone string, n int) string {
	zone = strings.ReplaceAll(strings.ToLower(zone), " ", "-")
	return fmt.Sprintf("%s-%s-%d", pool, zone, n)
}

func splitPort(address string) (string, int, error) {
	host, text, err := net.SplitHostPort(address)
	if err != nil {
		return "", 0, err
	}
	port, err := strconv.Atoi(text)
	return host, port, err
}
