package stand

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/shoenig/test/must"

	"mallowwind.dev/external/standin/tokencheck"
)

// inMemory runs f on a deployment in virtual time.
func inMemory(t *testing.T, o Options, f func(t *testing.T, d *Deployment)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		o.Memory = true
		d, err := Start(t.Context(), o)
		must.NoError(t, err)
		// Gives weight fetches and idle connections time to end.
		defer time.Sleep(3 * time.Minute)
		defer d.Close()
		f(t, d)
	})
}

// kill kills the engines that run a generation and returns their number.
func (d *Deployment) kill(id string) (killed int) {
	for _, e := range d.Engines {
		if e.HasUnfinished(id) {
			e.Crash()
			killed++
		}
	}
	return killed
}

// A program that uses an unmodified client library streams a completion and the engine
// dies after about forty tokens. The program must see no error and no missing or repeated
// token.
func TestUnmodifiedClientLibrary(t *testing.T) {
	inMemory(t, Options{Seed: 1}, func(t *testing.T, d *Deployment) {
		c := openai.NewClient(
			option.WithBaseURL("http://"+d.Entries[0].Address+"/v1"),
			option.WithAPIKey(DemoToken),
			option.WithHTTPClient(d.HTTP()),
			option.WithMaxRetries(0),
		)
		stream := c.Completions.NewStreaming(t.Context(), openai.CompletionNewParams{
			Model:     "reviews",
			Prompt:    openai.CompletionNewParamsPromptUnion{OfString: openai.String("Compare the two hire contracts.")},
			MaxTokens: openai.Int(120),
		})
		var text strings.Builder
		killed, finish := 0, ""
		for n := 0; stream.Next(); n++ {
			chunk := stream.Current()
			text.WriteString(chunk.Choices[0].Text)
			finish = string(chunk.Choices[0].FinishReason)
			if n == 40 {
				killed = d.kill(chunk.ID)
			}
		}
		must.NoError(t, stream.Err())
		must.Eq(t, 1, killed)
		must.Eq(t, "length", finish)
		must.NoError(t, tokencheck.CheckWhole(DemoModel, "Compare the two hire contracts.", text.String(), 120))
	})
}

// The same library requests a chat completion without streaming.
func TestUnmodifiedClientLibraryChat(t *testing.T) {
	inMemory(t, Options{Seed: 2}, func(t *testing.T, d *Deployment) {
		c := openai.NewClient(
			option.WithBaseURL("http://"+d.Entries[1].Address+"/v1"),
			option.WithAPIKey(DemoToken),
			option.WithHTTPClient(d.HTTP()),
			option.WithMaxRetries(0),
		)
		answer, err := c.Chat.Completions.New(t.Context(), openai.ChatCompletionNewParams{
			Model:               "orders",
			Messages:            []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Where is order 7?")},
			MaxCompletionTokens: openai.Int(20),
		})
		must.NoError(t, err)
		must.Eq(t, 20, answer.Usage.CompletionTokens)
		must.NoError(t, tokencheck.CheckWhole(DemoModel, "user: Where is order 7?\nassistant:", answer.Choices[0].Message.Content, 20))
	})
}

// Invalid input must be rejected with its own code and message and the verdict not_run.
func TestBadInput(t *testing.T) {
	const post, completions = http.MethodPost, "/v1/completions"
	body := func(format string, args ...any) []byte { return fmt.Appendf(nil, format, args...) }
	cases := []struct {
		name, method, path string
		body               []byte
		header             map[string]string
		token              string
		status             int
		code, message      string
	}{
		{name: "unknown service", method: post, path: completions, body: body(`{"model":"revews","prompt":"x"}`), status: 404, code: "unknown_service", message: "revews"},
		{name: "plain service as model", method: post, path: completions, body: body(`{"model":"confirmations","prompt":"x"}`), status: 404, code: "unknown_service"},
		{name: "unknown account", method: post, path: completions, body: body(`{"model":"reviews","prompt":"x"}`), token: "wrong", status: 401, code: "unauthorized"},
		{name: "malformed JSON", method: post, path: completions, body: body(`{"model":`), status: 400, code: "bad_request", message: "JSON"},
		{name: "body over the limit", method: post, path: completions, body: body(`{"model":"reviews","prompt":"%s"}`, strings.Repeat("x", 5<<20)), status: 413, code: "body_too_large", message: "4194304"},
		{name: "negative limit", method: post, path: completions, body: body(`{"model":"reviews","prompt":"x","max_tokens":-1}`), status: 400, code: "bad_request", message: "max_tokens is -1"},
		{name: "two answers", method: post, path: completions, body: body(`{"model":"reviews","prompt":"x","n":2}`), status: 400, code: "bad_request", message: "n is 2"},
		{name: "no prompt", method: post, path: completions, body: body(`{"model":"reviews"}`), status: 400, code: "bad_request", message: "prompt"},
		{name: "no messages", method: post, path: "/v1/chat/completions", body: body(`{"model":"reviews"}`), status: 400, code: "bad_request", message: "messages"},
		{name: "temperature", method: post, path: completions, body: body(`{"model":"reviews","prompt":"x","temperature":9}`), status: 400, code: "bad_request", message: "temperature"},
		{name: "key not printable", method: post, path: completions, body: body(`{"model":"reviews","prompt":"x"}`), header: map[string]string{"Idempotency-Key": "a\tb"}, status: 400, code: "bad_request", message: "Idempotency-Key"},
		{name: "call without a key", method: post, path: "/services/confirmations/x", body: body(`{}`), status: 400, code: "idempotency_key_required"},
		{name: "unknown plain service", method: post, path: "/services/nothing/x", body: body(`{}`), status: 404, code: "unknown_service"},
		{name: "bad event id", method: http.MethodGet, path: "/v1/generations/g0123", status: 400, code: "bad_request"},
		{name: "no such path", method: http.MethodGet, path: "/v2/completions", status: 400, code: "bad_request"},
	}
	inMemory(t, Options{Seed: 3}, func(t *testing.T, d *Deployment) {
		for _, c := range cases {
			client := d.Entries[0].Client()
			if c.token != "" {
				client.Token = c.token
			}
			r, err := client.Do(t.Context(), c.method, c.path, c.body, c.header)
			must.NoError(t, err, must.Sprint(c.name))
			var refused *ErrorResponse
			must.True(t, errors.As(ReadErrorResponse(r), &refused), must.Sprint(c.name))
			r.Body.Close()
			must.Eq(t, c.status, refused.Status, must.Sprint(c.name))
			must.Eq(t, c.code, refused.Code, must.Sprint(c.name))
			must.Eq(t, "not_run", refused.Verdict, must.Sprint(c.name))
			must.StrContains(t, refused.Message, c.message, must.Sprint(c.name))
		}
	})
}

