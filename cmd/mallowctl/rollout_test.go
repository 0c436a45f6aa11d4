package main

import (
	"bytes"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/rollout"
)

func TestWriteRollouts(t *testing.T) {
	var out bytes.Buffer
	writeRollouts(&out, nil)
	must.Eq(t, "no service has a roll-out\n", out.String())
	out.Reset()
	state := rollout.State{Baseline: "v1", Target: "v2", Stage: rollout.Canary, Share: 0.05}
	writeRollouts(&out, map[string]feed.Rollout{
		"b": {Order: &routing.RolloutOrder{Target: "v3", Period: time.Minute}},
		"a": {Status: &routing.RolloutStatus{State: state, DeadlineMS: 1_796_266_800_000}},
		"c": {OrderErr: errors.New("no target")},
	})
	must.Eq(t, "a  few  from v1 to v2  share 0.050  due 2026-12-03T03:00:00Z\nb  ordered  to v3  in 1m0s\nc  order cannot be carried out: no target\n", out.String())
}

func TestInvalidRolloutOrdersAreRejected(t *testing.T) {
	must.Eq(t, exitUsage, run([]string{"rollout", "order", "desk", "v2", "--period", "1s", "--store", "http://127.0.0.1:1"}))
	must.Eq(t, exitUsage, run([]string{"rollout", "order", "desk", "v2", "--platform", "127.0.0.1:1"}))
	must.Eq(t, exitUsage, run([]string{"rollout", "order", "desk", "v2"}))
}
