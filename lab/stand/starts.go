package stand

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"mallowwind.dev/external/engine"
)

// attemptCounter counts the attempts that engines took in, by prompt. It stands at the
// engines' side of the network, so that it knows what daemons may not know.
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

// wrap counts the completions that h answers with 200.
func (s *attemptCounter) wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != engine.PathCompletions {
			h.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return // the connection broke before the request was whole
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		var c engine.CompletionRequest
		_ = json.Unmarshal(body, &c) // h refuses what is malformed
		h.ServeHTTP(&startWriter{ResponseWriter: w, onStart: func() { s.add(c.Prompt) }}, r)
	})
}

// startWriter notices the status of an answer.
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

// Unwrap lets http.ResponseController reach the connection.
func (w *startWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// AttemptsStarted returns how many attempts for a prompt engines have taken in.
func (d *Deployment) AttemptsStarted(prompt string) int { return d.attempts.count(prompt) }
