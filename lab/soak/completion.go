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
func (req *completion) post(ctx context.Context, to *stand.Client) error {
	req.attempts++
	req.id, req.lastID = "", ""
	if req.text.Len() > len(req.earlierText) {
		req.earlierText = req.text.String()
	}
	req.text.Reset()
	header := map[string]string{}
	if req.key != "" {
		header["Idempotency-Key"] = req.key
	}
	return req.exchange(ctx, to, http.MethodPost, "/v1/completions", req.body(true), header)
}

func (req *completion) body(stream bool) map[string]any {
	return map[string]any{"model": req.service, "prompt": req.prompt, "max_tokens": req.maxTokens, "stream": stream}
}

// resume continues after the last event that the caller holds.
func (req *completion) resume(ctx context.Context, to *stand.Client) error {
	header := map[string]string{}
	if req.lastID != "" {
		header["Last-Event-ID"] = req.lastID
	}
	return req.exchange(ctx, to, http.MethodGet, "/v1/generations/"+req.id, nil, header)
}

// exchange returns nil at the terminal event, errConnectionBroken or a *stand.ErrorResponse.
func (req *completion) exchange(ctx context.Context, to *stand.Client, method, path string, body any, header map[string]string) error {
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
	req.id = response.Header.Get("X-Generation-Id")
	return req.read(idleTimeoutReader{response.Body, timer})
}

// refusal reads an error response. A truncated one counts as a broken connection.
func refusal(response *http.Response) error {
	var refused *stand.ErrorResponse
	if err := stand.ReadErrorResponse(response); errors.As(err, &refused) {
		return refused
	}
	return errors.Wrapf(errConnectionBroken, "status %d without a refusal", response.StatusCode)
}

func (req *completion) read(body idleTimeoutReader) error {
	for ev, err := range sse.Read(body, nil) {
		switch {
		case err != nil:
			return errors.Wrap(errConnectionBroken, err.Error())
		case ev.Type == "error":
			return req.handleError(ev.Data)
		case ev.Data == "[DONE]":
			return req.checkComplete()
		}
		if err := req.appendEvent(ev.Data); err != nil {
			return err
		}
		if ev.LastEventID != "" {
			req.lastID = ev.LastEventID
		}
	}
	return errors.Wrap(errConnectionBroken, "the stream ended without its terminal event")
}

// handleError handles the error event that ends an incomplete response.
func (req *completion) handleError(data string) error {
	var body struct {
		Error stand.ErrorResponse `json:"error"`
	}
	if err := json.Unmarshal([]byte(data), &body); err != nil || body.Error.Verdict == "" {
		req.caller.run.recordViolation("%q: an error event without a verdict: %s", req.prompt, data)
	}
	if body.Error.Verdict == "not_run" && req.text.Len() > 0 {
		req.caller.run.recordViolation("%q: not_run after %d bytes of the response: %s", req.prompt, req.text.Len(), data)
	}
	return &body.Error
}

// appendEvent appends one event. The text must always be a prefix of a single generation.
func (req *completion) appendEvent(data string) error {
	text, err := stand.EventText(data)
	if err != nil {
		return errors.Wrap(errConnectionBroken, "truncated event")
	}
	req.text.WriteString(text)
	if _, err := tokencheck.Check(stand.DemoModel, req.prompt, req.text.String()); err != nil {
		req.caller.run.recordViolation("%q (%s): the received text is not from a single generation: %v", req.prompt, req.id, err)
		return &stand.ErrorResponse{Code: "mixed", Verdict: "may_have_run"}
	}
	return nil
}

// checkComplete checks a response at its terminal event.
func (req *completion) checkComplete() error {
	req.complete = true
	err := tokencheck.CheckWhole(stand.DemoModel, req.prompt, req.text.String(), req.maxTokens)
	if err != nil {
		req.caller.run.recordViolation("%q (%s): the terminal event ended an incomplete response: %v", req.prompt, req.id, err)
	}
	if req.key != "" && !strings.HasPrefix(req.text.String(), req.earlierText) {
		req.caller.run.count("another generation for the same key")
		req.caller.run.logEvent("%q (%s): another generation for the same key, after %d bytes of the first", req.prompt, req.id, len(req.earlierText))
		if req.caller.run.opts.MustServe {
			req.caller.run.recordViolation("%q (%s): the same key returned a different generation", req.prompt, req.id)
		}
	}
	return nil
}

// postUnstreamed requests the complete response without streaming.
func (req *completion) postUnstreamed(ctx context.Context, to *stand.Client) error {
	req.attempts++
	req.text.Reset()
	ctx, cancel := context.WithTimeout(ctx, unstreamedTimeout)
	defer cancel()
	response, err := to.Do(ctx, http.MethodPost, "/v1/completions", req.body(false), map[string]string{"Idempotency-Key": req.key})
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
	req.id = body.ID
	req.text.WriteString(body.Choices[0].Text)
	return req.checkComplete()
}

// unstreamedTimeout is how long a caller waits for an unstreamed response before it retries at
// another entry VM; these responses are short.
const unstreamedTimeout = 20 * time.Second
