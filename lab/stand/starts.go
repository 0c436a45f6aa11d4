package stand

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"mallowwind.dev/external/engine"
)

// attemptCounter counts the attempts that engines accepted, by prompt. It counts at the
// engines, so that it includes attempts whose response a daemon never received.
type attemptCounter struct {
	mu       sync.Mutex
	byPrompt map[string]int
}

func (s *attemptCounter) add(prompt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byPrompt == nil {
		s.byPrompt = make(map[string]int)
	}
	s.byPrompt[prompt]++
}

func (s *attemptCounter) count(prompt string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byPrompt[prompt]
}

// wrap returns a handler that counts the completions that h answers with 200.
func (s *attemptCounter) wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != engine.PathCompletions {
			h.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return // the connection failed before the request was complete
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		var c engine.CompletionRequest
		_ = json.Unmarshal(body, &c) // h rejects malformed requests
		h.ServeHTTP(&startWriter{ResponseWriter: w, onStart: func() { s.add(c.Prompt) }}, r)
	})
}

// startWriter calls onStart when the response status is 200.
type startWriter struct {
	http.ResponseWriter
	onStart func()
}

// WriteHeader implements http.ResponseWriter.
func (w *startWriter) WriteHeader(status int) {
	if status == http.StatusOK {
		w.onStart()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap gives http.ResponseController access to the underlying writer.
func (w *startWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// AttemptsStarted returns the number of attempts for a prompt that engines have accepted.
func (d *Deployment) AttemptsStarted(prompt string) int { return d.attempts.count(prompt) }
