package promptqueue

import (
	"cmp"
	"time"
)

const (
	// remoteTTL is how long a tracker remembers a prompt after its last query. It exceeds the longest
	// interval between two looks, so that a prompt keeps its place between them, and is short, so
	// that the prompt of a daemon that was killed does not keep an engine empty for long.
	remoteTTL = time.Duration((1+lookJitterRatio/2)*float64(maxLookInterval)) + 200*time.Millisecond
	// urgentSlack is the slack below which a prompt comes before others of its rank. A prompt with more
	// looks for room so rarely that engines would stay empty for it, and it can take a later one.
	urgentSlack = looksPerSlack * minLookInterval
	// maxRemotePrompts bounds the prompts that a tracker remembers. A daemon queries for one prompt
	// of each service at a time, so that a thousand daemons with a few services stay below it.
	maxRemotePrompts = 4096
	// maxRemoteEngines bounds the engines of one prompt: the candidates of a prompt are ten.
	maxRemoteEngines = 64
)

// RemotePrompt is a waiting prompt as its daemon states it to the trackers of its candidate engines.
type RemotePrompt struct {
	Daemon, ID  string
	Rank        int
	LatestStart time.Time
}

// key identifies a prompt: a caller may retry a request at another daemon while the first one still
// has it.
type key struct{ daemon, id string }

func (p *RemotePrompt) key() key { return key{p.Daemon, p.ID} }

// before reports whether a prompt ranks before another one: if it is more urgent, or of the same rank
// and has the least slack, provided that this is less than urgentSlack.
func (p *RemotePrompt) before(now time.Time, other *RemotePrompt) bool {
	if p.Rank != other.Rank {
		return p.Rank < other.Rank
	}
	return p.LatestStart.Sub(now) < urgentSlack && cmp.Or(p.LatestStart.Compare(other.LatestStart),
		cmp.Compare(p.ID, other.ID), cmp.Compare(p.Daemon, other.Daemon)) < 0
}

// remote is a prompt with its candidate engines and the time of its last query.
type remote[K comparable] struct {
	RemotePrompt
	engines []K
	seen    time.Time
}

// Table holds the waiting prompts of all daemons at the engines that one daemon tracks. K identifies
// an incarnation of an engine. The zero value is empty. It is not safe for concurrent use.
type Table[K comparable] struct {
	prompts   map[key]*remote[K]
	engines   map[K][]*remote[K]
	lastSweep time.Time
}

// Update records that a prompt looks for room at the given engines, in place of those of its last
// query. Without engines, the prompt is forgotten: it has started or no longer waits.
func (t *Table[K]) Update(now time.Time, p RemotePrompt, engines []K) {
	t.sweep(now)
	if old := t.prompts[p.key()]; old != nil {
		t.forget(old)
	}
	if len(engines) == 0 || len(engines) > maxRemoteEngines || len(t.prompts) >= maxRemotePrompts {
		return
	}
	if t.prompts == nil {
		t.prompts, t.engines = map[key]*remote[K]{}, map[K][]*remote[K]{}
	}
	r := &remote[K]{RemotePrompt: p, engines: engines, seen: now}
	t.prompts[p.key()] = r
	for _, engine := range engines {
		t.engines[engine] = append(t.engines[engine], r)
	}
}

// Ahead returns the number of prompts of other daemons at an engine that rank before p. A nil p
// stands for a prompt of the daemon that has not waited yet: it comes after all that wait.
func (t *Table[K]) Ahead(now time.Time, engine K, daemon string, p *RemotePrompt) (n int) {
	for _, r := range t.engines[engine] {
		if r.Daemon != daemon && now.Sub(r.seen) < remoteTTL && (p == nil || r.before(now, p)) {
			n++
		}
	}
	return n
}

// Len returns the number of remembered prompts.
func (t *Table[K]) Len() int { return len(t.prompts) }

func (t *Table[K]) forget(r *remote[K]) {
	delete(t.prompts, r.key())
	for _, engine := range r.engines {
		list := t.engines[engine]
		for i, other := range list {
			if other == r {
				list[i] = list[len(list)-1]
				list[len(list)-1] = nil
				list = list[:len(list)-1]
				break
			}
		}
		if len(list) == 0 {
			delete(t.engines, engine)
		} else {
			t.engines[engine] = list
		}
	}
}

// sweep forgets the prompts of daemons that no longer query for them.
func (t *Table[K]) sweep(now time.Time) {
	if now.Sub(t.lastSweep) < remoteTTL {
		return
	}
	t.lastSweep = now
	for _, r := range t.prompts {
		if now.Sub(r.seen) >= remoteTTL {
			t.forget(r)
		}
	}
}
