package feed

import (
	"maps"
	"slices"
)

// view builds a View of the usable state: the servers of configured services, one at each address,
// the entry VMs, the refused requests and the roll-outs. Parts that have not changed are those of
// the previous view.
func (t *table) view() *View {
	v := &View{Config: t.config, Servers: make(map[string]*ServerList, len(t.listings)), departed: t.departed.Copy()}
	for service, l := range t.listings {
		if l.byID.Len() > 0 {
			v.Servers[service] = l.publish()
		}
	}
	if t.vmsChanged {
		for _, key := range slices.Sorted(maps.Keys(t.vms)) {
			v.VMs = append(v.VMs, t.vms[key])
		}
		v.watchPlan = newWatchPlan(v.VMs)
	} else {
		v.VMs, v.watchPlan = t.published.VMs, t.published.watchPlan
	}
	if t.refusedChanged {
		v.Refused = make(map[string]RefusedRequest, len(t.refusedRequests))
		for _, r := range t.refusedRequests {
			v.Refused[r.Digest] = r
		}
	} else {
		v.Refused = t.published.Refused
	}
	v.Rollouts = maps.Clone(t.rollouts)
	t.published, t.vmsChanged, t.refusedChanged = v, false, false
	return v
}
