package loading

import (
	"testing"
	"time"

	"github.com/shoenig/test"
)

func TestDecide(t *testing.T) {
	for _, c := range []struct {
		in   Input
		want Decision
	}{
		{Input{TimeToDeadline: time.Minute}, Decision{Reason: ReasonNowhere}},
		{Input{Loading: true, TimeToDeadline: time.Minute}, Decision{Wait: true, Reason: ReasonUnknown}},
		{Input{Loading: true, LoadRemaining: 40 * time.Second, TimeToDeadline: time.Minute}, Decision{Wait: true, Reason: ReasonInTime}},
		{
			Input{Loading: true, LoadRemaining: 55 * time.Second, TimeToDeadline: time.Minute},
			Decision{Reason: ReasonTooLate, RetryAfter: 55 * time.Second},
		},
	} {
		test.Eq(t, c.want, Decide(c.in))
	}
}
