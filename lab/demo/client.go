package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"

	"mallowwind.dev/platform/standin/tokencheck"
)

// client is a caller with one account's token.
type client struct {
	base  string
	token string
	http  *http.Client
}

func (c *client) do(ctx context.Context, method, path string, body any, header map[string]string) (*http.Response, error) {
	var content io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		content = bytes.NewReader(b)
	}
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, content)
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+c.token)
	for k, v := range header {
		r.Header.Set(k, v)
	}
	return c.http.Do(r)
}

// refusal is the error body of the system.
type refusal struct {
	Error struct {
		Code    string `json:"code"`
		Verdict string `json:"verdict"`
		Message string `json:"message"`
	} `json:"error"`
}

func readRefusal(r *http.Response) error {
	var body refusal
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return errors.Errorf("status %d", r.StatusCode)
	}
	return errors.Errorf("status %d, %s (%s): %s", r.StatusCode, body.Error.Code, body.Error.Verdict, body.Error.Message)
}

// entry is one row of the address answer.
type entry struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

func (c *client) entries(ctx context.Context) ([]entry, error) {
	r, err := c.do(ctx, http.MethodGet, "/v1/entries", nil, nil)
	if err != nil {
		return nil, err
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return nil, readRefusal(r)
	}
	var body struct {
		Entries []entry `json:"entries"`
	}
	return body.Entries, json.NewDecoder(r.Body).Decode(&body)
}

// call posts to a plain service.
func (c *client) call(ctx context.Context, service, path, key string) (status int, verdict string, err error) {
	r, err := c.do(ctx, http.MethodPost, "/services/"+service+path, map[string]int{"sacks": 40}, map[string]string{"Idempotency-Key": key})
	if err != nil {
		return 0, "", err
	}
	defer r.Body.Close()
	if r.StatusCode == http.StatusOK {
		return r.StatusCode, "ran", nil
	}
	var body refusal
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return r.StatusCode, "", err
	}
	return r.StatusCode, body.Error.Verdict, nil
}

// answer is one streamed completion as its caller sees it.
type answer struct {
	client  *client
	service string
	prompt  string
	tokens  int
	// onEvent is called after each event with the number of events so far.
	onEvent func(n int)
	// moveTo are the clients to continue with, one by one, when the connection
	// breaks before the terminal event.
	moveTo []*client

	id     string
	lastID string
	text   strings.Builder
	events int
	done   bool
	first  time.Duration // until the first token
	gap    time.Duration // longest wait between two events
	moves  int
}

// run posts the request and reads the answer to its terminal event.
func (a *answer) run(ctx context.Context) error {
	began := time.Now()
	last := began
	r, err := a.client.do(ctx, http.MethodPost, "/v1/completions", map[string]any{
		"model": a.service, "prompt": a.prompt, "max_tokens": a.tokens, "stream": true,
	}, nil)
	for {
		if err == nil {
			err = a.read(r, began, &last)
		}
		if err == nil || len(a.moveTo) == 0 || a.lastID == "" || ctx.Err() != nil {
			break
		}
		a.client, a.moveTo = a.moveTo[0], a.moveTo[1:]
		a.moves++
		r, err = a.client.do(ctx, http.MethodGet, "/v1/generations/"+a.id, nil, map[string]string{"Last-Event-ID": a.lastID})
	}
	if err != nil {
		return err
	}
	return a.check()
}

// read takes events until the terminal one.
func (a *answer) read(r *http.Response, began time.Time, last *time.Time) error {
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return readRefusal(r)
	}
	a.id = r.Header.Get("X-Generation-Id")
	for ev, err := range sse.Read(r.Body, nil) {
		if err != nil {
			return errors.Wrap(err, "the stream broke")
		}
		if ev.Type == "error" {
			return errors.Errorf("the answer failed: %s", ev.Data)
		}
		if ev.Data == "[DONE]" {
			a.done = true
			return nil
		}
		if err := a.take(ev.Data); err != nil {
			return err
		}
		now := time.Now()
		if a.events == 0 {
			a.first = now.Sub(began)
		} else {
			a.gap = max(a.gap, now.Sub(*last))
		}
		*last = now
		a.lastID = ev.LastEventID
		a.events++
		if a.onEvent != nil {
			a.onEvent(a.events)
		}
	}
	return errors.New("the stream ended without its terminal event")
}

func (a *answer) take(data string) error {
	var chunk struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return errors.Wrap(err, "event")
	}
	for _, c := range chunk.Choices {
		a.text.WriteString(c.Text)
	}
	return nil
}

// check verifies that the text is one whole generation: each token carries its
// index and a hash of everything before it.
func (a *answer) check() error {
	n, err := tokencheck.Check(demoModel, a.prompt, a.text.String())
	switch {
	case err != nil:
		return errors.Wrap(err, "the answer is not one generation")
	case n != a.tokens || !a.done:
		return fmt.Errorf("the answer has %d of %d tokens", n, a.tokens)
	}
	return nil
}

// demoModel is the model that the site text names.
const demoModel = "granulator"
