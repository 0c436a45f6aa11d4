package enginesim_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/external/engine"
	"mallowwind.dev/external/standin/enginesim"
	"mallowwind.dev/external/standin/tokencheck"
	"mallowwind.dev/external/standin/weightsim"
)

// run generates n answers at once and returns how long all took.
func run(t *testing.T, s *enginesim.Sim, n int, prompt string) time.Duration {
	begin := time.Now()
	streams := make([]engine.Stream, n)
	for i := range streams {
		req := request(prompt, 20)
		req.Generation = fmt.Sprintf("%d-%d", begin.UnixNano(), i)
		var err error
		streams[i], err = s.Generate(t.Context(), req)
		must.NoError(t, err)
	}
	for _, stream := range streams {
		_, _, err := readAll(t.Context(), stream)
		must.NoError(t, err)
	}
	return time.Since(begin)
}

func simulate(t *testing.T, config enginesim.Config, f func(t *testing.T, s *enginesim.Sim)) {
	synctest.Test(t, func(t *testing.T) {
		config.Models = []engine.ModelRef{ref}
		s := enginesim.New(config)
		defer s.Close()
		f(t, s)
	})
}

func TestBatchSharesTheEngine(t *testing.T) {
	simulate(t, enginesim.Config{}, func(t *testing.T, s *enginesim.Sim) {
		one, many := run(t, s, 1, ""), run(t, s, 32, "")
		must.Greater(t, 2*one, many)
		must.Less(t, 4*one, many)
		s.SetSlowdown(3)
		must.Eq(t, 3*one, run(t, s, 1, ""))
	})
}

func TestCachedPrefixSavesPrefill(t *testing.T) {
	prompt := strings.Repeat("a contract of many pages. ", 400)
	simulate(t, enginesim.Config{CacheBlocks: 50}, func(t *testing.T, s *enginesim.Sim) {
		cold, warm := run(t, s, 1, prompt), run(t, s, 1, prompt)
		must.Less(t, cold, warm+200*time.Millisecond)
		must.Greater(t, 2000, int(s.Stats().Cached))
		run(t, s, 1, "b"+prompt) // pushes the first out
		must.Eq(t, cold, run(t, s, 1, prompt))
	})
}

func TestCacheEventsAreLateAndLossy(t *testing.T) {
	prompt := strings.Repeat("a contract of many pages. ", 400)
	config := enginesim.Config{EventDelay: 10 * time.Second, EventLossRatio: 0.3}
	simulate(t, config, func(t *testing.T, s *enginesim.Sim) {
		run(t, s, 1, prompt)
		events, err := s.CacheEvents(t.Context(), 0)
		must.NoError(t, err)
		must.SliceEmpty(t, events)
		time.Sleep(10 * time.Second)
		events, err = s.CacheEvents(t.Context(), 0)
		must.NoError(t, err)
		blocks := len(engine.BlockHashes(ref, prompt))
		must.Between(t, blocks/2, len(events), blocks-1)
		later, err := s.CacheEvents(t.Context(), events[3].Seq)
		must.NoError(t, err)
		must.Eq(t, events[4:], later)
	})
}

// One slot is taken, a long request waits, and an urgent lookup comes last: it
// runs before the one that waits.
func TestUrgentOvertakesInTheQueue(t *testing.T) {
	simulate(t, enginesim.Config{Slots: 1}, func(t *testing.T, s *enginesim.Sim) {
		ended := make(chan string, 3)
		for _, c := range []struct {
			id       string
			priority int
		}{{"first", 0}, {"long", 0}, {"urgent", 9}} {
			req := request("", 20)
			req.Generation, req.Priority = c.id, c.priority
			stream, err := s.Generate(t.Context(), req)
			must.NoError(t, err)
			synctest.Wait()
			go func() {
				_, _, _ = readAll(t.Context(), stream)
				ended <- c.id
			}()
		}
		must.Eq(t, []string{"first", "urgent", "long"}, []string{<-ended, <-ended, <-ended})
	})
}

