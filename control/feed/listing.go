package feed

import (
	"maps"
	"slices"

	"github.com/pkg/errors"
	"github.com/tidwall/btree"

	"mallowwind.dev/control/routing"
)

// listingDegree is the degree of the trees of servers. A change copies one node of each level, so
// that small nodes are cheaper than few levels.
const listingDegree = 8

// listing holds the usable servers of one service. The published lists are copies that share its
// structure, so that a change of one server costs the same for any number of servers.
type listing struct {
	byID      *btree.Map[string, *routing.Server]
	versions  VersionCounts
	published *ServerList // nil after a change
}

func (l *listing) set(s *routing.Server) {
	old, replaced := l.byID.Set(s.ID, s)
	if replaced && *old == *s {
		return
	}
	if replaced {
		l.count(old, -1)
	}
	l.count(s, 1)
	l.published = nil
}

func (l *listing) remove(id string) {
	if old, ok := l.byID.Delete(id); ok {
		l.count(old, -1)
		l.published = nil
	}
}

func (l *listing) count(s *routing.Server, change int) {
	addTo(l.versions.All, s.Version, change)
	if !s.Draining {
		addTo(l.versions.Accepting, s.Version, change)
	}
}

// addTo changes a count, and removes it if that makes it zero.
func addTo(counts map[string]int, version string, change int) {
	if counts[version] += change; counts[version] == 0 {
		delete(counts, version)
	}
}

// publish returns the current list.
func (l *listing) publish() *ServerList {
	if l.published == nil {
		l.published = &ServerList{byID: l.byID.Copy(), versions: l.versions.clone()}
	}
	return l.published
}

// listing returns the listing of a service.
func (t *table) listing(service string) *listing {
	l := t.listings[service]
	if l == nil {
		l = &listing{byID: btree.NewMap[string, *routing.Server](listingDegree), versions: VersionCounts{All: map[string]int{}, Accepting: map[string]int{}}}
		t.listings[service] = l
	}
	return l
}

// setServer stores a decoded server and updates the listings of the addresses that change hands.
func (t *table) setServer(s routing.Server) {
	if old, known := t.servers[s.ID]; known {
		t.leaveAddress(old)
	}
	t.servers[s.ID] = &s
	t.atAddress[s.Address] = append(t.atAddress[s.Address], s.ID)
	t.listAddress(s.Address)
}

// deleteServer removes a decoded server.
func (t *table) deleteServer(id string) {
	s, known := t.servers[id]
	if !known {
		return
	}
	delete(t.servers, id)
	t.leaveAddress(s)
}

// leaveAddress removes a server from its listing and lists the server that its address has now.
func (t *table) leaveAddress(s *routing.Server) {
	t.listing(s.Service).remove(s.ID)
	ids := slices.DeleteFunc(t.atAddress[s.Address], func(id string) bool { return id == s.ID })
	if len(ids) == 0 {
		delete(t.atAddress, s.Address)
		return
	}
	t.atAddress[s.Address] = ids
	t.listAddress(s.Address)
}

// listAddress lists the newest server at an address and no other. The entry of a crashed server
// remains for seconds after its successor wrote its own, and the successor rejects requests that are
// sent by the old entry. Servers of services that are not configured are skipped, so that they take
// no address from a server in use.
func (t *table) listAddress(address string) {
	newest := ""
	for _, id := range t.atAddress[address] {
		if service := t.servers[id].Service; !t.isConfigured(service) {
			t.reject(id, errors.Errorf("field service is %q, which the configuration does not name", service))
			continue
		}
		delete(t.rejections, id)
		if newest == "" || t.firstRevisions[id] > t.firstRevisions[newest] {
			newest = id
		}
	}
	for _, id := range t.atAddress[address] {
		if s := t.servers[id]; id == newest {
			t.listing(s.Service).set(s)
		} else {
			t.listing(s.Service).remove(id)
		}
	}
}

// isConfigured reports whether the configuration contains a service. Before the first
// configuration, every service counts as configured.
func (t *table) isConfigured(service string) bool {
	return t.config == nil || t.config.Service(service) != nil
}

// setConfig replaces the configuration, and lists the servers anew if the configured services have
// changed.
func (t *table) setConfig(c *routing.Config) {
	before := t.configuredServices()
	t.config = c
	if maps.Equal(before, t.configuredServices()) {
		return
	}
	for address := range t.atAddress {
		t.listAddress(address)
	}
}

// configuredServices reports, for each service of a known server, whether it is configured.
func (t *table) configuredServices() map[string]bool {
	configured := map[string]bool{}
	for service := range t.listings {
		configured[service] = t.isConfigured(service)
	}
	return configured
}
