package forward

import (
	"context"
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
	// scanTimeout bounds the look. The answers of 120 engines, 2.5 KB each, take 240 ms
	// on a link of 10 Mbit/s; reading a prompt anew takes a second. A request whose prompt
	// is found does not wait for the rest.
	scanTimeout = 400 * time.Millisecond
	// maxScanned is how many engines are asked at most. Asking 120 takes a small VM
	// a tenth of a second of its processor; beyond, a prompt is read again instead.
	maxScanned = 160
)

// locator finds the engine that still holds a prompt which another daemon, or
// this one before a restart, had sent there.
//
// The failure it answers: a daemon dies, its callers go on with their streams at
// other daemons, which know nothing of the runs. Sent to an engine by load
// alone, each prompt is read a second time; after the loss of all daemons that
// is a second of work of every engine, all at once.
type locator struct {
	h     *Handler
	mu    sync.Mutex
	scans map[string]*scan // by service
}

// scan is one look at the caches of a service's engines.
type scan struct {
	at      time.Time
	mu      sync.Mutex
	holders map[string][]routing.Life // by part
	ended   bool
	changed chan struct{} // closed and replaced with each answer, and at the end
}

func newScan(now time.Time) *scan {
	return &scan{at: now, holders: map[string][]routing.Life{}, changed: make(chan struct{})}
}

// find returns the holders known of a part, whether more may come, and what is closed
// when there is news.
func (s *scan) find(part string) (holders []routing.Life, ended bool, news <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holders[part], s.ended, s.changed
}

// add records what one engine holds.
func (s *scan) add(life routing.Life, parts []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, part := range parts {
		s.holders[part] = append(s.holders[part], life)
	}
	s.wake()
}

// end says that no more comes.
func (s *scan) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.wake()
}

// wake tells those that wait; s.mu is held.
func (s *scan) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func newLocator(h *Handler) *locator { return &locator{h: h, scans: map[string]*scan{}} }

// holders returns the engines that hold part, as soon as one is known.
func (l *locator) holders(ctx context.Context, service, part string) []routing.Life {
	s := l.scan(service)
	for {
		holders, ended, news := s.find(part)
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
func (l *locator) scan(service string) *scan {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if s := l.scans[service]; s != nil && now.Sub(s.at) < scanAge {
		return s
	}
	s := newScan(now)
	l.scans[service] = s
	servers := l.h.opts.Feed.View().Servers[service]
	if len(servers) > maxScanned {
		s.end()
		return s
	}
	go l.look(service, s, servers)
	return s
}

func (l *locator) look(service string, s *scan, servers []routing.Server) {
	defer s.end()
	l.h.metrics.scans.Inc()
	cost := looked{asked: len(servers)}
	defer func() {
		l.h.opts.Log.Emit(event.CachesRead, service, cost.asked, cost.answered, cost.late, cost.bytes, time.Since(s.at))
	}()
	ctx, cancel := context.WithTimeout(context.Background(), scanTimeout)
	defer cancel()
	var all sync.WaitGroup
	for _, server := range servers {
		all.Go(func() {
			life, parts, bytes, err := l.h.readCache(ctx, server)
			cost.add(bytes, err)
			if err != nil {
				return // an engine that does not answer holds nothing of use
			}
			s.add(life, parts)
		})
	}
	all.Wait()
}

// looked is what a look took.
type looked struct {
	asked int // engines

	mu       sync.Mutex
	answered int
	late     int // had not answered when the look ended
	bytes    int // of the answers' bodies, as far as they arrived
}

func (l *looked) add(bytes int, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytes += bytes
	switch {
	case err == nil:
		l.answered++
	case errors.Is(err, context.DeadlineExceeded):
		l.late++
	}
}

// cached asks an engine what it holds, and which of its lives holds that.
func (h *Handler) cached(ctx context.Context, server routing.Server) (routing.Life, []string, error) {
	life, parts, _, err := h.readCache(ctx, server)
	return life, parts, err
}

// readCache is cached, and says how many bytes of the answer arrived.
func (h *Handler) readCache(ctx context.Context, server routing.Server) (life routing.Life, parts []string, bytes int, err error) {
	life = server.Life()
	body, err := h.ask(ctx, server, h.opts.Codec.CachePath())
	h.metrics.cacheBytes.Add(float64(len(body)))
	if err != nil {
		return life, nil, len(body), err
	}
	cache, err := h.opts.Codec.Cache(body)
	if err != nil {
		h.unreadable(server, err)
		return life, nil, len(body), err
	}
	switch h.said(server, cache.Born) {
	case lifeBefore:
		return life, nil, len(body), nil
	case lifeAfter:
		life.Born = cache.Born
	}
	return life, cache.Parts, len(body), nil
}
