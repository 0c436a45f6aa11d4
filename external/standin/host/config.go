// Package host runs the simulated services of a whole platform in one process, each on its own
// address: the key-value service, the VM list, the weight store, model engines and plain
// services. Faults are injected by name, by a method call or over the admin listener.
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

// Config lists the services to run. An address is host:port; port 0 selects a free port.
type Config struct {
	Seed    uint64
	Admin   string // address of the admin listener; empty means none
	Store   StoreConfig
	VMList  VMListConfig
	Weights WeightsConfig
	Entries []vmlist.VM // entry VMs, which appear in the VM list but are not run
	Pools   []PoolConfig
}

// StoreConfig configures the key-value service. All its endpoints serve the same keys.
type StoreConfig struct {
	Listen          []string
	ReadsPerSecond  int // 0 means no limit
	WritesPerSecond int // 0 means no limit
}

// VMListConfig configures the VM list.
type VMListConfig struct {
	Listen string
	Lag    time.Duration
}

// WeightsConfig configures the weight store.
type WeightsConfig struct {
	Listen               string
	MaxConcurrentFetches int
	FetchTime            time.Duration
}

// Kind is the kind of the backend servers in a pool.
type Kind string

// The kinds of pools.
const (
	KindEngine Kind = "engine"
	KindPlain  Kind = "plain"
)

// PoolConfig configures a pool of identical backend servers.
type PoolConfig struct {
	Name           string
	Kind           Kind
	Region         string
	Zones          []string
	ServersPerZone int
	Listen         string // address of the first server; each further one takes the next port
	Engine         enginesim.Config
	CallTime       time.Duration // duration of a call to a plain service
}

// ListenAddress is the address of one service of a Config.
type ListenAddress struct {
	Name    string
	Address string
}

// Addresses returns the addresses of all services of c, including the admin listener.
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

// serverSpec describes one backend server of a pool.
type serverSpec struct {
	pool   *PoolConfig
	id     string
	zone   string
	listen string
	seed   uint64
}

// servers returns the backend servers of a pool, zone by zone.
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
