package placement

import "time"

// Ref names one servable set of weights.
type Ref struct{ Model, Adapter, Version string }

// String returns model[+adapter][@version].
func (r Ref) String() string {
	s := r.Model
	if r.Adapter != "" {
		s += "+" + r.Adapter
	}
	if r.Version != "" {
		s += "@" + r.Version
	}
	return s
}

// LoadState says how far an engine is with a set of weights.
type LoadState uint8

// The load states.
const (
	Loading LoadState = iota
	Ready
	Unloading
	Failed
)

// ModelStatus is one set of weights on an engine.
type ModelStatus struct {
	Ref   Ref
	State LoadState
}

// Health says whether an engine answers.
type Health uint8

// The healths of an engine.
const (
	Up      Health = iota
	Suspect        // has not answered for a short while
	Lost           // has not answered for long, or is not listed
)

// Backend is one engine of the zone as observed.
type Backend struct {
	ID      string
	Pool    string
	Health  Health
	Leaving bool
	Models  []ModelStatus // the last known, also when Doubtful
	Running int
	// Full says that the engine refused to hold more than it does now.
	Full bool
	// NotBefore is when it may be given orders again after one failed.
	NotBefore time.Time
}

// Service is one service as desired in the zone.
type Service struct {
	Name      string
	Pool      string
	Ref       Ref
	Replicas  int
	Floor     int
	DependsOn []string
}

// Input is what Plan decides on.
type Input struct {
	Services []Service
	// Backends are the engines of the zone in pools of the site text.
	Backends []Backend
	// LoadBudget is how many more loads this zone may start now.
	LoadBudget int
	Now        time.Time
}

// Kind is what to do.
type Kind uint8

// The kinds of steps.
const (
	None   Kind = iota // the zone is as desired
	Wait               // it is not, and nothing may be done now
	Load               // order Backend to load Ref
	Unload             // order Backend to unload Ref
)

// String returns the lower-case name.
func (k Kind) String() string { return [...]string{"none", "wait", "load", "unload"}[k] }

// Reason says why.
type Reason string

// The reasons of steps.
const (
	ReasonConverged  Reason = "converged"
	ReasonSpare      Reason = "replica_missing_spare_engine"
	ReasonKeep       Reason = "replica_missing_unload_taken_back"
	ReasonRetry      Reason = "replica_missing_load_retried"
	ReasonBeside     Reason = "replica_missing_beside_others"
	ReasonReplace    Reason = "new_version_beside_old"
	ReasonRoom       Reason = "room_for_new_version_above_floor"
	ReasonRoomOrphan Reason = "room_taken_from_unwanted"
	ReasonOld        Reason = "old_version_replaced"
	ReasonSurplus    Reason = "more_replicas_than_wanted"
	ReasonUnwanted   Reason = "not_in_site_text"

	ReasonDependency Reason = "dependency_not_ready"
	ReasonBudget     Reason = "weight_store_busy"
	ReasonProgress   Reason = "another_change_under_way"
	ReasonFloor      Reason = "floor_leaves_no_room"
	ReasonNoEngine   Reason = "no_engine_with_room"
	ReasonLoadFailed Reason = "load_failed_elsewhere"
	ReasonComing     Reason = "replica_on_its_way"
)

// Step is the decision. Service is the service it is for, empty for sets of
// weights that no service wants.
type Step struct {
	Kind    Kind
	Backend string
	Service string
	Ref     Ref
	Reason  Reason
	// ReducesCapacity says that the step takes serving capacity away; the observation
	// it rests on must be fresh.
	ReducesCapacity bool
}
