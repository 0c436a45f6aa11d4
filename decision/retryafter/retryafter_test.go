package retryafter

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The store is out of reach for every daemon for eight seconds. From the fifth on
// each caller is refused; it repeats once. Told to come back after one to three
// seconds most come within the outage and are lost. Told as long as the outage has
// lasted nearly all are served, and no tenth of a second sees a burst of them.
func TestCallersReturnAfterTheOutage(t *testing.T) {
	const refused, outage = 5 * time.Second, 8 * time.Second
	const callers = 1000
	served := 0
	burst := map[time.Duration]int{}
	for i := range callers {
		at := refused + time.Duration(i)*(outage-refused)/callers
		back := at + Unconfirmed(at, true, float64(i%97)/97)
		if back > outage {
			served++
		}
		burst[back/(100*time.Millisecond)]++
	}
	must.Greater(t, callers*98/100, served)
	for _, n := range burst {
		must.Less(t, callers/20, n)
	}
}

// One daemon alone has lost the store; its neighbours serve.
func TestCallerGoesElsewhereAtOnce(t *testing.T) {
	must.Eq(t, Elsewhere, Unconfirmed(time.Hour, false, 0.9))
}

func TestLongOutageTellsABoundedTime(t *testing.T) {
	must.Eq(t, Unconfirmed(longest, true, 0.5), Unconfirmed(time.Hour, true, 0.5))
}
