package forward

import (
	"maps"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
)

// pruneSuccessors drops the successors of incarnations that the view no longer lists.
func (p *pool) pruneSuccessors() {
	before := len(p.successors)
	maps.DeleteFunc(p.successors, func(old, _ routing.Incarnation) bool { return !lists(p.view, old) })
	if len(p.successors) != before {
		p.successorChanges++
	}
}

// lists reports whether a view lists an incarnation of a server.
func lists(view *feed.View, incarnation routing.Incarnation) bool {
	s, ok := view.Server(incarnation.ID)
	return ok && s.Incarnation() == incarnation
}

// recordSuccessor records that a server of the view was replaced by a new one at its address. The
// view shows this later, or not at all during a store outage. Until then requests would ask for
// replicas and prompts of the old server in vain, and if the id has changed, every request to that
// address would be rejected.
func (p *pool) recordSuccessor(view *feed.View, old, next routing.Incarnation) {
	snapshot := p.versions.Snapshot(view)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.successors[p.listedIncarnation(old)] = next
	p.successorChanges++
	p.updateView(view, snapshot)
}

// recordRestart records that a server has a newer incarnation under its id, and reports whether
// that was unknown.
func (p *pool) recordRestart(view *feed.View, old, next routing.Incarnation) bool {
	snapshot := p.versions.Snapshot(view)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateView(view, snapshot)
	listed := p.listedIncarnation(old)
	if known, ok := p.successors[listed]; ok && known.ID == next.ID && known.StartedAtMS >= next.StartedAtMS {
		return false
	}
	if s, ok := view.Server(next.ID); ok && s.StartedAtMS >= next.StartedAtMS {
		return false // the view already lists it
	}
	p.successors[listed] = next
	p.successorChanges++
	return true
}

// listedIncarnation returns the incarnation of a server that the view lists: the given one or its
// predecessor.
func (p *pool) listedIncarnation(incarnation routing.Incarnation) routing.Incarnation {
	for old, next := range p.successors {
		if next == incarnation {
			return old
		}
	}
	return incarnation
}
