// Package capacity works out what each role of the system needs at the size it
// is to reach, from slopes that were measured and recorded, and writes
// docs/CAPACITY.md. A cell whose slope was not measured says so; none is guessed.
package capacity

import "time"

// Size is what the system is to carry.
type Size struct {
	Daemons           int
	Replicas          int
	Accelerators      int
	RequestsPerSecond float64
	TokensPerSecond   float64       // generated, at the peak
	FirstToken        time.Duration // within, for Percentile of requests
	TokenGap          time.Duration // within, for Percentile of tokens
	Percentile        float64
	LongShare         float64       // of generations run for minutes
	ResumeWithin      time.Duration // output goes on within, after a loss
	Accounts          int
	Models            int
	Regions           int
	Zones             int

	ChangesPerDay float64
	InForceWithin time.Duration // a change is in force everywhere within

	ControlCoreRatio      float64 // of one core, for control, per daemon
	ControlMemoryBytes    float64 // bytes
	ControlBytesPerSecond float64 // bytes per second

	DeathsPerDay       float64 // VMs that fail
	ReplacementsPerDay float64 // VMs restarted or replaced
	RackLossFrequency  string
	ZoneLossFrequency  string
	RegionPartition    time.Duration

	Store StoreLimits
}

// StoreLimits are what the platform's key-value service carries.
type StoreLimits struct {
	WritesPerSecond float64
	ReadsPerSecond  float64
	MaxValueBytes   float64 // bytes
}

// Target is the size to come. The service's writes are given as several
// hundred a second; 300 is taken, the least that phrase can mean.
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

// TokensPerDaemon is in tokens per second.
func (s Size) TokensPerDaemon() float64 { return s.TokensPerSecond / float64(s.Daemons) }

// RequestsPerDaemon is in requests per second.
func (s Size) RequestsPerDaemon() float64 { return s.RequestsPerSecond / float64(s.Daemons) }

// TokensPerAnswer is the mean length of an answer.
func (s Size) TokensPerAnswer() float64 { return s.TokensPerSecond / s.RequestsPerSecond }

// Streams is the number of answers being generated at once. By Little's law it
// is tokens per second times the mean gap between two tokens of one stream;
// the bound on the gap stands for its mean, so this is an upper bound.
func (s Size) Streams() float64 { return s.TokensPerSecond * s.TokenGap.Seconds() }

// StreamsPerDaemon is Streams spread over the daemons.
func (s Size) StreamsPerDaemon() float64 { return s.Streams() / float64(s.Daemons) }

// StreamsPerReplica is Streams spread over the backend servers.
func (s Size) StreamsPerReplica() float64 { return s.Streams() / float64(s.Replicas) }

// DaemonsPerZone is the share of one zone, spread evenly.
func (s Size) DaemonsPerZone() float64 { return float64(s.Daemons) / float64(s.Zones) }

// ReplicasPerZone is the share of one zone, spread evenly.
func (s Size) ReplicasPerZone() float64 { return float64(s.Replicas) / float64(s.Zones) }

// ChangesPerSecond is the mean rate of configuration changes.
func (s Size) ChangesPerSecond() float64 { return s.ChangesPerDay / secondsPerDay }

const secondsPerDay = 24 * 60 * 60
