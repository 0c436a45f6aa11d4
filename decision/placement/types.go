package placement

import "time"

// Ref identifies a set of model weights that an engine can serve.
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

// LoadState is the state of a set of weights on an engine.
type LoadState uint8

// The load states.
const (
	Loading LoadState = iota
	Ready
	Unloading
	Failed
)

// ModelStatus is a set of weights on an engine with its state.
type ModelStatus struct {
	Ref   Ref
	State LoadState
}

// Health says whether an engine answers status polls.
type Health uint8

// The health states of an engine.
const (
	Up      Health = iota
	Suspect        // has not answered for a short time
	Lost           // has not answered for a long time, or is not listed
)

// Backend is one engine of the zone as last observed.
type Backend struct {
	ID      string
	Pool    string
	Health  Health
	Leaving bool
	Models  []ModelStatus // as last reported, also while Suspect
	Running int           // requests that it runs
	// Full says that the engine refused to load more than it holds now.
	Full bool
	// NotBefore is the earliest time of the next order, for example after a failed one.
	NotBefore time.Time
}

// Service is the desired state of a service in the zone.
type Service struct {
	Name      string
	Pool      string
	Ref       Ref
	Replicas  int
	Floor     int // ready replicas below which no planned change may go
	DependsOn []string
}

// Input is the desired and the observed state on which Plan decides.
type Input struct {
	Services []Service
	// Backends are the engines of the zone whose pools are in the site configuration.
	Backends []Backend
	// LoadBudget is the number of further loads that this zone may start now.
	LoadBudget int
	Now        time.Time
}

// Kind is the kind of a step.
type Kind uint8

// The kinds of steps.
const (
	None   Kind = iota // the zone is in the desired state
	Wait               // it is not, but no order may be given now
	Load               // order Backend to load Ref
	Unload             // order Backend to unload Ref
)

// String returns the lower-case name.
func (k Kind) String() string { return [...]string{"none", "wait", "load", "unload"}[k] }

// Reason says why a step was chosen.
type Reason string

// The reasons of steps.
const (
	ReasonConverged        Reason = "converged"
	ReasonSpare            Reason = "replica_missing_spare_engine"
	ReasonUnloadCancelled  Reason = "replica_missing_unload_taken_back"
	ReasonRetry            Reason = "replica_missing_load_retried"
	ReasonBeside           Reason = "replica_missing_beside_others"
	ReasonReplace          Reason = "new_version_beside_old"
	ReasonMakeRoom         Reason = "room_for_new_version_above_floor"
	ReasonMakeRoomUnwanted Reason = "room_taken_from_unwanted"
	ReasonOldReplaced      Reason = "old_version_replaced"
	ReasonSurplus          Reason = "more_replicas_than_wanted"
	ReasonUnwanted         Reason = "not_in_site_text"

	ReasonDependency       Reason = "dependency_not_ready"
	ReasonBudget           Reason = "weight_store_busy"
	ReasonChangeInProgress Reason = "another_change_under_way"
	ReasonFloor            Reason = "floor_leaves_no_room"
	ReasonNoEngine         Reason = "no_engine_with_room"
	ReasonLoadFailed       Reason = "load_failed_elsewhere"
	ReasonReplicaPending   Reason = "replica_on_its_way"
)

// Step is a decision of Plan. Service is the service for which it was made, empty for models that no
// service uses.
type Step struct {
	Kind    Kind
	Backend string
	Service string
	Ref     Ref
	Reason  Reason
	// ReducesCapacity says that the step takes away serving capacity, so that it must be based on a
	// fresh observation.
	ReducesCapacity bool
}
