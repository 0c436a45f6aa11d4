// Package demo plays one story on a whole deployment: an answer survives its
// engine's death, a call that may not be repeated loses its answer, and urgent
// lookups are answered beside long work.
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

// Options of a run.
type Options struct {
	Seed uint64
	JSON bool
	Logs io.Writer // of the daemons
}

// Result is what callers saw.
type Result struct {
	Answers      int      `json:"answers"`
	Whole        int      `json:"whole"`
	ResumeMS     int64    `json:"resume_ms"` // longest wait of the long answer's caller after the death
	KeyedCalls   int      `json:"keyed_calls"`
	KeyedRuns    int      `json:"keyed_runs"` // runs of the call that may not be repeated
	KeyedVerdict string   `json:"keyed_verdict"`
	LookupMaxMS  int64    `json:"lookup_max_first_token_ms"`
	Problems     []string `json:"problems,omitempty"`
}

const (
	longTokens   = 300
	killAt       = 100 // events of the long answer before its engine dies
	lookups      = 20
	lookupTokens = 8
	lookupEvery  = 100 * time.Millisecond
	runLimit     = 18 * time.Second
)

// Run plays the story and writes progress to progress and the summary to out.
// It fails when an answer was not whole or a call ran twice.
func Run(ctx context.Context, o Options, out, progress io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, runLimit)
	defer cancel()
	say := func(format string, args ...any) { fmt.Fprintf(progress, format+"\n", args...) }
	say("starting: 6 engines, an order desk, the store and 3 entry VMs in three zones")
	s, err := stand.Start(ctx, stand.Options{Seed: o.Seed, Logs: o.Logs})
	if err != nil {
		return err
	}
	defer s.Close()
	r := &run{stand: s, say: say}
	r.play(ctx)
	return r.report(o, out)
}

// run collects what the callers of one demo see.
type run struct {
	stand *stand.Deployment
	say   func(format string, args ...any)

	mu     sync.Mutex
	result Result
}

func (r *run) play(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { r.longAnswer(ctx) })
	wg.Go(func() { r.lookups(ctx) })
	wg.Go(func() { r.confirmation(ctx) })
	wg.Wait()
}

// longAnswer reads a review whose engine is killed in the middle.
func (r *run) longAnswer(ctx context.Context) {
	entries, err := r.stand.Entries[0].Client().Entries(ctx)
	if err != nil || len(entries) == 0 {
		r.done(errors.Errorf("no entry VM was named: %v", err))
		return
	}
	r.say("a caller asks which entry VM to use: %s in %s", entries[0].ID, entries[0].Zone)
	a := &stand.Answer{
		Client: r.stand.Client(entries[0].Address), Service: "reviews",
		Prompt: "Summarise the supplier contract of the Thiès mill.", Tokens: longTokens,
	}
	a.OnEvent = func(n int) {
		if n == killAt {
			r.kill(a.ID)
		}
	}
	err = a.Run(ctx)
	if err == nil {
		r.say("the long answer is whole: %d tokens, longest wait %s", longTokens, a.MaxGap.Round(time.Millisecond))
	}
	r.mu.Lock()
	r.result.ResumeMS = a.MaxGap.Milliseconds()
	r.mu.Unlock()
	r.done(err)
}

// kill ends the engine that runs a generation.
func (r *run) kill(id string) {
	for name, e := range r.stand.Engines {
		if e.HasUnfinished(id) {
			r.say("token %d: %s dies", killAt, name)
			e.Crash()
		}
	}
}

// lookups are urgent and must be answered at once beside the long work.
func (r *run) lookups(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range lookups {
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
			r.done(err)
		})
		time.Sleep(lookupEvery)
	}
	wg.Wait()
	r.say("%d urgent lookups answered", lookups)
}

// confirmation is a call that may not be repeated. Its answer is lost; the
// caller tries again with the same key on another entry VM.
func (r *run) confirmation(ctx context.Context) {
	const key = "confirm-thies-0042"
	r.stand.PlainBackend.LoseResponses(1)
	var verdicts []string
	for _, entry := range r.stand.Entries[:2] {
		_, verdict, err := entry.Client().Call(ctx, "confirmations", "/confirm", key)
		if err != nil {
			r.problem(errors.Wrap(err, "confirmation"))
			return
		}
		verdicts = append(verdicts, verdict)
	}
	runs := r.stand.PlainBackend.Runs(key)
	r.say("the confirmation's answer was lost; the caller heard %v, it ran %d time(s)", verdicts, runs)
	r.mu.Lock()
	r.result.KeyedCalls, r.result.KeyedRuns, r.result.KeyedVerdict = len(verdicts), runs, verdicts[len(verdicts)-1]
	r.mu.Unlock()
	if runs != 1 {
		r.problem(errors.Errorf("the confirmation ran %d times", runs))
	}
}

func (r *run) done(err error) {
	r.mu.Lock()
	r.result.Answers++
	if err == nil {
		r.result.Whole++
	}
	r.mu.Unlock()
	if err != nil {
		r.problem(err)
	}
}

func (r *run) problem(err error) {
	r.say("PROBLEM: %v", err)
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
		fmt.Fprintf(out, "call that may not be repeated: sent %d times, ran %d time(s), last verdict %s\n", res.KeyedCalls, res.KeyedRuns, res.KeyedVerdict)
		fmt.Fprintf(out, "urgent lookups: slowest first token %d ms\n", res.LookupMaxMS)
		fmt.Fprintf(out, "%d of %d answers whole and once; the answer went on %d ms after its engine died\n", res.Whole, res.Answers, res.ResumeMS)
	}
	if len(res.Problems) > 0 {
		return errors.Errorf("%d problem(s), the first: %s", len(res.Problems), res.Problems[0])
	}
	return nil
}
