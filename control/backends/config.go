package backends

import "time"

// Config bounds the load that a Manager causes and the age of its data.
type Config struct {
	// ListInterval is the time between two reads of the VM list by a daemon that reads it on behalf of
	// its zone.
	ListInterval time.Duration
	// NonReaderListInterval is the time between two reads by the other daemons, which learn of changes
	// from the readers.
	NonReaderListInterval time.Duration
	// ReadersPerZone is the number of daemons of a zone that read the list for the others.
	ReadersPerZone int
	// ListTimeout is the timeout of one read of the list.
	ListTimeout time.Duration
	// MinPollInterval is the time between two polls of a backend server whose state is changing: one
	// that is unreachable, loading or unloading. Other servers are polled no more often.
	MinPollInterval time.Duration
	// StatusTimeout is the timeout of one poll.
	StatusTimeout time.Duration
	// PollsPerSecond bounds the rate of polls of backend servers in a steady state.
	PollsPerSecond float64
	// MaxConcurrentPolls bounds the polls in flight, so that a zone of backend servers that do not
	// answer does not occupy a goroutine and a connection for each of them.
	MaxConcurrentPolls int
	// LocalSubsetSize and RemoteSubsetSize are the numbers of backend servers of each pool that this
	// daemon knows in its own zone and in all other zones together.
	LocalSubsetSize, RemoteSubsetSize int
	// DaemonsPerBackend is the number of daemons of a zone that should know each of its backend
	// servers. The subset exceeds LocalSubsetSize if the zone has too few daemons for that.
	DaemonsPerBackend int
	// RemovedRetention is how long a backend server that was removed from the list is kept as leaving,
	// so that its running requests can still be followed and cancelled.
	RemovedRetention time.Duration
	// JitterRatio is the fraction by which every interval is randomly lengthened or shortened.
	JitterRatio float64
}

// DefaultConfig returns the default configuration.
//
// ListInterval, JitterRatio and ListTimeout determine DrainBound, after which a backend server that
// the list shows as leaving receives no new work. Reading the list transfers about 310 KB at 2,290
// VMs. Therefore only three daemons of a zone read it each second, mostly to learn that it has not
// changed, and pass changes on; the others read it every 15 minutes in case a change was lost on
// the way. In a zone of three daemons all of them read. A steady poll costs about 0.4 KB, and all
// control traffic is to stay below 2 KB per second, which leaves one steady poll per second.
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

// changePropagationDelay bounds the time until a change that a reader found has reached every
// daemon through the exchanges of package membership. One exchange takes about a tenth of it.
const changePropagationDelay = 2 * time.Second

// DrainBound is the maximum time from when the platform's list shows a backend server as leaving
// until this daemon gives it no new work, provided that the list can be read.
func (c Config) DrainBound() time.Duration {
	return c.maxJittered(c.ListInterval) + c.ListTimeout + changePropagationDelay
}

// RemovalBound is the same bound for a backend server that the list no longer contains. It is twice
// as long because a server counts as removed only after two reads without it.
func (c Config) RemovalBound() time.Duration { return 2 * c.DrainBound() }

// maxJittered returns the longest time that jitter can make of d.
func (c Config) maxJittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + c.JitterRatio))
}
