package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/telemetry/event"
)

const (
	// scanMaxAge is how long a scan of all engines is reused: the requests of a daemon that died
	// are retried within about a second of each other.
	scanMaxAge = 500 * time.Millisecond
	// scanTimeout bounds a scan, since repeating a prefill takes only a second. A request whose
	// prompt is found does not wait for the rest. The timeout is shorter than scanMaxAge, so that a
	// daemon runs one scan of all engines of a service at a time.
	scanTimeout = 400 * time.Millisecond
	// scanBudgetBytes bounds what a scan reads of all answers. With their headers that takes a
	// tenth of a second on a 10 Mbit/s link; 120 answers of 0.5 KB add up to 60 KB.
	scanBudgetBytes = 100_000
	// maxCacheReplyBytes bounds what is read of one answer; a longer answer is not used. Each
	// answer is assumed to have this size until the first one arrives, so a scan starts with eight
	// engines at once.
	maxCacheReplyBytes = scanBudgetBytes / 8
	// maxScannedEngines is the number of engines up to which all engines of a service are scanned.
	// In a larger service only the prompt's placement window is scanned.
	maxScannedEngines = 160
)

// locator finds the engine that still caches a prompt sent there by another daemon, or by this one
// before a restart.
//
// It guards against repeated prefills: a daemon dies, and its callers resume their streams at other
// daemons, which know nothing of the runs. If each prompt went to the least loaded engine, all
// would be prefilled a second time; after the loss of all daemons that costs every engine a second
// of work at once.
//
// A scan must not disturb the daemon's streams, which share its link. If the answers saturated the
// link, all streams would fall silent together and be given up after the silence timeout; their
// callers would retry at other daemons, which scan as well, so the failure would spread until
// answers are cut for lack of retry budget. Scans stay small because the size of an answer depends
// on what the engine caches and not on its uptime, because a scan asks no more engines than
// scanBudgetBytes covers where all cache about as much, and because no more than maxCacheReplyBytes
// is read of an engine that caches more.
type locator struct {
	h     *Handler
	mu    sync.Mutex
	scans map[string]*scan // by service
}

// scan is one scan of the caches of a service's engines.
type scan struct {
	startedAt time.Time
	mu        sync.Mutex
	holders   map[string][]routing.Incarnation // by part
	finished  bool
	updated   chan struct{} // closed and replaced after each answer and at the end
}

func newScan(now time.Time) *scan {
	return &scan{startedAt: now, holders: map[string][]routing.Incarnation{}, updated: make(chan struct{})}
}

// holdersOf returns the engines found to cache a part, whether the scan has finished, and a channel
// that is closed on the next update.
func (s *scan) holdersOf(part string) (holders []routing.Incarnation, finished bool, updated <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holders[part], s.finished, s.updated
}

// add records the parts that one engine caches.
func (s *scan) add(incarnation routing.Incarnation, parts []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, part := range parts {
		s.holders[part] = append(s.holders[part], incarnation)
	}
	s.notify()
}

// finish marks the scan as complete.
func (s *scan) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finished = true
	s.notify()
}

// notify wakes the waiting requests; s.mu is held.
func (s *scan) notify() {
	close(s.updated)
	s.updated = make(chan struct{})
}

func newLocator(h *Handler) *locator { return &locator{h: h, scans: map[string]*scan{}} }

// holders returns the engines that cache part, as soon as one is known.
func (l *locator) holders(ctx context.Context, service, part string) []routing.Incarnation {
	s := l.scanFor(service, part)
	for {
		holders, finished, updated := s.holdersOf(part)
		if len(holders) > 0 || finished {
			return holders
		}
		select {
		case <-updated:
		case <-ctx.Done():
			return nil
		}
	}
}