// A caller repeats a request with the same key on another entry VM and must get the text
// of the same generation. The key with another body must be rejected.
func TestSameKeyElsewhere(t *testing.T) {
	inMemory(t, Options{Seed: 4}, func(t *testing.T, d *Deployment) {
		key := map[string]string{"Idempotency-Key": "review-17"}
		read := func(e *Entry, prompt string) (string, error) {
			a := &Answer{Client: e.Client(), Service: "reviews", Prompt: prompt, Tokens: 50, Header: key}
			err := a.Run(t.Context())
			return a.Text(), err
		}
		first, err := read(d.Entries[0], "one")
		must.NoError(t, err)
		again, err := read(d.Entries[1], "one")
		must.NoError(t, err)
		must.Eq(t, first, again)
		_, err = read(d.Entries[2], "two")
		var refused *ErrorResponse
		must.True(t, errors.As(err, &refused))
		must.Eq(t, "idempotency_key_reused", refused.Code)
		must.Eq(t, "not_run", refused.Verdict)
	})
}

// An entry VM shuts down while it streams a long generation. It must no longer be named to
// callers, must still serve callers that have its address cached, and must complete the
// running stream before the daemon exits.
func TestGracefulShutdown(t *testing.T) {
	inMemory(t, Options{Seed: 5}, func(t *testing.T, d *Deployment) {
		leaving := d.Entries[0]
		a := &Answer{Client: leaving.Client(), Service: "reviews", Prompt: "long", Tokens: 1000}
		began := make(chan struct{})
		a.OnEvent = func(n int) {
			if n == 10 {
				close(began)
			}
		}
		result := make(chan error, 1)
		go func() { result <- a.Run(t.Context()) }()
		<-began
		stopped := make(chan error, 1)
		go func() { stopped <- leaving.Stop() }()
		time.Sleep(time.Second)
		named, err := d.Entries[1].Client().Entries(t.Context())
		must.NoError(t, err)
		for _, n := range named {
			must.NotEq(t, leaving.ID, n.ID)
		}
		kept := &Answer{Client: leaving.Client(), Service: "orders", Prompt: "kept answer", Tokens: 5}
		must.NoError(t, kept.Run(t.Context()))
		must.NoError(t, <-result)
		must.NoError(t, <-stopped)
		late := &Answer{Client: leaving.Client(), Service: "orders", Prompt: "late", Tokens: 5}
		must.Error(t, late.Run(t.Context()))
	})
}

// The entry VM and the engine of a generation are lost together. The caller continues on
// another entry VM with its last event id and must receive one complete generation.
func TestEntryAndEngineLost(t *testing.T) {
	inMemory(t, Options{Seed: 6}, func(t *testing.T, d *Deployment) {
		a := &Answer{
			Client: d.Entries[0].Client(), Service: "reviews", Prompt: "dispute", Tokens: 300,
			FailoverTo: []*Client{d.Entries[1].Client(), d.Entries[2].Client()},
		}
		a.OnEvent = func(n int) {
			if n == 100 {
				d.kill(a.ID)
				d.Entries[0].Callers().Cut()
				d.Entries[0].Peers().Cut()
			}
		}
		must.NoError(t, a.Run(t.Context()))
		must.Eq(t, 1, a.Failovers)
	})
}

// Every entry VM is replaced, one after another, after a generation has finished. A caller
// that sends the request again with the same key must get the same text, since each VM
// hands its replicas to another VM before it stops.
func TestFinishedAnswerSurvivesReplacement(t *testing.T) {
	inMemory(t, Options{Seed: 7}, func(t *testing.T, d *Deployment) {
		key := map[string]string{"Idempotency-Key": "review-18"}
		ask := func(e *Entry) string {
			a := &Answer{Client: e.Client(), Service: "reviews", Prompt: "owed", Tokens: 60, Header: key}
			must.NoError(t, a.Run(t.Context()))
			return a.Text()
		}
		first := ask(d.Entries[0])
		old := append([]*Entry(nil), d.Entries...)
		for _, e := range old {
			_, err := d.StartEntry(e.Zone)
			must.NoError(t, err)
			time.Sleep(10 * time.Second)
			must.NoError(t, e.Stop())
		}
		must.Eq(t, first, ask(d.Entries[len(d.Entries)-1]))
	})
}
