package process

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

// Sort is what a run plays.
type Sort uint8

const (
	// RandomFaults is every fault, singly and together.
	RandomFaults Sort = iota
	// PlannedWork leaves out faults: only stops, changes of the configuration and
	// servers that leave, which must cut nothing.
	PlannedWork
	// HeldLinks is planned work with stops in a series, while the link of a daemon to
	// everything beside its callers and the store is held up for a moment at a time.
	// Nothing is lost, so nothing may be cut.
	HeldLinks
	// NarrowLinks is the same with links that carry little, and never held up
	// otherwise.
	NarrowLinks
)

// String returns the word used in reports.
func (s Sort) String() string {
	return [...]string{"random faults", "planned work", "held links", "narrow links"}[s]
}

// ownLinks reports whether each daemon has a link of its own.
func (s Sort) ownLinks() bool { return s == HeldLinks || s == NarrowLinks }

// cutsNothing reports whether no answer that a server makes may be cut.
func (s Sort) cutsNothing() bool { return s != RandomFaults }

// grace is the time between SIGTERM and SIGKILL. With links that delay answers it is
// longer than callers wait, so that no answer outlasts it.
func (s Sort) grace() time.Duration {
	if s.ownLinks() {
		return patience[callReview] + 2*time.Second
	}
	return 5 * time.Second
}

// slack is what the fleet may repeat beside its share of the requests. Five of ninety
// daemons that divide 150 have 8.
func (s Sort) slack() float64 {
	if s.ownLinks() {
		return 8
	}
	return 150
}

// eventLeast is the least time between two events of an answer.
const eventLeast = 20 * time.Millisecond

// pace is the time between two events of an answer.
func (s Sort) pace() time.Duration {
	if s.ownLinks() {
		return 3 * eventLeast
	}
	return eventLeast
}

// settle is how long callers go on after all is healed.
func (s Sort) settle() time.Duration {
	if s.ownLinks() {
		return 0
	}
	return settleTime
}

// habits of callers. Those that leave come back elsewhere with the id of the last event
// that they hold.
func (s Sort) habits() habits {
	if s.ownLinks() {
		return habits{reviews: 0.7, leaves: 0.25, within: 2 * time.Second, tries: 3}
	}
	return habits{leaves: 0.05, within: 400 * time.Millisecond, tries: 2}
}

// linkFaults are those of runs in which daemons have links of their own, beside the stops.
// Most are links held up, so that some of them meet a daemon with many answers under way.
var linkFaults = append(slices.Repeat([]fault{{"link held up", false, (*world).holdLink}}, 10),
	fault{"settings read again", true, (*world).hangUp},
	fault{"key removed", true, (*world).removeKey},
	fault{"server leaves", true, (*world).leave},
	fault{"route moved", true, (*world).moveRoute},
)

// draw is the next fault.
func (w *world) draw() fault {
	list := faults
	if w.opts.Sort.ownLinks() {
		list = linkFaults
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for {
		f := list[w.random.IntN(len(list))]
		if f.planned || w.opts.Sort == RandomFaults || w.opts.Sort == HeldLinks {
			return f
		}
	}
}

const (
	// A link is held up for a half to one and a half seconds, and then passes for a while.
	holdLeast = 500 * time.Millisecond
	holdMost  = 1500 * time.Millisecond
	holdPause = 500 * time.Millisecond
	// stopPause is the mean time between two stops; each takes three seconds.
	stopPause = 900 * time.Millisecond
	// stopsAtOnce leaves a daemon that serves.
	stopsAtOnce = daemonCount - 1
)

// uplink is a daemon's link: of any or, as often, of one that is not being stopped, which
// has most answers under way.
func (w *world) uplink() *uplink {
	w.mu.Lock()
	n, any := w.random.IntN(daemonCount), w.random.IntN(2) == 0
	w.mu.Unlock()
	for range daemonCount {
		if any || !w.daemons[n].stopping() {
			break
		}
		n = (n + 1) % daemonCount
	}
	return w.uplinks[n]
}

// holdLink holds up the link of a daemon.
func (w *world) holdLink(ctx context.Context) {
	u := w.uplink()
	d := holdLeast + w.upTo(holdMost-holdLeast)
	u.turn.Lock()
	defer u.turn.Unlock()
	u.hold(d)
	w.disturb(ctx, d+holdPause)
}

// stopInTurn stops one daemon after the other, round after round. The next is stopped
// while answers of those before are under way.
func (w *world) stopInTurn(ctx context.Context, began time.Time) {
	random := rand.New(rand.NewPCG(w.opts.Seed, 8))
	var stops errgroup.Group
	stops.SetLimit(stopsAtOnce)
	defer func() { _ = stops.Wait() }() // none returns an error
	for {
		for _, n := range random.Perm(len(w.daemons)) {
			time.Sleep(stopPause/2 + time.Duration(random.Int64N(int64(stopPause))))
			if time.Since(began) > w.opts.Length || ctx.Err() != nil {
				return
			}
			d := w.daemons[n]
			stops.Go(func() error {
				w.note("%6.2fs %s stopped", time.Since(began).Seconds(), d.settings.VM)
				w.stop(d)
				return nil
			})
		}
	}
}
