package stand

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/control/operate"
	"mallowwind.dev/external/engine"
)

// An operator applies a new model version under traffic, with long generations running.
// Every caller must get a complete generation; no request may be rejected because the new
// version is not ready yet or the old one is being unloaded.
func TestVersionChangeUnderTraffic(t *testing.T) {
	inMemory(t, Options{Seed: 3}, func(t *testing.T, d *Deployment) {
		var callers sync.WaitGroup
		var mu sync.Mutex
		var failures []string
		ask := func(n, tokens int) {
			entry := d.Entries[n%len(d.Entries)]
			a := &Answer{Client: entry.Client(), Service: "reviews", Prompt: fmt.Sprint("contract ", n), Tokens: tokens}
			if err := a.Run(t.Context()); err != nil {
				mu.Lock()
				failures = append(failures, fmt.Sprintf("caller %d: %v", n, err))
				mu.Unlock()
			}
		}
		for n := range 250 {
			if n == 30 {
				current, err := d.Operator().Get(t.Context())
				must.NoError(t, err)
				text := strings.ReplaceAll(current.Text, "version = 1", "version = 2")
				_, err = d.Operator().Apply(t.Context(), operate.Request{Text: text, BaseRevision: current.Revision})
				must.NoError(t, err)
			}
			tokens := 60
			if n%20 == 0 {
				tokens = 1500
			}
			callers.Go(func() { ask(n, tokens) })
			time.Sleep(200 * time.Millisecond)
		}
		callers.Wait()
		time.Sleep(30 * time.Second)
		must.SliceEmpty(t, failures, must.Sprint(strings.Join(failures, "\n")))
		for id, e := range d.Engines {
			status, err := e.Status(t.Context())
			must.NoError(t, err)
			must.SliceLen(t, 1, status.Models, must.Sprint(id, status.Models))
			must.Eq(t, engine.Ready, status.Models[0].State)
			must.Eq(t, "2", status.Models[0].Ref.Version)
		}
	})
}
