package forward

import (
	"context"
	"sync"
	"time"

	"mallowwind.dev/control/routing"
)

const (
	// scanAge is how long one look at all engines is used: the requests of a
	// daemon that died come back within about a second of each other.
	scanAge = 500 * time.Millisecond
	// scanTimeout bounds the look. It is several round trips, and far below the
	// second that reading a prompt anew takes.
	scanTimeout = 120 * time.Millisecond
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
	done    chan struct{}
	mu      sync.Mutex
	holders map[string][]string // server ids by part
}

func newLocator(h *Handler) *locator { return &locator{h: h, scans: map[string]*scan{}} }

// holders returns the ids of the engines that hold part.
func (l *locator) holders(ctx context.Context, service, part string) []string {
	s := l.scan(service)
	select {
	case <-s.done:
	case <-ctx.Done():
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holders[part]
}

// scan returns a look that is recent, or begins one.
func (l *locator) scan(service string) *scan {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if s := l.scans[service]; s != nil && now.Sub(s.at) < scanAge {
		return s
	}
	s := &scan{at: now, done: make(chan struct{}), holders: map[string][]string{}}
	l.scans[service] = s
	servers := l.h.opts.Feed.View().Servers[service]
	if len(servers) > maxScanned {
		close(s.done)
		return s
	}
	go l.look(s, servers)
	return s
}

func (l *locator) look(s *scan, servers []routing.Server) {
	defer close(s.done)
	l.h.metrics.scans.Inc()
	ctx, cancel := context.WithTimeout(context.Background(), scanTimeout)
	defer cancel()
	var all sync.WaitGroup
	for _, server := range servers {
		all.Go(func() {
			parts, err := l.h.cached(ctx, server)
			if err != nil {
				return // an engine that does not answer holds nothing of use
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			for _, part := range parts {
				s.holders[part] = append(s.holders[part], server.ID)
			}
		})
	}
	all.Wait()
}

// cached asks an engine what it holds.
func (h *Handler) cached(ctx context.Context, server routing.Server) ([]string, error) {
	body, err := h.ask(ctx, server, h.opts.Codec.CachePath())
	if err != nil {
		return nil, err
	}
	return h.opts.Codec.CacheParts(body)
}
