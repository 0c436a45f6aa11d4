package feed

import (
	"maps"
	"slices"

	"github.com/pkg/errors"

	"mallowwind.dev/control/routing"
)

// view builds a View of the usable state: the servers of configured services, one at each address,
// the entry VMs, the refused requests and the roll-outs.
func (t *table) view() *View {
	v := &View{Config: t.config, Servers: map[string][]routing.Server{}}
	v.departed = maps.Clone(t.departed)
	byAddress := t.serversByAddress()
	for _, id := range slices.Sorted(maps.Keys(t.servers)) {
		s := t.servers[id]
		if !t.isConfigured(s.Service) {
			t.reject(id, errors.Errorf("field service is %q, which the configuration does not name", s.Service))
			continue
		}
		delete(t.rejections, id)
		if byAddress[s.Address] != id {
			continue
		}
		v.Servers[s.Service] = append(v.Servers[s.Service], s)
	}
	for _, key := range slices.Sorted(maps.Keys(t.vms)) {
		v.VMs = append(v.VMs, t.vms[key])
	}
	v.Refused = make(map[string]RefusedRequest, len(t.refusedRequests))
	for _, r := range t.refusedRequests {
		v.Refused[r.Digest] = r
	}
	v.Rollouts = maps.Clone(t.rollouts)
	v.watchPlan = newWatchPlan(v.VMs)
	return v
}

// isConfigured reports whether the configuration contains a service. Before the first
// configuration, every service counts as configured.
func (t *table) isConfigured(service string) bool {
	return t.config == nil || t.config.Service(service) != nil
}

// serversByAddress returns the id of the newest server at each address. The entry of a crashed
// server remains for seconds after its successor wrote its own, and the successor rejects requests
// that are sent by the old entry. Servers of services that are not configured are skipped, so that
// they take no address from a server in use.
func (t *table) serversByAddress() map[string]string {
	byAddress := make(map[string]string, len(t.servers))
	for id, s := range t.servers {
		if !t.isConfigured(s.Service) {
			continue
		}
		other, taken := byAddress[s.Address]
		if !taken || t.firstRevisions[id] > t.firstRevisions[other] {
			byAddress[s.Address] = id
		}
	}
	return byAddress
}
