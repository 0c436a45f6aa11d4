package membership

import (
	"time"

	"mallowwind.dev/decision/gossip"
)

// Config configures a Manager.
type Config struct {
	Gossip gossip.Config
	// ProbeTimeout bounds one exchange; it covers the round trip between regions and one
	// retransmission of a lost packet.
	ProbeTimeout time.Duration
	// IndirectTimeout bounds a probe by way of other daemons.
	IndirectTimeout time.Duration
	// ListInterval is the time between two reads of the VM list.
	ListInterval time.Duration
	// FanoutDelay is how long updates are collected before a fan-out sends them, outside the regular
	// rounds, to a few members.
	FanoutDelay time.Duration
	// FanoutInterval and FanoutBurst limit the rate of fan-outs. When 390 daemons start together,
	// each learns of 389 joins and passes them on; without a limit these are 15,000 exchanges per
	// second, which keep the daemons too busy to finish joining. Above the limit, updates wait for
	// the next regular exchange or the next permitted fan-out.
	FanoutInterval time.Duration
	FanoutBurst    int
	// JitterRatio is the fraction by which the interval between rounds varies.
	JitterRatio float64
}

// DefaultConfig returns the default configuration.
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
