package backends

import "time"

// Config bounds what a Manager spends and how old its picture may get.
type Config struct {
	// ListInterval is the time between two reads of the VM list by a daemon that
	// reads it for its zone.
	ListInterval time.Duration
	// NonReaderListInterval is the time between two reads by the other daemons, which learn
	// of changes from the readers.
	NonReaderListInterval time.Duration
	// ReadersPerZone is how many daemons of a zone read the list for the others.
	ReadersPerZone int
	// ListTimeout bounds one read of the list.
	ListTimeout time.Duration
	// MinPollInterval is the time between two polls of a backend server whose state
	// is changing: one never polled, unreachable, or loading.
	MinPollInterval time.Duration
	// StatusTimeout bounds one poll.
	StatusTimeout time.Duration
	// PollsPerSecond bounds the polls of backend servers in a steady state.
	PollsPerSecond float64
	// MaxConcurrentPolls bounds polls in flight, so that a zone of silent backend servers
	// does not collect a goroutine and a connection each.
	MaxConcurrentPolls int
	// LocalSubsetSize and Far bound the subset of each pool in this daemon's zone and in
	// all other zones together.
	LocalSubsetSize, RemoteSubsetSize int
	// DaemonsPerBackend is how many daemons of a zone should know each backend server of
	// it; the subset grows above Near while the zone has too few daemons.
	DaemonsPerBackend int
	// RemovedRetention is how long a backend server that left the list stays known as
	// leaving, so that its running work can still be followed and cancelled.
	RemovedRetention time.Duration
	// JitterRatio is the share by which every interval varies around its length.
	JitterRatio float64
}

// DefaultConfig returns the values in use.
//
// The bound of the drain rule follows from ListEvery, Jitter and ListTimeout:
// a backend server that the list shows as leaving gets no new work after
// DrainBound. Reading the list costs about 310 KB at 2,290 VMs, so at that
// size three daemons of a zone read it each second, mostly to be told that it
// has not changed, and pass changes on; the others read it whole every quarter
// of an hour in case news was lost. With three daemons in a zone all read. A
// steady poll costs about 0.4 KB, and the bytes of all control
// are to stay under 2 KB a second, so one a second is left for them.
func DefaultConfig() Config {
	return Config{
		ListInterval:          time.Second,
		NonReaderListInterval: 15 * time.Minute,
		ReadersPerZone:        3,
		ListTimeout:           time.Second,
		MinPollInterval:       2 * time.Second,
		StatusTimeout:         time.Second,
		PollsPerSecond:        1,
		MaxConcurrentPolls:    16,
		LocalSubsetSize:       12,
		RemoteSubsetSize:      8,
		DaemonsPerBackend:     8,
		RemovedRetention:      10 * time.Minute,
		JitterRatio:           0.2,
	}
}

// newsTime is how long news of a change takes to reach every daemon from a
// reader, by membership's exchanges, which take about a tenth of it.
const newsTime = 2 * time.Second

// DrainBound is the longest time between the platform's list showing a
// backend server as leaving and this daemon giving it no new work, while the
// list answers.
func (c Config) DrainBound() time.Duration {
	return c.longest(c.ListInterval) + c.ListTimeout + newsTime
}

// RemovalBound is the same for a backend server that the list no longer shows
// at all; absence counts after two reads.
func (c Config) RemovalBound() time.Duration { return 2 * c.DrainBound() }

func (c Config) longest(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + c.JitterRatio))
}
