package enginesim_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"mallowwind.dev/external/engine"
	"mallowwind.dev/external/standin/enginesim"
	"mallowwind.dev/external/standin/faultnet"
)

// fast is an engine whose steps take no time, so that a benchmark measures the
// stand-in itself.
var fast = enginesim.Config{
	Models: []engine.ModelRef{ref}, Slots: 64, QueueLimit: 1 << 20,
	StepBase: 1, StepPerRequest: 1, PrefillPerToken: 1, Retention: time.Millisecond,
}

func drain(b *testing.B, e engine.Engine, id string, tokens int) {
	req := request("hello", tokens)
	req.Generation = id
	s, err := e.Generate(b.Context(), req)
	if err != nil {
		b.Error(err)
		return
	}
	defer s.Close()
	for {
		if _, err := s.Next(context.Background()); err == io.EOF {
			return
		} else if err != nil {
			b.Error(err)
			return
		}
	}
}

// benchStreams runs n streams at once, over and over, and reports tokens a second.
func benchStreams(b *testing.B, n int, e engine.Engine) {
	const tokens = 200
	rounds := 0
	for b.Loop() {
		var wg sync.WaitGroup
		for i := range n {
			wg.Go(func() { drain(b, e, fmt.Sprintf("%d-%d", rounds, i), tokens) })
		}
		wg.Wait()
		rounds++
	}
	b.ReportMetric(float64(rounds*n*tokens)/b.Elapsed().Seconds(), "tokens/s")
}

func BenchmarkInProcess(b *testing.B) {
	for _, n := range []int{1, 64, 1024} {
		b.Run(fmt.Sprintf("streams=%d", n), func(b *testing.B) {
			s := enginesim.New(fast)
			defer s.Close()
			benchStreams(b, n, s)
		})
	}
}

func BenchmarkOverTCP(b *testing.B) {
	for _, n := range []int{1, 64, 1024} {
		b.Run(fmt.Sprintf("streams=%d", n), func(b *testing.B) {
			s := enginesim.New(fast)
			defer s.Close()
			l, err := faultnet.Listen("127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			server := &http.Server{Handler: enginesim.Handler(s)}
			go server.Serve(l)
			defer server.Close()
			benchStreams(b, n, engine.NewClient("http://"+l.Addr().String(), nil))
		})
	}
}
