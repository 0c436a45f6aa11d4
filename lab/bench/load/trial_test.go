package load

import (
	"fmt"
	"os"
	"testing"
	"time"
)

func TestTrial(t *testing.T) {
	name := os.Getenv("SCEN")
	if name == "" {
		t.Skip()
	}
	dep := os.Getenv("DEP")
	if dep == "" {
		dep = "association"
	}
	d, _ := deploymentNamed(dep)
	list := scenarios
	if name != "all" {
		s, err := scenarioNamed(name)
		if err != nil {
			t.Fatal(err)
		}
		list = []scenario{s}
	}
	pols := Policies
	if os.Getenv("POL") != "" {
		pols = []PolicyName{PolicyName(os.Getenv("POL"))}
	}
	for _, s := range list {
		c := measureCapacity(d, s.shares, 1)
		fmt.Println("==", s.Name, "capacity", c)
		for _, p := range pols {
			b := time.Now()
			r := runScenario(d, s, p, c, 1)
			fmt.Printf("%-11s good %.3f desk %.3f extra %.3f restarts %d jain %.3f eq %.2f heavy %.2f gap95 %.1f  RA %.0f/%.0f (%v)\n", p, r.Goodput, r.Desk, r.Extra, r.Restarts, r.Jain, r.Equal, r.Heavy, r.Gap.P95, r.RetryAfter.P50, r.RetryAfter.P99, time.Since(b).Round(time.Millisecond))
			for _, cl := range []string{"urgent", "normal", "long"} {
				for k, v := range r.Classes {
					if string(k) == cl {
						fmt.Printf("    %-7s sent %5d ans %5d ref %5d to %5d  whole p50 %.0f p99 %.0f | first p50 %.0f p95 %.0f p99 %.0f | refusal p50 %.0f p99 %.0f\n", k, v.Sent, v.Answered, v.Refused, v.TimedOut, v.Whole.P50, v.Whole.P99, v.First.P50, v.First.P95, v.First.P99, v.Refusal.P50, v.Refusal.P99)
					}
				}
			}
		}
	}
}
