package feed

import (
	"maps"
	"slices"

	"github.com/pkg/errors"

	"mallowwind.dev/control/routing"
)

// view returns what may be used of the table: servers of services that the configuration
// names, one at each address, and the entry VMs.
func (t *table) view() *View {
	v := &View{Config: t.config, Servers: map[string][]routing.Server{}}
	v.departed = maps.Clone(t.departed)
	holders := t.holders()
	for _, id := range slices.Sorted(maps.Keys(t.servers)) {
		s := t.servers[id]
		if !t.named(s.Service) {
			t.refuse(id, errors.Errorf("field service is %q, which the configuration does not name", s.Service))
			continue
		}
		delete(t.refusals, id)
		if holders[s.Address] != id {
			continue
		}
		v.Servers[s.Service] = append(v.Servers[s.Service], s)
	}
	for _, key := range slices.Sorted(maps.Keys(t.vms)) {
		v.VMs = append(v.VMs, t.vms[key])
	}
	v.Refused = make(map[string]RefusedRequest, len(t.barred))
	for _, r := range t.barred {
		v.Refused[r.Digest] = r
	}
	v.Rollouts = maps.Clone(t.rollouts)
	v.plan = planOf(v.VMs)
	return v
}

// named reports whether the configuration knows a service; before the first all are.
func (t *table) named(service string) bool {
	return t.config == nil || t.config.Service(service) != nil
}

// holders returns the newest server at each address. The entry of one that
// crashed stays for seconds after its successor wrote its own; what is sent
// there by the old entry is turned away. An entry of a service that nobody has
// configured takes no address from a server that is in use.
func (t *table) holders() map[string]string {
	holders := make(map[string]string, len(t.servers))
	for id, s := range t.servers {
		if !t.named(s.Service) {
			continue
		}
		other, taken := holders[s.Address]
		if !taken || t.written[id] > t.written[other] {
			holders[s.Address] = id
		}
	}
	return holders
}
