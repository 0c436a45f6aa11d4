package retryafter

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The store is unreachable for every daemon for eight seconds. From the fifth second on every
// caller is refused, and each retries once. If they were told to retry after one to three seconds,
// most would return during the outage and be lost. If they are told a delay as long as the outage
// so far, nearly all are served, and no tenth of a second sees a burst of them.
func TestCallersReturnAfterTheOutage(t *testing.T) {
	const refused, outage = 5 * time.Second, 8 * time.Second
	const callers = 1000
	served := 0
	burst := map[time.Duration]int{}
	for i := range callers {
		at := refused + time.Duration(i)*(outage-refused)/callers
		back := at + AfterStoreOutage(at, true, float64(i%97)/97)
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

// Only one daemon has lost the store; the others still serve.
func TestCallerRetriesOtherDaemonAtOnce(t *testing.T) {
	must.Eq(t, OtherDaemonDelay, AfterStoreOutage(time.Hour, false, 0.9))
}

func TestDelayIsBoundedInLongOutage(t *testing.T) {
	must.Eq(t, AfterStoreOutage(maxDelay, true, 0.5), AfterStoreOutage(time.Hour, true, 0.5))
}

// Engines at capacity refuse callers for eight seconds, and each caller retries once. Callers
// refused at the beginning must return when the responses in progress have ended, later ones after
// a delay as long as the overload so far, and hardly any during the burst.
func TestCallersReturnAfterOverload(t *testing.T) {
	const burst, answer, callers = 8 * time.Second, 5 * time.Second, 1000
	var streak Streak
	served := 0
	returns := map[time.Duration]int{}
	start := time.Unix(0, 0)
	for i := range callers {
		at := i * int(burst) / callers
		lasted := streak.Extend(start.Add(time.Duration(at)))
		back := time.Duration(at) + AfterOverload(lasted, answer, float64(i%97)/97)
		if back > burst {
			served++
		}
		returns[back/(100*time.Millisecond)]++
	}
	must.Greater(t, callers*95/100, served)
	for _, n := range returns {
		must.Less(t, callers/20, n)
	}
}

func TestStreakEndsAfterGap(t *testing.T) {
	var s Streak
	at := time.Unix(100, 0)
	must.Eq(t, 0, s.Extend(at))
	must.Eq(t, 2*time.Second, s.Extend(at.Add(2*time.Second)))
	must.Eq(t, 4*time.Second, s.Extend(at.Add(4*time.Second)))
	must.Eq(t, 0, s.Extend(at.Add(4*time.Second+streakGap+1)))
}
