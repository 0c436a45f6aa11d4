package forward

import (
	"maps"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
)

// forgetSuccessors drops those whose predecessors are not in the view any more.
func (p *pool) forgetSuccessors() {
	listed := map[routing.Incarnation]bool{}
	for _, servers := range p.view.Servers {
		for _, s := range servers {
			listed[s.Incarnation()] = true
		}
	}
	maps.DeleteFunc(p.successors, func(old, _ routing.Incarnation) bool { return !listed[old] })
}

// recordSuccessor notes that a server of the view has started anew at its address. The view
// shows that later, and not at all while the store is out of reach: what the life
// before held would be asked for in vain, and where the id has changed every request
// to that address would be turned away.
func (p *pool) recordSuccessor(view *feed.View, old, next routing.Incarnation) {
	now := p.versions.Now(view)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.successors[p.listed(old)] = next
	p.view = nil // the layouts are built anew
	p.updateView(view, now)
}

// renewed notes that a server has begun another life under its id; it reports whether
// that was news.
func (p *pool) renewed(view *feed.View, old, next routing.Incarnation) bool {
	now := p.versions.Now(view)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateView(view, now)
	listed := p.listed(old)
	if known, ok := p.successors[listed]; ok && known.ID == next.ID && known.StartedAtMS >= next.StartedAtMS {
		return false
	}
	for _, servers := range view.Servers {
		for _, s := range servers {
			if s.ID == next.ID && s.StartedAtMS >= next.StartedAtMS {
				return false // the view shows it already
			}
		}
	}
	p.successors[listed] = next
	p.view = nil // the layouts are built anew
	p.updateView(view, now)
	return true
}

// listed is the life that the view shows of a server: its own or its predecessor's.
func (p *pool) listed(life routing.Incarnation) routing.Incarnation {
	for old, next := range p.successors {
		if next == life {
			return old
		}
	}
	return life
}
