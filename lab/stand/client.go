package stand

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

	"mallowwind.dev/external/standin/tokencheck"
)

// Client is an HTTP client with one account's token.
type Client struct {
	Base  string // URL of the entry VM, http://address
	Token string
	HTTP  *http.Client
}

// Do sends one request. A body that is not a []byte is encoded as JSON; nil sends none.
func (c *Client) Do(ctx context.Context, method, path string, body any, header map[string]string) (*http.Response, error) {
	var content io.Reader
	if body != nil {
		raw, isRaw := body.([]byte)
		if !isRaw {
			var err error
			if raw, err = json.Marshal(body); err != nil {
				return nil, err
			}
		}
		content = bytes.NewReader(raw)
	}
	r, err := http.NewRequestWithContext(ctx, method, c.Base+path, content)
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+c.Token)
	for k, v := range header {
		r.Header.Set(k, v)
	}
	return c.HTTP.Do(r)
}

// ErrorResponse is an error response of the entry VM.
type ErrorResponse struct {
	Status  int
	Code    string `json:"code"`
	Verdict string `json:"verdict"`
	Message string `json:"message"`
}

// Error implements error.
func (r *ErrorResponse) Error() string {
	return fmt.Sprintf("status %d, %s (%s): %s", r.Status, r.Code, r.Verdict, r.Message)
}

// ReadErrorResponse decodes an error response into an *ErrorResponse.
func ReadErrorResponse(r *http.Response) error {
	var body struct {
		Error ErrorResponse `json:"error"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return errors.Wrapf(err, "status %d without an error body", r.StatusCode)
	}
	body.Error.Status = r.StatusCode
	return &body.Error
}

// EntryAddress is one entry VM of the /v1/entries response.
type EntryAddress struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// get sends a GET request and decodes the JSON response into to.
func (c *Client) get(ctx context.Context, path string, to any) error {
	r, err := c.Do(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return ReadErrorResponse(r)
	}
	return json.NewDecoder(r.Body).Decode(to)
}

// Entries returns the entry VMs that the account should use.
func (c *Client) Entries(ctx context.Context) ([]EntryAddress, error) {
	var body struct {
		Entries []EntryAddress `json:"entries"`
	}
	err := c.get(ctx, "/v1/entries", &body)
	return body.Entries, err
}

// Models returns the names of the generation services.
func (c *Client) Models(ctx context.Context) ([]string, error) {
	var body struct {
		Data []struct {
			ID string `json:"id"`
		} `json:"data"`
	}
	if err := c.get(ctx, "/v1/models", &body); err != nil {
		return nil, err
	}
	var names []string
	for _, m := range body.Data {
		names = append(names, m.ID)
	}
	return names, nil
}

// Call posts to a plain service. It returns the verdict "ran" for status 200, otherwise the one
// of the error response.
func (c *Client) Call(ctx context.Context, service, path, key string) (status int, verdict string, err error) {
	r, err := c.Do(ctx, http.MethodPost, "/services/"+service+path, map[string]int{"sacks": 40}, map[string]string{"Idempotency-Key": key})
	if err != nil {
		return 0, "", err
	}
	defer r.Body.Close()
	if r.StatusCode == http.StatusOK {
		return r.StatusCode, "ran", nil
	}
	var refused *ErrorResponse
	if err := ReadErrorResponse(r); !errors.As(err, &refused) {
		return r.StatusCode, "", err
	}
	return r.StatusCode, refused.Verdict, nil
}

// Answer is the client side of one streamed completion.
type Answer struct {
	Client  *Client
	Service string
	Prompt  string
	Tokens  int // requested
	Header  map[string]string
	// OnEvent is called after each event with the number of events so far.
	OnEvent func(n int)
	// FailoverTo are the clients to continue with, in order, when reading fails after
	// the first event and before the terminal event.
	FailoverTo []*Client

	ID               string // of the generation
	lastID           string
	text             strings.Builder
	events           int
	done             bool
	TimeToFirstToken time.Duration // from the request to the first event
	MaxGap           time.Duration // longest time between two events
	Failovers        int
}

// Text returns the text received so far.
func (a *Answer) Text() string { return a.text.String() }

// Run posts the request, reads up to the terminal event and checks the text.
func (a *Answer) Run(ctx context.Context) error {
	began := time.Now()
	last := began
	r, err := a.Client.Do(ctx, http.MethodPost, "/v1/completions", map[string]any{
		"model": a.Service, "prompt": a.Prompt, "max_tokens": a.Tokens, "stream": true,
	}, a.Header)
	for {
		if err == nil {
			err = a.read(r, began, &last)
		}
		if err == nil || len(a.FailoverTo) == 0 || a.lastID == "" || ctx.Err() != nil {
			break
		}
		a.Client, a.FailoverTo = a.FailoverTo[0], a.FailoverTo[1:]
		a.Failovers++
		r, err = a.Client.Do(ctx, http.MethodGet, "/v1/generations/"+a.ID, nil, map[string]string{"Last-Event-ID": a.lastID})
	}
	if err != nil {
		return err
	}
	return a.check()
}

// read reads events up to the terminal one.
func (a *Answer) read(r *http.Response, began time.Time, last *time.Time) error {
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return ReadErrorResponse(r)
	}
	a.ID = r.Header.Get("X-Generation-Id")
	for ev, err := range sse.Read(r.Body, nil) {
		if err != nil {
			return errors.Wrap(err, "read event stream")
		}
		if ev.Type == "error" {
			return errors.Errorf("generation failed: %s", ev.Data)
		}
		if ev.Data == "[DONE]" {
			a.done = true
			return nil
		}
		if err := a.appendText(ev.Data); err != nil {
			return err
		}
		now := time.Now()
		if a.events == 0 {
			a.TimeToFirstToken = now.Sub(began)
		} else {
			a.MaxGap = max(a.MaxGap, now.Sub(*last))
		}
		*last = now
		a.lastID = ev.LastEventID
		a.events++
		if a.OnEvent != nil {
			a.OnEvent(a.events)
		}
	}
	return errors.New("stream ended without a terminal event")
}

func (a *Answer) appendText(data string) error {
	text, err := EventText(data)
	a.text.WriteString(text)
	return err
}

// EventText returns the text in the data of one completion event.
func EventText(data string) (string, error) {
	var chunk struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return "", errors.Wrap(err, "decode event")
	}
	text := ""
	for _, c := range chunk.Choices {
		text += c.Text
	}
	return text, nil
}

// check verifies that the text is one complete generation: each token contains its
// index and a hash of the text before it.
func (a *Answer) check() error {
	n, err := tokencheck.Check(DemoModel, a.Prompt, a.text.String())
	switch {
	case err != nil:
		return errors.Wrap(err, "text is not a single generation")
	case n != a.Tokens || !a.done:
		return fmt.Errorf("got %d of %d tokens", n, a.Tokens)
	}
	return nil
}

// DemoModel is the model that the site text names.
const DemoModel = "granulator"
