package api

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"mallowwind.dev/control/site"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/serve/generation"
)

// keyHeader names the header by which a repeated request is recognised.
const keyHeader = "Idempotency-Key"

// maxKey bounds an idempotency key, in bytes.
const maxKey = 255

// completionRequest holds the fields of the completions API that are honoured.
// Others are ignored, as is usual, except those that would change the shape of
// the answer: they are refused.
type completionRequest struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []chatMessage   `json:"messages"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Temperature         *float64        `json:"temperature"`
	Seed                *int64          `json:"seed"`
	Stop                json.RawMessage `json:"stop"`
	Stream              bool            `json:"stream"`
	StreamOptions       *streamOptions  `json:"stream_options"`
	N                   *int            `json:"n"`
	BestOf              *int            `json:"best_of"`
	Echo                bool            `json:"echo"`
	Logprobs            json.RawMessage `json:"logprobs"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

func badRequest(format string, args ...any) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeBadRequest, format, args...)
}

// bodyTimeout bounds the arrival of a body. A caller that sends a byte now and
// then, or whose connection went silent in the middle, would otherwise hold
// memory for as long as it likes.
const bodyTimeout = 30 * time.Second

// readBody reads at most limit bytes.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	control := http.NewResponseController(w)
	// A writer without deadlines, as in tests, has its body in memory.
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, verdict.New(verdict.NotRun, verdict.CodeBodyTooLarge, "the body is larger than %d bytes", limit)
	case err != nil:
		return nil, badRequest("the body could not be read").WithCause(err)
	}
	return body, nil
}

// readKey returns the idempotency key, checked.
func readKey(r *http.Request) (string, error) {
	key := r.Header.Get(keyHeader)
	if len(key) > maxKey {
		return "", badRequest("%s is longer than %d bytes", keyHeader, maxKey)
	}
	for _, c := range []byte(key) {
		if c < ' ' || c > '~' {
			return "", badRequest("%s holds a byte that is not printable ASCII", keyHeader)
		}
	}
	return key, nil
}

// parseCompletion turns a request into a specification.
func parseCompletion(r *http.Request, body []byte, s *site.Site, account *site.Account, chat bool) (*generation.Spec, completionRequest, error) {
	var q completionRequest
	if err := json.Unmarshal(body, &q); err != nil {
		return nil, q, badRequest("the body is not a JSON object of the completions API: %s", err)
	}
	service := s.Services[q.Model]
	if service == nil || service.Kind != site.KindGeneration {
		return nil, q, verdict.New(verdict.NotRun, verdict.CodeUnknownService,
			"model %q names no generation service of the site text", q.Model)
	}
	if err := q.unsupported(); err != nil {
		return nil, q, err
	}
	prompt, err := q.prompt(chat)
	if err != nil {
		return nil, q, err
	}
	limit, err := q.limit(service)
	if err != nil {
		return nil, q, err
	}
	stop, err := stringOrList("stop", q.Stop)
	if err != nil {
		return nil, q, err
	}
	key, err := readKey(r)
	if err != nil {
		return nil, q, err
	}
	spec := &generation.Spec{
		Account: account, Service: service, Prompt: prompt, MaxTokens: limit,
		Seed: q.Seed, Stop: stop, IdempotencyKey: key, Chat: chat, Temperature: 1,
	}
	if q.Temperature != nil {
		if *q.Temperature < 0 || *q.Temperature > 2 {
			return nil, q, badRequest("temperature is %g; it must lie between 0 and 2", *q.Temperature)
		}
		spec.Temperature = *q.Temperature
	}
	return spec, q, nil
}

func (q *completionRequest) unsupported() error {
	switch {
	case q.N != nil && *q.N != 1:
		return badRequest("n is %d; one answer per request is supported", *q.N)
	case q.BestOf != nil && *q.BestOf != 1:
		return badRequest("best_of is not supported")
	case q.Echo:
		return badRequest("echo is not supported")
	case len(q.Logprobs) > 0 && string(q.Logprobs) != "null" && string(q.Logprobs) != "false":
		return badRequest("logprobs are not supported")
	}
	return nil
}

// limit returns the largest answer in tokens.
func (q *completionRequest) limit(service *site.Service) (int, error) {
	n := q.MaxTokens
	if q.MaxCompletionTokens != nil {
		n = q.MaxCompletionTokens
	}
	switch {
	case n == nil:
		return service.MaxTokens, nil
	case *n <= 0:
		return 0, badRequest("max_tokens is %d; it must be positive", *n)
	}
	return min(*n, service.MaxTokens), nil
}

func (q *completionRequest) prompt(chat bool) (string, error) {
	if chat {
		return renderChat(q.Messages)
	}
	list, err := stringOrList("prompt", q.Prompt)
	switch {
	case err != nil:
		return "", err
	case len(list) != 1 || list[0] == "":
		return "", badRequest("prompt must be one string that is not empty")
	}
	return list[0], nil
}

// renderChat joins messages into a prompt. Engines that apply a model's own
// chat template are not assumed.
func renderChat(messages []chatMessage) (string, error) {
	if len(messages) == 0 {
		return "", badRequest("messages must not be empty")
	}
	var b strings.Builder
	for i, m := range messages {
		text, err := contentText(m.Content)
		if err != nil || m.Role == "" {
			return "", badRequest("message %d needs a role and text content", i)
		}
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(text)
		b.WriteString("\n")
	}
	b.WriteString("assistant:")
	return b.String(), nil
}

// contentText reads a message's content: a string or a list of text parts.
func contentText(raw json.RawMessage) (string, error) {
	var text string
	if err := json.Unmarshal(raw, &text); err == nil {
		return text, nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", err
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return "", badRequest("content of type %q is not supported", p.Type)
		}
		b.WriteString(p.Text)
	}
	return b.String(), nil
}

// stringOrList reads a field that may be absent, a string or a list of strings.
func stringOrList(field string, raw json.RawMessage) ([]string, error) {
	if len(raw) == 0 || string(raw) == "null" {
		return nil, nil
	}
	var one string
	if err := json.Unmarshal(raw, &one); err == nil {
		return []string{one}, nil
	}
	var list []string
	if err := json.Unmarshal(raw, &list); err != nil {
		return nil, badRequest("%s must be a string or a list of strings", field)
	}
	return list, nil
}
