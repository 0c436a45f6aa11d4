// Package capacity calculates the resources that each role of the system needs at its
// target size from measured and recorded slopes, and generates docs/CAPACITY.md.
// A row without a measured slope is shown as not measured instead of estimated.
package capacity

import "time"

// Size is the size, load and limits for which the capacity is calculated.
type Size struct {
	Daemons           int
	Replicas          int
	Accelerators      int
	RequestsPerSecond float64
	TokensPerSecond   float64       // generated, at peak load
	FirstToken        time.Duration // maximum at the Percentile of requests
	TokenGap          time.Duration // maximum at the Percentile of tokens
	Percentile        float64
	LongShare         float64       // share of generations that run for minutes
	ResumeWithin      time.Duration // maximum time until output continues after a failure
	Accounts          int
	Models            int
	Regions           int
	Zones             int

	ChangesPerDay float64
	InForceWithin time.Duration // maximum time until a configuration change is in force everywhere

	ControlCoreRatio      float64 // share of one core for control per daemon
	ControlMemoryBytes    float64 // bytes
	ControlBytesPerSecond float64 // bytes per second

	DeathsPerDay       float64 // VMs that fail
	ReplacementsPerDay float64 // VMs restarted or replaced
	RackLossFrequency  string
	ZoneLossFrequency  string
	RegionPartition    time.Duration

	Store StoreLimits
}

// StoreLimits are the limits of the platform's key-value store.
type StoreLimits struct {
	WritesPerSecond float64
	ReadsPerSecond  float64
	MaxValueBytes   float64 // bytes
}

// Target returns the target size. The store's write limit is specified as several
// hundred per second; the model assumes 300, the least that this can mean.
func Target() Size {
	return Size{
		Daemons: 390, Replicas: 1900, Accelerators: 15000,
		RequestsPerSecond: 8200, TokensPerSecond: 3.3e6,
		FirstToken: 940 * time.Millisecond, TokenGap: 30 * time.Millisecond, Percentile: 95,
		LongShare: 0.08, ResumeWithin: 6 * time.Second,
		Accounts: 810, Models: 15, Regions: 3, Zones: 7,
		ChangesPerDay: 5200, InForceWithin: 9 * time.Second,
		ControlCoreRatio: 0.044, ControlMemoryBytes: 64e6, ControlBytesPerSecond: 2000,
		DeathsPerDay: 12, ReplacementsPerDay: 490,
		RackLossFrequency: "every month or two", ZoneLossFrequency: "every other month",
		RegionPartition: time.Hour,
		Store:           StoreLimits{WritesPerSecond: 300, ReadsPerSecond: 2000, MaxValueBytes: 1 << 20},
	}
}

// Per-daemon and per-replica shares, with the load spread evenly.

// TokensPerDaemon returns the tokens per second of one daemon.
func (s Size) TokensPerDaemon() float64 { return s.TokensPerSecond / float64(s.Daemons) }

// RequestsPerDaemon returns the requests per second of one daemon.
func (s Size) RequestsPerDaemon() float64 { return s.RequestsPerSecond / float64(s.Daemons) }

// TokensPerAnswer returns the mean number of tokens of a generation.
func (s Size) TokensPerAnswer() float64 { return s.TokensPerSecond / s.RequestsPerSecond }

// Streams returns the number of concurrent generations. By Little's law it is
// tokens per second times the mean gap between two tokens of one stream. TokenGap
// is used in place of the mean, so this is an upper bound.
func (s Size) Streams() float64 { return s.TokensPerSecond * s.TokenGap.Seconds() }

// StreamsPerDaemon returns the concurrent generations per daemon.
func (s Size) StreamsPerDaemon() float64 { return s.Streams() / float64(s.Daemons) }

// StreamsPerReplica returns the concurrent generations per backend server.
func (s Size) StreamsPerReplica() float64 { return s.Streams() / float64(s.Replicas) }

// DaemonsPerZone returns the mean number of daemons per zone.
func (s Size) DaemonsPerZone() float64 { return float64(s.Daemons) / float64(s.Zones) }

// ReplicasPerZone returns the mean number of backend servers per zone.
func (s Size) ReplicasPerZone() float64 { return float64(s.Replicas) / float64(s.Zones) }

// ChangesPerSecond returns the mean rate of configuration changes.
func (s Size) ChangesPerSecond() float64 { return s.ChangesPerDay / secondsPerDay }

const secondsPerDay = 24 * 60 * 60
