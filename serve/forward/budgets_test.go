package forward

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/peer/peerpb"
)

// lend lets a daemon lend as many retries as it may.
func (w *testCluster) lend() (granted int) {
	lender := retryBudgetService{w.handler.pool}
	for {
		reply, err := lender.Lend(w.t.Context(), &peerpb.LendRequest{Service: "llm"})
		must.NoError(w.t, err)
		if !reply.GetGranted() {
			return granted
		}
		granted++
	}
}

// A daemon that had no request yet took itself for alone and lent the slack of the whole fleet. One
// that leaves has its part only for a while.
func TestDaemonWithoutRequestsLendsItsPartOnly(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		for n := 2; n <= 10; n++ {
			w.put(fmt.Sprintf("mallowwind/vm/vm-%d", n), fmt.Sprintf(`{"id":"vm-%d","zone":"a","address":"%d:1"}`, n, n))
		}
		ctx, cancel := context.WithCancel(w.t.Context())
		var done sync.WaitGroup
		done.Go(func() { w.handler.observeFleet(ctx) })
		defer done.Wait()
		defer cancel()
		time.Sleep(3 * time.Second)
		part := int(testRetryRule.Slack / 10)
		must.Between(t, part*3/4, w.lend(), part)
		time.Sleep(testRetryRule.Window * 11 / 10)
		w.handler.BeginShutdown(ShutdownSchedule{ExitAt: time.Now().Add(time.Minute)})
		must.Between(t, part*3/4, w.lend(), part)
		time.Sleep(testRetryRule.Window * 11 / 10)
		must.Zero(t, w.lend())
	})
}
