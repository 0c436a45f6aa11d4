package slopes

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"mallowwind.dev/external/engine"
	"mallowwind.dev/lab/report"
)

const (
	relayDaemons = 2 // in two zones, so that each copies to the other
	relayStreams = 128
)

// relayExperiments are what an answer costs the daemons between an engine and
// a caller. The same answers are read from the engines directly, by the same
// reader, and what that costs is subtracted.
func relayExperiments() []Experiment {
	return []Experiment{
		{
			X: report.Col("tokens", ""), Sizes: []int{25, 50, 100, 150},
			Quantities: []Quantity{
				{"relay_cpu", "One answer through a daemon, its copy on another included, by its tokens; 128 streams at 30 ms a token, the cost of reading the engines directly subtracted.", report.Col("CPU", "µs")},
				{"caller_bytes", "Bytes of one streamed answer as the caller gets it, by its tokens.", report.Col("bytes", "B")},
			},
			Run: relayCost,
		},
		{
			X: report.Col("streams", ""), Sizes: []int{32, 64, 96, 128},
			Quantities: []Quantity{
				{"stream_memory", "Heap and stacks of two daemons by their open streams, of a hundred tokens so far; what the same streams take without daemons subtracted.", report.Col("heap", "KB")},
			},
			Run: one(streamMemory),
		},
	}
}

// source is where a reader gets its answers.
type source struct {
	url  func(i int) string
	body func(i, tokens int) any
	auth string
}

func (s *stack) throughDaemons() source {
	return source{
		url: func(i int) string {
			return "http://" + s.daemons[i%len(s.daemons)].callers.Addr().String() + "/v1/completions"
		},
		body: func(i, tokens int) any {
			return map[string]any{"model": modelOf(i), "prompt": prompt(i), "max_tokens": tokens, "stream": true}
		},
		auth: "account-0000",
	}
}

func (s *stack) straight() source {
	return source{
		url: func(i int) string { return s.engines[i%len(s.sims)].URL + engine.PathCompletions },
		body: func(i, tokens int) any {
			return engine.NewCompletionRequest(engine.Request{
				Generation: fmt.Sprintf("straight-%d-%d", i, time.Now().UnixNano()), Attempt: 1,
				Model: modelOf(i), Prompt: prompt(i), MaxTokens: tokens,
			})
		},
	}
}

func prompt(i int) string { return fmt.Sprintf("Summarise delivery %d to the bakery in Kaolack.", i) }

// read reads one answer and returns its bytes; onToken is called for each event
// with tokens.
func (s source) read(ctx context.Context, client *http.Client, i, tokens int, onToken func()) (int, error) {
	body, err := json.Marshal(s.body(i, tokens))
	if err != nil {
		return 0, errors.Wrap(err, "request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url(i), bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(err, "request")
	}
	req.Header.Set("Content-Type", "application/json")
	if s.auth != "" {
		req.Header.Set("Authorization", "Bearer "+s.auth)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, errors.Wrap(err, "request")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, errors.Errorf("answer %s", resp.Status)
	}
	return scan(resp, onToken)
}

// scan reads events up to the terminal one and returns their bytes.
func scan(resp *http.Response, onToken func()) (int, error) {
	n := 0
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		n += len(lines.Bytes()) + 1
		if !bytes.HasPrefix(lines.Bytes(), []byte("data:")) {
			continue
		}
		if bytes.HasSuffix(lines.Bytes(), []byte(engine.StreamDone)) {
			return n, nil
		}
		onToken()
	}
	if err := lines.Err(); err != nil {
		return n, errors.Wrap(err, "answer")
	}
	return n, errors.New("the answer ended without its terminal event")
}

// readAll reads streams answers beside each other and returns the mean bytes.
func (s source) readAll(ctx context.Context, streams, tokens int, read *atomic.Int64) (float64, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}
	defer client.CloseIdleConnections()
	var total atomic.Int64
	g, ctx := errgroup.WithContext(ctx)
	for i := range streams {
		g.Go(func() error {
			n, err := s.read(ctx, client, i, tokens, func() { read.Add(1) })
			total.Add(int64(n))
			return err
		})
	}
	err := g.Wait()
	return float64(total.Load()) / float64(streams), err
}

// relayStack returns a stack whose daemons have each given an answer of each
// model, so that all backend servers are known to be ready.
func relayStack(ctx context.Context) (*stack, error) {
	s, err := newStack(ctx, relayDaemons, models*zones)
	if err != nil {
		return nil, err
	}
	deadline := time.Now().Add(startLimit)
	for i := range models * relayDaemons {
		for {
			_, err := s.throughDaemons().read(ctx, http.DefaultClient, i, 1, func() {})
			if err == nil {
				break
			}
			if time.Now().After(deadline) {
				return nil, err
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return s, nil
}

// relayCost returns the processor time in microseconds and the bytes of one
// answer of tokens tokens.
func relayCost(ctx context.Context, tokens int, _ *rand.Rand) ([]float64, error) {
	s, err := relayStack(ctx)
	if err != nil {
		return nil, err
	}
	var size float64
	cost := func(from source) (time.Duration, error) {
		return cpuOf(func() (err error) {
			size, err = from.readAll(ctx, relayStreams, tokens, new(atomic.Int64))
			return err
		})
	}
	straight, err := cost(s.straight())
	if err != nil {
		return nil, errors.Wrap(err, "straight")
	}
	through, err := cost(s.throughDaemons())
	if err != nil {
		return nil, errors.Wrap(err, "through daemons")
	}
	return []float64{float64((through - straight).Microseconds()) / relayStreams, size}, s.close()
}

const (
	openTokens    = 100  // of a stream when the heap is taken
	endlessTokens = 4000 // more than are generated meanwhile
)

// streamMemory returns the heap of streams open streams in kilobytes.
func streamMemory(ctx context.Context, streams int, _ *rand.Rand) (float64, error) {
	s, err := relayStack(ctx)
	if err != nil {
		return 0, err
	}
	straight, err := heapOfStreams(ctx, s.straight(), streams)
	if err != nil {
		return 0, errors.Wrap(err, "straight")
	}
	through, err := heapOfStreams(ctx, s.throughDaemons(), streams)
	if err != nil {
		return 0, errors.Wrap(err, "through daemons")
	}
	return (through - straight) / 1000, s.close()
}

// heapOfStreams returns what streams open answers add to the heap once they
// have openTokens tokens on average.
func heapOfStreams(ctx context.Context, from source, streams int) (float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	before := liveHeap()
	var read atomic.Int64
	ended := make(chan error, 1)
	go func() {
		_, err := from.readAll(ctx, streams, endlessTokens, &read)
		ended <- err
	}()
	for read.Load() < int64(streams*openTokens) {
		select {
		case err := <-ended:
			cancel()
			return 0, errors.Wrap(err, "streams ended early")
		case <-time.After(10 * time.Millisecond):
		}
	}
	after := liveHeap()
	cancel()
	<-ended
	return after - before, nil
}
