package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/telemetry/event"
)

const (
	// scanAge is how long one look at all engines is used: the requests of a
	// daemon that died come back within about a second of each other.
	scanAge = 500 * time.Millisecond
	// scanTimeout bounds the look: reading a prompt anew takes a second. A request whose
	// prompt is found does not wait for the rest. It is shorter than scanAge, so that a
	// daemon makes one look at a service at a time.
	scanTimeout = 400 * time.Millisecond
	// scanBytes is what a look reads of all answers. With their headers that is a tenth
	// of a second of a link of 10 Mbit/s; 120 answers of 0.5 KB are 60 KB.
	scanBytes = 100_000
	// scanAnswer is what is read of one answer; a longer one is of no use. Each is taken to
	// be as long until the first is there: eight engines are asked at once then.
	scanAnswer = scanBytes / 8
	// maxScanned is how many engines a service may have for all to be asked. Of more only
	// those of the prompt's window are.
	maxScanned = 160
)

// locator finds the engine that still holds a prompt which another daemon, or
// this one before a restart, had sent there.
//
// The failure it answers: a daemon dies, its callers go on with their streams at
// other daemons, which know nothing of the runs. Sent to an engine by load
// alone, each prompt is read a second time; after the loss of all daemons that
// is a second of work of every engine, all at once.
//
// The failure it must not become: the streams of a daemon share its link with the look. Where
// the answers fill the link, all streams fall silent together and are given up after
// takeover.WithCopy; their callers come back at other daemons, which look too, so it spreads
// until answers are cut for want of repeats. It holds because an answer grows with what an
// engine holds and not with how long it has run, and because no more engines are asked than
// scanBytes affords where all hold about as much; of one that holds more scanAnswer is read.
type locator struct {
	h     *Handler
	mu    sync.Mutex
	scans map[string]*scan // by service
}

// scan is one look at the caches of a service's engines.
type scan struct {
	startedAt time.Time
	mu        sync.Mutex
	holders   map[string][]routing.Incarnation // by part
	finished  bool
	updated   chan struct{} // closed and replaced with each answer, and at the end
}

func newScan(now time.Time) *scan {
	return &scan{startedAt: now, holders: map[string][]routing.Incarnation{}, updated: make(chan struct{})}
}

// holdersOf returns the holders known of a part, whether more may come, and what is closed
// when there is news.
func (s *scan) holdersOf(part string) (holders []routing.Incarnation, ended bool, news <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holders[part], s.finished, s.updated
}

// add records what one engine holds.
func (s *scan) add(life routing.Incarnation, parts []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, part := range parts {
		s.holders[part] = append(s.holders[part], life)
	}
	s.wake()
}

// finish says that no more comes.
func (s *scan) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finished = true
	s.wake()
}

// wake tells those that wait; s.mu is held.
func (s *scan) wake() {
	close(s.updated)
	s.updated = make(chan struct{})
}

func newLocator(h *Handler) *locator { return &locator{h: h, scans: map[string]*scan{}} }

// holders returns the engines that hold part, as soon as one is known.
func (l *locator) holders(ctx context.Context, service, part string) []routing.Incarnation {
	s := l.scan(service, part)
	for {
		holders, ended, news := s.holdersOf(part)
		if len(holders) > 0 || ended {
			return holders
		}
		select {
		case <-news:
		case <-ctx.Done():
			return nil
		}
	}
}

// scan returns a look that is recent, or begins one.
func (l *locator) scan(service, part string) *scan {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	view := l.h.opts.Feed.View()
	if servers, few := l.h.pool.mayHold(view, service, part); few {
		s := newScan(now)
		go l.runScan(service, s, servers)
		return s
	}
	if s := l.scans[service]; s != nil && now.Sub(s.startedAt) < scanAge {
		return s
	}
	s := newScan(now)
	l.scans[service] = s
	go l.runScan(service, s, view.Servers[service])
	return s
}

func (l *locator) runScan(service string, s *scan, servers []routing.Server) {
	defer s.finish()
	l.h.metrics.cacheScans.Inc()
	ctx, cancel := context.WithTimeout(context.Background(), scanTimeout)
	defer cancel()
	answers := make(chan cacheAnswer, len(servers))
	ask := func(server routing.Server) {
		life, parts, bytes, err := l.h.readCache(ctx, server)
		if err == nil {
			s.add(life, parts) // an engine that does not answer holds nothing of use
		}
		answers <- cacheAnswer{bytes, err}
	}
	var cost scanProgress
	for _, i := range rand.Perm(len(servers)) { // no engine is left out each time
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

// cacheAnswer is what came of a question to one engine.
type cacheAnswer struct {
	bytes int // of the answer's body, as far as it arrived
	err   error
}

// scanProgress is what a look has taken so far. Engines that are not asked would have been too much.
type scanProgress struct {
	asked    int
	answered int
	failed   int
	timeouts int // of those that failed: no answer when the look ended
	bytes    int // of all answers
	largest  int // of the answers, in bytes
}

// pending are the questions without an answer.
func (l *scanProgress) pending() int { return l.asked - l.answered - l.failed }

// canAsk reports whether one more engine may be asked: the answers that are on their way
// are taken to be as large as the largest so far.
func (l *scanProgress) canAsk() bool {
	size := scanAnswer
	if l.answered > 0 {
		size = l.largest
	}
	return l.bytes+(l.pending()+1)*size <= scanBytes
}

func (l *scanProgress) add(one cacheAnswer) {
	l.bytes += one.bytes
	l.largest = max(l.largest, one.bytes)
	if one.err == nil {
		l.answered++
		return
	}
	l.failed++
	if errors.Is(one.err, context.DeadlineExceeded) {
		l.timeouts++
	}
}

// errLong means that an engine holds more than is read of its answer.
var errLong = errors.New("forward: the engine holds too much to tell")

// cachedParts asks an engine what it holds, and which of its lives holds that.
func (h *Handler) cachedParts(ctx context.Context, server routing.Server) (routing.Incarnation, []string, error) {
	life, parts, _, err := h.readCache(ctx, server)
	return life, parts, err
}

// readCache is cached, and says how many bytes of the answer arrived.
func (h *Handler) readCache(ctx context.Context, server routing.Server) (life routing.Incarnation, parts []string, bytes int, err error) {
	life = server.Incarnation()
	body, err := h.callServerUpTo(ctx, scanAnswer, http.MethodGet, server, h.opts.Codec.CachePath(), nil)
	h.metrics.cacheBytes.Add(float64(len(body)))
	if err != nil {
		return life, nil, len(body), err
	}
	if len(body) >= scanAnswer {
		return life, nil, len(body), errLong
	}
	cache, err := h.opts.Codec.Cache(body)
	if err != nil {
		h.recordUnreadable(server, err)
		return life, nil, len(body), err
	}
	switch h.observeIncarnation(server, cache.Born) {
	case lifeBefore:
		return life, nil, len(body), nil
	case lifeAfter:
		life.StartedAtMS = cache.Born
	}
	return life, cache.PromptKeys, len(body), nil
}
