package soak

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"

	"mallowwind.dev/external/standin/tokencheck"
	"mallowwind.dev/lab/stand"
)

// completion is a completion request and the part of its response that the caller holds.
type completion struct {
	caller    *caller
	service   string
	prompt    string
	key       string
	maxTokens int

	id, lastID  string
	text        strings.Builder
	earlierText string // longest text that an earlier attempt returned
	complete    bool
	attempts    int // how often the request was sent
}

// errConnectionBroken reports a connection that broke or timed out before the end of the response.
var errConnectionBroken = errors.New("the connection broke")

// post sends the request and reads the response from its start, discarding the text of earlier
// attempts.
func (a *completion) post(ctx context.Context, to *stand.Client) error {
	a.attempts++
	a.id, a.lastID = "", ""
	if a.text.Len() > len(a.earlierText) {
		a.earlierText = a.text.String()
	}
	a.text.Reset()
	header := map[string]string{}
	if a.key != "" {
		header["Idempotency-Key"] = a.key
	}
	return a.exchange(ctx, to, http.MethodPost, "/v1/completions", a.body(true), header)
}

func (a *completion) body(stream bool) map[string]any {
	return map[string]any{"model": a.service, "prompt": a.prompt, "max_tokens": a.maxTokens, "stream": stream}
}

// resume continues after the last event that the caller holds.
func (a *completion) resume(ctx context.Context, to *stand.Client) error {
	header := map[string]string{}
	if a.lastID != "" {
		header["Last-Event-ID"] = a.lastID
	}
	return a.exchange(ctx, to, http.MethodGet, "/v1/generations/"+a.id, nil, header)
}

// exchange returns nil at the terminal event, errConnectionBroken or a *stand.Refusal.
func (a *completion) exchange(ctx context.Context, to *stand.Client, method, path string, body any, header map[string]string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(idleTimeout, cancel)
	defer timer.Stop()
	response, err := to.Do(ctx, method, path, body, header)
	if err != nil {
		return errors.Wrap(errConnectionBroken, err.Error())
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return refusal(response)
	}
	a.id = response.Header.Get("X-Generation-Id")
	return a.read(idleTimeoutReader{response.Body, timer})
}

// refusal reads an error response. A truncated one counts as a broken connection.
func refusal(response *http.Response) error {
	var refused *stand.Refusal
	if err := stand.ReadRefusal(response); errors.As(err, &refused) {
		return refused
	}
	return errors.Wrapf(errConnectionBroken, "status %d without a refusal", response.StatusCode)
}

func (a *completion) read(body idleTimeoutReader) error {
	for ev, err := range sse.Read(body, nil) {
		switch {
		case err != nil:
			return errors.Wrap(errConnectionBroken, err.Error())
		case ev.Type == "error":
			return a.handleError(ev.Data)
		case ev.Data == "[DONE]":
			return a.checkComplete()
		}
		if err := a.appendEvent(ev.Data); err != nil {
			return err
		}
		if ev.LastEventID != "" {
			a.lastID = ev.LastEventID
		}
	}
	return errors.Wrap(errConnectionBroken, "the stream ended without its terminal event")
}

// handleError handles the error event that ends an incomplete response.
func (a *completion) handleError(data string) error {
	var body struct {
		Error stand.Refusal `json:"error"`
	}
	if err := json.Unmarshal([]byte(data), &body); err != nil || body.Error.Verdict == "" {
		a.caller.run.recordViolation("%q: an error event without a verdict: %s", a.prompt, data)
	}
	if body.Error.Verdict == "not_run" && a.text.Len() > 0 {
		a.caller.run.recordViolation("%q: not_run after %d bytes of the response: %s", a.prompt, a.text.Len(), data)
	}
	return &body.Error
}

// appendEvent appends one event. The text must always be a prefix of a single generation.
func (a *completion) appendEvent(data string) error {
	text, err := stand.EventText(data)
	if err != nil {
		return errors.Wrap(errConnectionBroken, "truncated event")
	}
	a.text.WriteString(text)
	if _, err := tokencheck.Check(stand.DemoModel, a.prompt, a.text.String()); err != nil {
		a.caller.run.recordViolation("%q (%s): the received text is not from a single generation: %v", a.prompt, a.id, err)
		return &stand.Refusal{Code: "mixed", Verdict: "may_have_run"}
	}
	return nil
}

// checkComplete checks a response at its terminal event.
func (a *completion) checkComplete() error {
	a.complete = true
	err := tokencheck.CheckWhole(stand.DemoModel, a.prompt, a.text.String(), a.maxTokens)
	if err != nil {
		a.caller.run.recordViolation("%q (%s): the terminal event ended an incomplete response: %v", a.prompt, a.id, err)
	}
	if a.key != "" && !strings.HasPrefix(a.text.String(), a.earlierText) {
		a.caller.run.count("another generation for the same key")
		a.caller.run.logEvent("%q (%s): another generation for the same key, after %d bytes of the first", a.prompt, a.id, len(a.earlierText))
		if a.caller.run.opts.MustServe {
			a.caller.run.recordViolation("%q (%s): the same key returned a different generation", a.prompt, a.id)
		}
	}
	return nil
}

// postUnstreamed requests the complete response without streaming.
func (a *completion) postUnstreamed(ctx context.Context, to *stand.Client) error {
	a.attempts++
	a.text.Reset()
	ctx, cancel := context.WithTimeout(ctx, unstreamedTimeout)
	defer cancel()
	response, err := to.Do(ctx, http.MethodPost, "/v1/completions", a.body(false), map[string]string{"Idempotency-Key": a.key})
	if err != nil {
		return errors.Wrap(errConnectionBroken, err.Error())
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return refusal(response)
	}
	var body struct {
		ID      string `json:"id"`
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil || len(body.Choices) != 1 {
		return errors.Wrap(errConnectionBroken, "truncated response")
	}
	a.id = body.ID
	a.text.WriteString(body.Choices[0].Text)
	return a.checkComplete()
}

// unstreamedTimeout is how long a caller waits for an unstreamed response before it retries at
// another entry VM; these responses are short.
const unstreamedTimeout = 20 * time.Second
