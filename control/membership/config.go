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
	// ListInterval is the time between two looks at the VM list.
	ListInterval time.Duration
	// FanoutDelay collects news before it is passed on at once.
	FanoutDelay time.Duration
	// FanoutInterval and SpreadBurst bound how often news is passed on at once.
	// The failure: 390 daemons start together, each hears of 389 joins and
	// passes each on; without a bound that is 15,000 exchanges a second, which
	// keeps the daemons too busy to finish joining. Past the bound news waits
	// for the next regular exchange.
	FanoutInterval time.Duration
	FanoutBurst    int
	// JitterRatio is the share by which the interval varies.
	JitterRatio float64
}

// DefaultConfig returns the values in use.
func DefaultConfig() Config {
	return Config{
		Gossip:          gossip.DefaultConfig(),
		ProbeTimeout:    700 * time.Millisecond,
		IndirectTimeout: 1500 * time.Millisecond,
		ListInterval:    2 * time.Second,
		FanoutDelay:     100 * time.Millisecond,
		FanoutInterval:  2 * time.Second,
		FanoutBurst:     5,
		JitterRatio:     0.1,
	}
}
