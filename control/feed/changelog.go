package feed

import (
	"strings"
	"time"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/telemetry/event"
)

const (
	// changeLogInterval is the least time between two log lines of changed servers. A line for each
	// server at each daemon grows with the square of a site.
	changeLogInterval = time.Second
	// maxDescribedServers bounds the servers that one line describes.
	maxDescribedServers = 8
)

// changeLog collects the changes of servers between two log lines.
type changeLog struct {
	seen, leaving, gone, kept int
	first                     []string
	loggedAt                  time.Duration
}

func (c *changeLog) isPending() bool { return c.seen+c.gone > 0 }

// recordSeen records a server that registered or changed its entry.
func (c *changeLog) recordSeen(s routing.Server) {
	c.seen++
	what := "ready"
	if s.Draining {
		c.leaving++
		what = "leaving"
	}
	c.describe(s, what)
}

// recordGone records a server whose entry was removed; kept says that it stays usable for now.
func (c *changeLog) recordGone(s routing.Server, kept bool) {
	c.gone++
	if kept {
		c.kept++
	}
	c.describe(s, "gone")
}

func (c *changeLog) describe(s routing.Server, what string) {
	if len(c.first) < maxDescribedServers {
		c.first = append(c.first, strings.Join([]string{s.ID, what, s.Service, s.Version, s.Zone, s.Address}, " "))
	}
}

// flush logs the collected changes if the last line is long enough ago.
func (c *changeLog) flush(now time.Duration, log *event.Log) {
	if !c.isPending() || c.loggedAt != 0 && now-c.loggedAt < changeLogInterval {
		return
	}
	log.Emit(event.ServersChanged, c.seen, c.leaving, c.gone, c.kept, c.first)
	*c = changeLog{loggedAt: now}
}
