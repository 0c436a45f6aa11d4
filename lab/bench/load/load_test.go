package load

import (
	"io"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"mallowwind.dev/control/site"
)

// short plays a scenario for a third of its usual time against one policy.
func short(t *testing.T, name string, policy PolicyName) (Result, Result) {
	t.Helper()
	d, err := deploymentNamed("tharaka")
	must.NoError(t, err)
	s, err := scenarioNamed(name)
	must.NoError(t, err)
	s.span = 60 * time.Second
	c := capacity{poolLong: 12450, poolDesk: 2060} // of measureCapacity at seed 1, about
	ref := s.reference()
	return runScenario(d, s, policy, c, 1), runScenario(d, ref, Product, c, 1)
}

func urgent(r Result) ClassResult { return r.Classes[site.ClassUrgent] }

func answered(c ClassResult) float64 { return float64(c.Answered) / float64(c.Sent) }

// Callers ask twice what the engines can do, for minutes.
// In order of arrival everybody waits out their patience and lookups die first.
// Lookups must be as quick as ever, the engines full, refusals immediate.
func TestSaturation(t *testing.T) {
	t.Parallel()
	r, ref := short(t, "saturation", Product)
	test.Greater(t, 0.99, answered(urgent(r)))
	test.Less(t, 1.5*urgent(ref).Whole.P99, urgent(r).Whole.P99)
	test.Greater(t, 0.9, r.Goodput)
	test.Greater(t, 0.95, r.Jain)
	test.Less(t, 100, r.Classes[site.ClassLong].Refusal.P50)
	test.Greater(t, 0, r.Classes[site.ClassLong].Answered)
	base, _ := short(t, "saturation", FIFO)
	test.Less(t, 0.6, answered(urgent(base)))
}

// One account asks ten times what each other does, together twice the capacity.
// The others must get all of their lookups and the same part of their work.
func TestHeavyAccountHurtsNobodyElse(t *testing.T) {
	t.Parallel()
	r, _ := short(t, "heavy", Product)
	test.Greater(t, 0.95, r.Jain)
	test.Greater(t, 1.2*r.Heavy, r.Equal)
	test.Greater(t, 0.99, answered(urgent(r)))
}

// One engine of 18 becomes eight times slower while requests come.
// Callers must hardly see it.
func TestStraggler(t *testing.T) {
	t.Parallel()
	r, ref := short(t, "straggler", Product)
	test.Eq(t, urgent(r).Sent, urgent(r).Answered)
	test.Less(t, 1.1*urgent(ref).Whole.P99, urgent(r).Whole.P99)
}

// Lookups alone ask twice the capacity of their desk.
// Those answered must be quick; the rest must hear of it at once.
func TestUrgentSaturation(t *testing.T) {
	t.Parallel()
	r, ref := short(t, "urgent_saturation", Product)
	test.Greater(t, 0.9, r.Desk)
	test.Less(t, 1.5*urgent(ref).Whole.P99, urgent(r).Whole.P99)
	test.Less(t, 50, urgent(r).Refusal.P99)
	test.Positive(t, r.RetryAfter.P50)
}

// A burst of four times the usual load comes every half minute.
// Normal and long work waits it out; nobody is left without an answer.
func TestBurst(t *testing.T) {
	t.Parallel()
	r, _ := short(t, "burst", Product)
	test.Greater(t, 0.9, answered(urgent(r)))
	test.Greater(t, 0.98, answered(r.Classes[site.ClassNormal]))
	test.Greater(t, 0.98, answered(r.Classes[site.ClassLong]))
	test.Less(t, 20, urgent(r).Refusal.P99)
}

// Short requests share engines with long generations at nine tenths of capacity.
func TestLongAmongShort(t *testing.T) {
	t.Parallel()
	r, _ := short(t, "mixed", Product)
	test.Greater(t, 0.99, answered(urgent(r)))
	test.Less(t, 200, urgent(r).First.P95)
	test.Greater(t, 0.95, answered(r.Classes[site.ClassLong]))
}

// A zone goes at full load with a third of engines and entry VMs.
// Answers under way continue elsewhere; what cannot be answered is refused, and
// lookups are still served.
func TestZoneLostAtSaturation(t *testing.T) {
	t.Parallel()
	r, _ := short(t, "zone_lost", Product)
	test.Positive(t, r.Restarts)
	test.Greater(t, 0.9, answered(urgent(r)))
	test.Less(t, 0.01, r.Extra)
	for class, c := range r.Classes {
		lost := c.Sent - c.Answered - c.Refused - c.TimedOut
		test.LessEq(t, c.Sent/50, lost, test.Sprintf("%s requests without any end", class))
		test.LessEq(t, c.Sent/50, c.TimedOut, test.Sprintf("%s callers left without an answer", class))
	}
}

func TestRunGivesTheSameForTheSameSeed(t *testing.T) {
	t.Parallel()
	one, _ := short(t, "usual", Product)
	two, _ := short(t, "usual", Product)
	test.Eq(t, one.Classes, two.Classes)
	test.Eq(t, one.Gap, two.Gap)
}

func TestUnknownNamesAreRefused(t *testing.T) {
	err := Run(t.Context(), Options{Deployment: "nobody", Log: io.Discard})
	test.ErrorContains(t, err, "association")
	err = Run(t.Context(), Options{Deployment: "tharaka", Scenario: "nothing", Log: io.Discard, Dir: t.TempDir()})
	test.ErrorContains(t, err, "saturation")
}
