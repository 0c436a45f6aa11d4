package engine

import (
	"encoding/json"
	"io"
	"net/http"
)

// CompletionRequest is the body of POST /v1/completions: the request of the completions API with the
// extension fields of docs/engine-protocol.md.
type CompletionRequest struct {
	Model       string   `json:"model"`
	Prompt      string   `json:"prompt"`
	MaxTokens   int      `json:"max_tokens"`
	Temperature float64  `json:"temperature"`
	Seed        *int64   `json:"seed,omitempty"`
	Stop        []string `json:"stop,omitempty"`
	Stream      bool     `json:"stream"`

	Generation string   `json:"generation,omitempty"`
	Attempt    uint64   `json:"attempt,omitempty"`
	Prefix     []string `json:"prefix_tokens,omitempty"`
	Priority   int      `json:"priority,omitempty"`
	Adapter    string   `json:"adapter,omitempty"`
	Version    string   `json:"version,omitempty"`
}

// NewCompletionRequest returns the wire form of r.
func NewCompletionRequest(r Request) CompletionRequest {
	return CompletionRequest{
		Model: r.Model, Prompt: r.Prompt, MaxTokens: r.MaxTokens, Temperature: r.Temperature,
		Seed: r.Seed, Stop: r.Stop, Stream: true,
		Generation: r.Generation, Attempt: r.Attempt, Prefix: r.Prefix,
		Priority: r.Priority, Adapter: r.Adapter, Version: r.Version,
	}
}

// Request returns the request that c encodes.
func (c CompletionRequest) Request() Request {
	return Request{
		Generation: c.Generation, Attempt: c.Attempt, Model: c.Model, Adapter: c.Adapter,
		Version: c.Version, Prompt: c.Prompt, Prefix: c.Prefix, MaxTokens: c.MaxTokens,
		Priority: c.Priority, Temperature: c.Temperature, Seed: c.Seed, Stop: c.Stop,
	}
}

// CompletionEvent is the data of one server-sent event in a stream.
type CompletionEvent struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model,omitempty"`
	Choices []CompletionChoice `json:"choices"`

	Attempt uint64   `json:"attempt"`
	Offset  int      `json:"offset"`
	Tokens  []string `json:"tokens,omitempty"`
}

// CompletionChoice is the single choice in an event.
type CompletionChoice struct {
	Index        int           `json:"index"`
	Text         string        `json:"text"`
	FinishReason *FinishReason `json:"finish_reason"`
}

// StreamDone is the data of the event that ends a complete stream.
const StreamDone = "[DONE]"

// ErrorCode is the machine-readable code of an engine's refusal.
type ErrorCode string

// The codes of refusals.
const (
	CodeInvalid           ErrorCode = "invalid_request"
	CodeOverloaded        ErrorCode = "overloaded"
	CodeModelNotReady     ErrorCode = "model_not_ready"
	CodeStaleAttempt      ErrorCode = "stale_attempt"
	CodeStaleFence        ErrorCode = "stale_fence"
	CodeUnknownGeneration ErrorCode = "unknown_generation"
	CodeRefusing          ErrorCode = "refusing"
)

// ErrorBody is the body of a refusal.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the reason for a refusal.
type ErrorDetail struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
}

const (
	// maxControlBodyBytes bounds the response body of a call that does not stream.
	maxControlBodyBytes = 1 << 20
	// maxRefusalBytes bounds the body of a refusal.
	maxRefusalBytes = 64 << 10
)

// decodeRefusal decodes the refusal of an engine from a response and reports whether it is one. An
// error status without such a body may come from an intermediary and does not tell whether the engine
// runs the request.
func decodeRefusal(resp *http.Response) (ErrorDetail, bool) {
	refused := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode/100 == 4
	if !refused {
		return ErrorDetail{}, false
	}
	var body ErrorBody
	err := json.NewDecoder(io.LimitReader(resp.Body, maxRefusalBytes)).Decode(&body)
	return body.Error, err == nil && body.Error.Code != ""
}
