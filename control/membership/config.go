package membership

import (
	"time"

	"mallowwind.dev/decision/gossip"
)

// Config holds the Manager's intervals.
type Config struct {
	Gossip gossip.Config
	// ProbeTimeout bounds one exchange; it covers the round trip between
	// regions and a retransmission of a lost packet.
	ProbeTimeout time.Duration
	// IndirectTimeout bounds a probe made through others.
	IndirectTimeout time.Duration
	// ListEvery is the time between two looks at the VM list.
	ListEvery time.Duration
	// SpreadDelay collects news before it is passed on at once.
	SpreadDelay time.Duration
	// SpreadEvery and SpreadBurst bound how often news is passed on at once.
	// The failure: 390 daemons start together, each hears of 389 joins and
	// passes each on; without a bound that is 15,000 exchanges a second, which
	// keeps the daemons too busy to finish joining. Past the bound news waits
	// for the next regular exchange.
	SpreadEvery time.Duration
	SpreadBurst int
	// Jitter is the share by which the interval varies.
	Jitter float64
}

// DefaultConfig returns the values in use.
func DefaultConfig() Config {
	return Config{
		Gossip:          gossip.DefaultConfig(),
		ProbeTimeout:    700 * time.Millisecond,
		IndirectTimeout: 1500 * time.Millisecond,
		ListEvery:       2 * time.Second,
		SpreadDelay:     100 * time.Millisecond,
		SpreadEvery:     2 * time.Second,
		SpreadBurst:     5,
		Jitter:          0.1,
	}
}
