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
		{Input{Patience: time.Minute}, Decision{Reason: ReasonNowhere}},
		{Input{Loading: true, Patience: time.Minute}, Decision{Wait: true, Reason: ReasonUnknown}},
		{Input{Loading: true, Remaining: 40 * time.Second, Patience: time.Minute}, Decision{Wait: true, Reason: ReasonInTime}},
		{
			Input{Loading: true, Remaining: 55 * time.Second, Patience: time.Minute},
			Decision{Reason: ReasonTooLate, RetryAfter: 55 * time.Second},
		},
	} {
		test.Eq(t, c.want, Decide(c.in))
	}
}
