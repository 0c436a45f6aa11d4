package poison

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against trials of refused requests that cost more servers than three in three hours and eight a day.
func TestTrialsAreBounded(t *testing.T) {
	start := time.Now()
	trials, byHour := Trials{Last: start}, map[int]int{}
	for at := time.Duration(0); at < 48*time.Hour; at += time.Second {
		if now := start.Add(at); trials.IsDue(now) {
			trials = Trials{Count: trials.Count + 1, Last: now}
			byHour[int(at/time.Hour)]++
		}
	}
	must.Eq(t, 3, byHour[0]+byHour[1]+byHour[2])
	must.Eq(t, 3+15, trials.Count)
}
