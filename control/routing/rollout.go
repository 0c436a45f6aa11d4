package routing

import (
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/decision/rollout"
)

// RolloutOrder is an operator's order to move a service to another version of its servers.
type RolloutOrder struct {
	Service string
	Target  string
	// Period is the time within which the roll-out is to be over.
	Period time.Duration
	// Revision is the store's of the order.
	Revision int64
}

// Bounds of the period of a roll-out: a shorter one leaves no time to compare the versions, and a
// longer one is taken for a mistake.
const (
	MinRolloutPeriod = 3 * time.Second
	MaxRolloutPeriod = 30 * time.Minute
)

// Validate returns an error for an order that cannot be carried out.
func (o RolloutOrder) Validate() error {
	switch {
	case o.Target == "":
		return errors.New("it names no target version")
	case o.Period < MinRolloutPeriod || o.Period > MaxRolloutPeriod:
		return errors.Errorf("the period %v is not between %v and %v", o.Period, MinRolloutPeriod, MaxRolloutPeriod)
	}
	return nil
}

// RolloutStatus is what is written of a roll-out for operators, and for daemons that start.
type RolloutStatus struct {
	rollout.State
	// DeadlineMS is when the period ends, in Unix milliseconds.
	DeadlineMS int64
}

// RolloutRecord is a status as daemons write it for each other, in JSON.
type RolloutRecord struct {
	Stage         string  `json:"stage"` // as rollout.Stage prints itself
	Target        string  `json:"target"`
	Baseline      string  `json:"base"`
	OrderRevision int64   `json:"order"`
	Share         float64 `json:"share"`
	CommonRoutes  string  `json:"common,omitempty"`
	DeadlineMS    int64   `json:"due"`
}

// Record is what is written of a status.
func (s RolloutStatus) Record() RolloutRecord {
	return RolloutRecord{
		Stage: s.Stage.String(), Target: s.Target, Baseline: s.Baseline, OrderRevision: s.OrderRevision, Share: s.Share, CommonRoutes: s.CommonRoutes, DeadlineMS: s.DeadlineMS,
	}
}

// Status is what a record says; a stage that nobody knows is an error.
func (r RolloutRecord) Status() (RolloutStatus, error) {
	stage, ok := rollout.ParseStage(r.Stage)
	if !ok {
		return RolloutStatus{}, errors.Errorf("status of a roll-out: unknown stage %q", r.Stage)
	}
	return RolloutStatus{
		State: rollout.State{OrderRevision: r.OrderRevision, Baseline: r.Baseline, Target: r.Target, Stage: stage, Share: r.Share, CommonRoutes: r.CommonRoutes}, DeadlineMS: r.DeadlineMS,
	}, nil
}
