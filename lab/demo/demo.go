// Package demo runs one scenario on a complete deployment: a streamed answer survives the crash
// of its engine, the response to a non-idempotent call is lost and the call is retried without
// running twice, and urgent lookups are answered while a long generation is running.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/lab/stand"
)

// Options configures a run of the demo.
type Options struct {
	Seed uint64
	JSON bool
	Logs io.Writer // receives the logs of the daemons
}

// Result summarizes what the callers observed.
type Result struct {
	Answers      int      `json:"answers"`
	Complete     int      `json:"whole"`
	ResumeMS     int64    `json:"resume_ms"` // longest gap between events of the long answer
	KeyedCalls   int      `json:"keyed_calls"`
	KeyedRuns    int      `json:"keyed_runs"` // executions of the non-idempotent call
	KeyedVerdict string   `json:"keyed_verdict"`
	LookupMaxMS  int64    `json:"lookup_max_first_token_ms"`
	Problems     []string `json:"problems,omitempty"`
}

const (
	longTokens       = 300
	crashAfterEvents = 100 // events of the long answer before its engine is crashed
	lookupCount      = 20
	lookupTokens     = 8
	lookupInterval   = 100 * time.Millisecond
	runTimeout       = 18 * time.Second
)

// Run runs the scenario and writes progress messages to progress and the summary to out. It fails
// if an answer was incomplete, a call failed, or the non-idempotent call did not run exactly once.
func Run(ctx context.Context, o Options, out, progress io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	logf := func(format string, args ...any) { fmt.Fprintf(progress, format+"\n", args...) }
	logf("starting: 6 engines, an order desk, the store and 3 entry VMs in three zones")
	s, err := stand.Start(ctx, stand.Options{Seed: o.Seed, Logs: o.Logs})
	if err != nil {
		return err
	}
	defer s.Close()
	r := &run{stand: s, logf: logf}
	r.runAll(ctx)
	return r.report(o, out)
}

// run holds the state of one demo run.
type run struct {
	stand *stand.Deployment
	logf  func(format string, args ...any)

	mu     sync.Mutex
	result Result
}

func (r *run) runAll(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { r.readLongAnswer(ctx) })
	wg.Go(func() { r.sendLookups(ctx) })
	wg.Go(func() { r.sendConfirmation(ctx) })
	wg.Wait()
}

// readLongAnswer streams a long answer whose engine is crashed midway.
func (r *run) readLongAnswer(ctx context.Context) {
	entries, err := r.stand.Entries[0].Client().Entries(ctx)
	if err != nil || len(entries) == 0 {
		r.recordAnswer(errors.Errorf("cannot get an entry VM: %v", err))
		return
	}
	r.logf("entry VM for the caller: %s in %s", entries[0].ID, entries[0].Zone)
	a := &stand.Answer{
		Client: r.stand.Client(entries[0].Address), Service: "reviews",
		Prompt: "Summarise the supplier contract of the Thiès mill.", Tokens: longTokens,
	}
	a.OnEvent = func(n int) {
		if n == crashAfterEvents {
			r.crashEngine(a.ID)
		}
	}
	err = a.Run(ctx)
	if err == nil {
		r.logf("the long answer is complete: %d tokens, longest gap %s", longTokens, a.MaxGap.Round(time.Millisecond))
	}
	r.mu.Lock()
	r.result.ResumeMS = a.MaxGap.Milliseconds()
	r.mu.Unlock()
	r.recordAnswer(err)
}

// crashEngine crashes the engine that runs the generation id.
func (r *run) crashEngine(id string) {
	for name, e := range r.stand.Engines {
		if e.HasUnfinished(id) {
			r.logf("event %d of the long answer: crashing engine %s", crashAfterEvents, name)
			e.Crash()
		}
	}
}

// sendLookups sends urgent lookups, one every lookupInterval, while the long answer is running.
func (r *run) sendLookups(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range lookupCount {
		wg.Go(func() {
			entry := r.stand.Entries[i%len(r.stand.Entries)]
			a := &stand.Answer{
				Client: entry.Client(), Service: "orders",
				Prompt: fmt.Sprintf("Where is order %d?", i), Tokens: lookupTokens,
			}
			err := a.Run(ctx)
			r.mu.Lock()
			r.result.LookupMaxMS = max(r.result.LookupMaxMS, a.TimeToFirstToken.Milliseconds())
			r.mu.Unlock()
			r.recordAnswer(err)
		})
		time.Sleep(lookupInterval)
	}
	wg.Wait()
	r.logf("%d urgent lookups answered", lookupCount)
}

// sendConfirmation sends a non-idempotent call whose response is lost. The caller retries it with
// the same idempotency key on another entry VM.
func (r *run) sendConfirmation(ctx context.Context) {
	const key = "confirm-thies-0042"
	r.stand.PlainBackend.LoseResponses(1)
	var verdicts []string
	for _, entry := range r.stand.Entries[:2] {
		_, verdict, err := entry.Client().Call(ctx, "confirmations", "/confirm", key)
		if err != nil {
			r.recordProblem(errors.Wrap(err, "confirmation"))
			return
		}
		verdicts = append(verdicts, verdict)
	}
	runs := r.stand.PlainBackend.Runs(key)
	r.logf("the response to the confirmation was lost; the caller received %v, the call ran %d time(s)", verdicts, runs)
	r.mu.Lock()
	r.result.KeyedCalls, r.result.KeyedRuns, r.result.KeyedVerdict = len(verdicts), runs, verdicts[len(verdicts)-1]
	r.mu.Unlock()
	if runs != 1 {
		r.recordProblem(errors.Errorf("the confirmation ran %d times", runs))
	}
}

func (r *run) recordAnswer(err error) {
	r.mu.Lock()
	r.result.Answers++
	if err == nil {
		r.result.Complete++
	}
	r.mu.Unlock()
	if err != nil {
		r.recordProblem(err)
	}
}

func (r *run) recordProblem(err error) {
	r.logf("problem: %v", err)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Problems = append(r.result.Problems, err.Error())
}

func (r *run) report(o Options, out io.Writer) error {
	res := r.result
	if o.JSON {
		if err := json.NewEncoder(out).Encode(res); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(out, "non-idempotent call: sent %d times, ran %d time(s), last verdict %s\n", res.KeyedCalls, res.KeyedRuns, res.KeyedVerdict)
		fmt.Fprintf(out, "urgent lookups: slowest first token %d ms\n", res.LookupMaxMS)
		fmt.Fprintf(out, "%d of %d answers complete, without repeated tokens; longest gap of the long answer, whose engine crashed: %d ms\n", res.Complete, res.Answers, res.ResumeMS)
	}
	if len(res.Problems) > 0 {
		return errors.Errorf("%d problem(s), the first: %s", len(res.Problems), res.Problems[0])
	}
	return nil
}