// scanFor returns a recent scan of all engines of the service, or starts one. Where the service uses
// placement windows, it starts a scan of the window of this prompt.
func (l *locator) scanFor(service, part string) *scan {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	view := l.h.opts.Feed.View()
	if servers, windowed := l.h.pool.cacheScanTargets(view, service, part); windowed {
		s := newScan(now)
		go l.runScan(service, s, servers)
		return s
	}
	if s := l.scans[service]; s != nil && now.Sub(s.startedAt) < scanMaxAge {
		return s
	}
	s := newScan(now)
	l.scans[service] = s
	go l.runScan(service, s, slices.Collect(view.Servers[service].All()))
	return s
}

func (l *locator) runScan(service string, s *scan, servers []routing.Server) {
	defer s.finish()
	l.h.metrics.cacheScans.Inc()
	ctx, cancel := context.WithTimeout(context.Background(), scanTimeout)
	defer cancel()
	answers := make(chan cacheReply, len(servers))
	ask := func(server routing.Server) {
		incarnation, parts, bytes, err := l.h.fetchCache(ctx, server)
		if err == nil {
			s.add(incarnation, parts) // an engine that does not answer is of no use
		}
		answers <- cacheReply{bytes, err}
	}
	var cost scanProgress
	for _, i := range rand.Perm(len(servers)) { // random order, so that no engine is always left out
		for !cost.canAsk() && cost.pending() > 0 {
			cost.add(<-answers)
		}
		if !cost.canAsk() {
			break
		}
		cost.asked++
		go ask(servers[i])
	}
	for cost.pending() > 0 {
		cost.add(<-answers)
	}
	l.h.opts.Log.Emit(event.CachesRead, service, cost.asked, cost.answered, cost.timeouts, cost.bytes, time.Since(s.startedAt))
}

// cacheReply is the result of asking one engine for its cached parts.
type cacheReply struct {
	bytes int // of the answer's body that arrived
	err   error
}

// scanProgress tracks the cost of a scan. Engines that would exceed the budget are not asked.
type scanProgress struct {
	asked    int
	answered int
	failed   int
	timeouts int // failures without an answer by the end of the scan
	bytes    int // of all answers
	largest  int // size of the largest answer, in bytes
}

// pending returns the number of engines that have not answered yet.
func (p *scanProgress) pending() int { return p.asked - p.answered - p.failed }

// canAsk reports whether the budget allows asking one more engine, assuming that every pending
// answer is as large as the largest so far.
func (p *scanProgress) canAsk() bool {
	size := maxCacheReplyBytes
	if p.answered > 0 {
		size = p.largest
	}
	return p.bytes+(p.pending()+1)*size <= scanBudgetBytes
}

func (p *scanProgress) add(reply cacheReply) {
	p.bytes += reply.bytes
	p.largest = max(p.largest, reply.bytes)
	if reply.err == nil {
		p.answered++
		return
	}
	p.failed++
	if errors.Is(reply.err, context.DeadlineExceeded) {
		p.timeouts++
	}
}

// cachedParts asks an engine which prompt parts it caches, and returns its incarnation as well.
func (h *Handler) cachedParts(ctx context.Context, server routing.Server) (routing.Incarnation, []string, error) {
	incarnation, parts, _, err := h.fetchCache(ctx, server)
	return incarnation, parts, err
}

// fetchCache does the same as cachedParts and also returns how many bytes of the answer arrived.
func (h *Handler) fetchCache(ctx context.Context, server routing.Server) (incarnation routing.Incarnation, parts []string, bytes int, err error) {
	incarnation = server.Incarnation()
	body, err := h.callServerUpTo(ctx, maxCacheReplyBytes, http.MethodGet, server, h.opts.Codec.CachePath(), nil)
	h.metrics.cacheBytes.Add(float64(len(body)))
	if err != nil {
		return incarnation, nil, len(body), err
	}
	cache, err := h.opts.Codec.Cache(body)
	if err != nil {
		h.recordUnreadable(server, err)
		return incarnation, nil, len(body), err
	}
	switch h.observeIncarnation(server, cache.Born) {
	case incarnationOlder:
		return incarnation, nil, len(body), nil
	case incarnationNewer:
		incarnation.StartedAtMS = cache.Born
	}
	return incarnation, cache.PromptKeys, len(body), nil
}
