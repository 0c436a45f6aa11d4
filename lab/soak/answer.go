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

// answer is one completion as its caller holds it.
type answer struct {
	c       *caller
	service string
	prompt  string
	key     string
	tokens  int // wanted

	id, lastID string
	text       strings.Builder
	held       string // the most that an earlier copy of the request brought
	whole      bool
	copies     int // times the request was sent
}

// errBroken is a connection that broke or fell silent before the end.
var errBroken = errors.New("the connection broke")

// post sends the request and reads what comes. The caller gives up what an
// earlier copy brought it.
func (a *answer) post(ctx context.Context, to *stand.Client) error {
	a.copies++
	a.id, a.lastID = "", ""
	if a.text.Len() > len(a.held) {
		a.held = a.text.String()
	}
	a.text.Reset()
	header := map[string]string{}
	if a.key != "" {
		header["Idempotency-Key"] = a.key
	}
	return a.exchange(ctx, to, http.MethodPost, "/v1/completions", a.body(true), header)
}

func (a *answer) body(stream bool) map[string]any {
	return map[string]any{"model": a.service, "prompt": a.prompt, "max_tokens": a.tokens, "stream": stream}
}

// resume goes on after the last event the caller holds.
func (a *answer) resume(ctx context.Context, to *stand.Client) error {
	header := map[string]string{}
	if a.lastID != "" {
		header["Last-Event-ID"] = a.lastID
	}
	return a.exchange(ctx, to, http.MethodGet, "/v1/generations/"+a.id, nil, header)
}

// exchange returns nil with the terminal event, errBroken, or a *stand.Refusal.
func (a *answer) exchange(ctx context.Context, to *stand.Client, method, path string, body any, header map[string]string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(silenceLimit, cancel)
	defer timer.Stop()
	response, err := to.Do(ctx, method, path, body, header)
	if err != nil {
		return errors.Wrap(errBroken, err.Error())
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return refusal(response)
	}
	a.id = response.Header.Get("X-Generation-Id")
	return a.read(watched{response.Body, timer})
}

// refusal reads an error answer; one cut short is a broken connection.
func refusal(response *http.Response) error {
	var refused *stand.ErrorResponse
	if err := stand.ReadErrorResponse(response); errors.As(err, &refused) {
		return refused
	}
	return errors.Wrapf(errBroken, "status %d without a refusal", response.StatusCode)
}

func (a *answer) read(body watched) error {
	for ev, err := range sse.Read(body, nil) {
		switch {
		case err != nil:
			return errors.Wrap(errBroken, err.Error())
		case ev.Type == "error":
			return a.failed(ev.Data)
		case ev.Data == "[DONE]":
			return a.end()
		}
		if err := a.take(ev.Data); err != nil {
			return err
		}
		if ev.LastEventID != "" {
			a.lastID = ev.LastEventID
		}
	}
	return errors.Wrap(errBroken, "the stream ended without its terminal event")
}

// failed reads the error event that ends a visibly incomplete answer.
func (a *answer) failed(data string) error {
	var body struct {
		Error stand.ErrorResponse `json:"error"`
	}
	if err := json.Unmarshal([]byte(data), &body); err != nil || body.Error.Verdict == "" {
		a.c.r.violate("%q: an error event without a verdict: %s", a.prompt, data)
	}
	if body.Error.Verdict == "not_run" && a.text.Len() > 0 {
		a.c.r.violate("%q: not_run after %d bytes of the answer: %s", a.prompt, a.text.Len(), data)
	}
	return &body.Error
}

// take appends one event. The text must be a prefix of one generation always.
func (a *answer) take(data string) error {
	text, err := stand.EventText(data)
	if err != nil {
		return errors.Wrap(errBroken, "an event cut short")
	}
	a.text.WriteString(text)
	if _, err := tokencheck.Check(stand.DemoModel, a.prompt, a.text.String()); err != nil {
		a.c.r.violate("%q (%s): what the caller holds is not one generation: %v", a.prompt, a.id, err)
		return &stand.ErrorResponse{Code: "mixed", Verdict: "may_have_run"}
	}
	return nil
}

// end checks an answer at its terminal event.
func (a *answer) end() error {
	a.whole = true
	err := tokencheck.CheckWhole(stand.DemoModel, a.prompt, a.text.String(), a.tokens)
	if err != nil {
		a.c.r.violate("%q (%s): the terminal event came without the whole answer: %v", a.prompt, a.id, err)
	}
	if a.key != "" && !strings.HasPrefix(a.text.String(), a.held) {
		a.c.r.count("another generation for the same key")
		a.c.r.note("%q (%s): another generation for the same key, %d bytes were held", a.prompt, a.id, len(a.held))
		if a.c.r.opts.MustServe {
			a.c.r.violate("%q (%s): the same key brought another generation than the one begun", a.prompt, a.id)
		}
	}
	return nil
}

// wait asks for the answer at once, not streamed.
func (a *answer) wait(ctx context.Context, to *stand.Client) error {
	a.copies++
	a.text.Reset()
	ctx, cancel := context.WithTimeout(ctx, wholeLimit)
	defer cancel()
	response, err := to.Do(ctx, http.MethodPost, "/v1/completions", a.body(false), map[string]string{"Idempotency-Key": a.key})
	if err != nil {
		return errors.Wrap(errBroken, err.Error())
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
		return errors.Wrap(errBroken, "an answer cut short")
	}
	a.id = body.ID
	a.text.WriteString(body.Choices[0].Text)
	return a.end()
}

// wholeLimit is how long a caller of an answer that is not streamed waits
// before it asks elsewhere; such answers are short here.
const wholeLimit = 20 * time.Second