func TestLoadReportLags(t *testing.T) {
	simulate(t, enginesim.Config{StatusLag: 2 * time.Second}, func(t *testing.T, s *enginesim.Sim) {
		stream, err := s.Generate(t.Context(), request("", 1000))
		must.NoError(t, err)
		defer stream.Close()
		time.Sleep(time.Second)
		early, err := s.Status(t.Context())
		must.NoError(t, err)
		must.Eq(t, 0, early.Running)
		time.Sleep(4 * time.Second)
		late, err := s.Status(t.Context())
		must.NoError(t, err)
		must.Eq(t, 1, late.Running)
		must.Between(t, 2*time.Second, late.Age, 5*time.Second)
	})
}

// Three engines are told to load at once from a weight store that serves one
// fetch at a time: they become ready one after the other.
func TestLoadingWaitsForTheWeightStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		weights := weightsim.New(1, 10*time.Second)
		var engines []*enginesim.Sim
		for range 3 {
			s := enginesim.New(enginesim.Config{Weights: weights, LoadTime: time.Second})
			must.NoError(t, s.Order(t.Context(), engine.Order{Kind: engine.OrderLoad, Ref: ref}))
			must.NoError(t, s.Order(t.Context(), engine.Order{Kind: engine.OrderLoad, Ref: ref}))
			defer s.Close()
			engines = append(engines, s)
		}
		for want := range 4 {
			ready := 0
			for _, s := range engines {
				status, err := s.Status(t.Context())
				must.NoError(t, err)
				if status.Models[0].State == engine.Ready {
					ready++
				}
			}
			must.Eq(t, want, ready)
			time.Sleep(11500 * time.Millisecond) // ready after 11, 21 and 31 s
		}
		must.Eq(t, 3, weights.FetchCount(ref))
	})
}

// Two attempts at one request differ, as sampling does, and yet a run is the
// same for the same seed.
func TestSamplingDiffersAndSeedsRepeat(t *testing.T) {
	text := func(seed, attempts uint64) (last string) {
		simulate(t, enginesim.Config{Seed: seed}, func(t *testing.T, s *enginesim.Sim) {
			for attempt := uint64(1); attempt <= attempts; attempt++ {
				req := request("p", 20)
				req.Attempt = attempt
				stream, err := s.Generate(t.Context(), req)
				must.NoError(t, err)
				last, _, _ = readAll(t.Context(), stream)
			}
		})
		return last
	}
	must.Eq(t, text(1, 1), text(1, 1))
	must.NotEq(t, text(1, 1), text(1, 2))
	must.NotEq(t, text(1, 1), text(2, 1))
}

// Long prompts for more than an engine's memory come at once. Those that do not fit
// wait, although the batch has places, and all answers come whole.
func TestPromptsWaitForMemory(t *testing.T) {
	prompt := strings.Repeat("a contract of many pages. ", 400) // 2,600 tokens
	simulate(t, enginesim.Config{MemoryTokens: 8000}, func(t *testing.T, s *enginesim.Sim) {
		midway := make(chan engine.Status, 1)
		go func() {
			time.Sleep(500 * time.Millisecond)
			status, _ := s.Status(t.Context()) // without it the figures below are 0
			midway <- status
		}()
		must.Greater(t, 500*time.Millisecond, run(t, s, 6, prompt))
		status := <-midway
		must.Eq(t, 3, status.Running)
		must.Eq(t, 3, status.Waiting)
		must.Eq(t, 0, int(s.Stats().Preempted))
	})
}

// Answers outgrow an engine's memory. The newest is taken out in the middle of its
// stream and goes on later; its caller sees a pause, and neither a gap nor a token
// twice.
func TestAnswersOutgrowTheMemory(t *testing.T) {
	simulate(t, enginesim.Config{MemoryTokens: 300}, func(t *testing.T, s *enginesim.Sim) {
		answers := make(chan error, 3)
		for i := range 3 {
			req := request(fmt.Sprint("contract ", i), 150)
			req.Generation = fmt.Sprint("g", i)
			stream, err := s.Generate(t.Context(), req)
			must.NoError(t, err)
			go func() {
				text, _, err := readAll(t.Context(), stream)
				if err == nil {
					err = tokencheck.CheckWhole(ref.Model, req.Prompt, text, 150)
				}
				answers <- err
			}()
		}
		for range 3 {
			must.NoError(t, <-answers)
		}
		must.Positive(t, s.Stats().Preempted)
	})
}
