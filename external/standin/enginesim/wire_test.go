package enginesim_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/external/engine"
	"mallowwind.dev/external/sent"
	"mallowwind.dev/external/standin/enginesim"
	"mallowwind.dev/external/standin/faultnet"
	"mallowwind.dev/external/standin/tokencheck"
)

var ref = engine.ModelRef{Model: "review"}

// wired is an engine behind its wire form, without a network.
type wired struct {
	sim    *enginesim.Sim
	net    *faultnet.Listener
	client *engine.Client
	server *http.Server
}

func wire(config enginesim.Config) *wired {
	config.Models = []engine.ModelRef{ref}
	w := &wired{sim: enginesim.New(config), net: faultnet.Pipe()}
	w.server = &http.Server{Handler: enginesim.Handler(w.sim)}
	go w.server.Serve(w.net)
	w.client = engine.NewClient("http://engine", &http.Client{
		Transport: sent.NewTransportWith(w.net.Dial, true),
	})
	return w
}

func (w *wired) close() {
	w.client.CloseIdle()
	_ = w.server.Close()
	w.sim.Close()
}

func request(prompt string, n int) engine.Request {
	return engine.Request{Generation: "g1", Attempt: 1, Model: ref.Model, Prompt: prompt, MaxTokens: n}
}

// readAll reads to the end and returns the text, the finish reason and the error.
func readAll(ctx context.Context, s engine.Stream) (string, engine.FinishReason, error) {
	var text strings.Builder
	var finish engine.FinishReason
	for {
		c, err := s.Next(ctx)
		if err == io.EOF {
			return text.String(), finish, nil
		}
		if err != nil {
			return text.String(), finish, err
		}
		text.WriteString(strings.Join(c.Tokens, ""))
		if c.Finish != "" {
			finish = c.Finish
		}
	}
}

// A caller asks for 40 tokens and reads exactly 40, each once, with an end.
func TestWholeAnswerOverTheWire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := wire(enginesim.Config{})
		defer w.close()
		s, err := w.client.Generate(t.Context(), request("hello", 40))
		must.NoError(t, err)
		text, finish, err := readAll(t.Context(), s)
		must.NoError(t, err)
		must.Eq(t, engine.FinishLength, finish)
		must.NoError(t, tokencheck.CheckWhole(ref.Model, "hello", text, 40))
	})
}

// An engine dies in the middle of an answer. The reader holds a good prefix
// and an error that is not an end; another engine continues from the exact
// prefix, and the two parts are one answer.
func TestContinueFromPrefixAfterDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := wire(enginesim.Config{Seed: 1}), wire(enginesim.Config{Seed: 2})
		defer a.close()
		defer b.close()
		s, err := a.client.Generate(t.Context(), request("hello", 100))
		must.NoError(t, err)
		time.AfterFunc(500*time.Millisecond, func() { a.net.Cut(); a.sim.Crash() })
		first, _, err := readAll(t.Context(), s)
		must.ErrorIs(t, err, engine.ErrBroken)
		n, err := tokencheck.Check(ref.Model, "hello", first)
		must.NoError(t, err)
		must.Between(t, 1, n, 99)

		req := request("hello", 100)
		req.Attempt = 2
		req.Prefix = splitTokens(first)
		s, err = b.client.Generate(t.Context(), req)
		must.NoError(t, err)
		rest, _, err := readAll(t.Context(), s)
		must.NoError(t, err)
		must.NoError(t, tokencheck.CheckWhole(ref.Model, "hello", first+rest, 100))
	})
}

func splitTokens(text string) []string {
	parts := strings.Split(text, " ")[1:]
	for i := range parts {
		parts[i] = " " + parts[i]
	}
	return parts
}
