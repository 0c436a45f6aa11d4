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
	Store   StoreConfig
	VMList  VMListConfig
	Weights WeightsConfig
	Entries []vmlist.VM // entry VMs, which are only listed here
	Pools   []PoolConfig
}

// StoreConfig is the key-value service. Its endpoints serve the same keys.
type StoreConfig struct {
	Listen          []string
	ReadsPerSecond  int // 0 means no limit
	WritesPerSecond int // 0 means no limit
}

// VMListConfig is the list of VMs.
type VMListConfig struct {
	Listen string
	Lag    time.Duration
}

// WeightsConfig is the weight store.
type WeightsConfig struct {
	Listen               string
	MaxConcurrentFetches int
	FetchTime            time.Duration
}

// Kind is what a pool's backend servers are.
type Kind string

// The kinds of pools.
const (
	KindEngine Kind = "engine"
	KindPlain  Kind = "plain"
)

// PoolConfig is a set of equal backend servers.
type PoolConfig struct {
	Name           string
	Kind           Kind
	Region         string
	Zones          []string
	ServersPerZone int    // in each zone
	Listen         string // of the first; each further one takes the next port
	Engine         enginesim.Config
	CallTime       time.Duration // of a plain service
}

// ListenAddress is one address that a Config listens on.
type ListenAddress struct {
	Name    string
	Address string
}

// Addresses returns everything that c listens on.
func (c *Config) Addresses() ([]ListenAddress, error) {
	var list []ListenAddress
	for _, a := range c.Store.Listen {
		list = append(list, ListenAddress{NameStore, a})
	}
	for _, a := range []ListenAddress{{NameVMList, c.VMList.Listen}, {NameWeights, c.Weights.Listen}, {NameAdmin, c.Admin}} {
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
			list = append(list, ListenAddress{s.id, s.listen})
		}
	}
	return list, nil
}

// serverSpec is one backend server of a pool, before it listens.
type serverSpec struct {
	pool   *PoolConfig
	id     string
	zone   string
	listen string
	seed   uint64
}

// servers lays out a pool: all of the first zone, then of the next.
func (p *PoolConfig) servers(seed uint64) ([]serverSpec, error) {
	host, port, err := splitPort(p.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "pool %s", p.Name)
	}
	var list []serverSpec
	for _, zone := range p.Zones {
		for i := range p.ServersPerZone {
			s := serverSpec{pool: p, id: serverID(p.Name, zone, i+1), zone: zone, seed: seed + uint64(len(list))}
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
