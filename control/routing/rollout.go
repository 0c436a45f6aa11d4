package routing

import (
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/decision/rollout"
)

// RolloutOrder is an operator's order to roll out another version of a service's backend servers.
type RolloutOrder struct {
	Service string
	Target  string
	// Period is the time within which the rollout must complete.
	Period time.Duration
	// Revision is the store revision of the order.
	Revision int64
	// Renumbers is the lowest revision of the same order in earlier eras of the store; 0 if there is
	// none. An order is written again after the store was restored from an older copy of its data.
	Renumbers int64
}

// IsSame reports whether an order asks for the same as another one.
func (o RolloutOrder) IsSame(other RolloutOrder) bool {
	return o.Service == other.Service && o.Target == other.Target && o.Period == other.Period
}

// Limits of the period of a rollout: a shorter period leaves no time to compare the versions, and a
// longer one is assumed to be a mistake.
const (
	MinRolloutPeriod = 3 * time.Second
	MaxRolloutPeriod = 30 * time.Minute
)

// Validate returns an error if the order cannot be carried out.
func (o RolloutOrder) Validate() error {
	switch {
	case o.Target == "":
		return errors.New("no target version")
	case o.Period < MinRolloutPeriod || o.Period > MaxRolloutPeriod:
		return errors.Errorf("period %v is not between %v and %v", o.Period, MinRolloutPeriod, MaxRolloutPeriod)
	}
	return nil
}

// RolloutStatus is the progress of a rollout as stored for operators and for daemons that start.
type RolloutStatus struct {
	rollout.State
	// DeadlineMS is when the period of the rollout ends, in Unix milliseconds.
	DeadlineMS int64
}

// RolloutRecord is the JSON form of a RolloutStatus in the store.
type RolloutRecord struct {
	Stage         string  `json:"stage"` // as formatted by rollout.Stage.String
	Target        string  `json:"target"`
	Baseline      string  `json:"base"`
	OrderRevision int64   `json:"order"`
	Share         float64 `json:"share"`
	CommonRoutes  string  `json:"common,omitempty"`
	DeadlineMS    int64   `json:"due"`
}

// Record returns the stored form of the status.
func (s RolloutStatus) Record() RolloutRecord {
	return RolloutRecord{
		Stage: s.Stage.String(), Target: s.Target, Baseline: s.Baseline, OrderRevision: s.OrderRevision, Share: s.Share, CommonRoutes: s.CommonRoutes, DeadlineMS: s.DeadlineMS,
	}
}

// Status returns the status that the record holds. An unknown stage is an error.
func (r RolloutRecord) Status() (RolloutStatus, error) {
	stage, ok := rollout.ParseStage(r.Stage)
	if !ok {
		return RolloutStatus{}, errors.Errorf("rollout status: unknown stage %q", r.Stage)
	}
	return RolloutStatus{
		State: rollout.State{OrderRevision: r.OrderRevision, Baseline: r.Baseline, Target: r.Target, Stage: stage, Share: r.Share, CommonRoutes: r.CommonRoutes}, DeadlineMS: r.DeadlineMS,
	}, nil
}
