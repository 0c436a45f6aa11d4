package host

import (
	"bytes"
	"io"
	"net/http"
	"sync"
)

// maxInspectedBytes bounds what is read of a request to see whether it ends its server, in bytes.
const maxInspectedBytes = 16 << 20

// crashInjector ends a backend server under requests that hold a text, when it begins to answer.
type crashInjector struct {
	handler http.Handler
	crash   func()

	mu      sync.Mutex
	trigger string // "" ends none
}

// setTrigger sets the text; "" ends no server any more.
func (c *crashInjector) setTrigger(text string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.trigger = text
	return nil
}

// ServeHTTP implements http.Handler.
func (c *crashInjector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	text := c.trigger
	c.mu.Unlock()
	if text == "" {
		c.handler.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxInspectedBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	if bytes.Contains(body, []byte(text)) {
		w = &crashingWriter{ResponseWriter: w, crash: c.crash}
	}
	c.handler.ServeHTTP(w, r)
}

// crashingWriter ends the server with the first byte of an answer.
type crashingWriter struct {
	http.ResponseWriter
	crash func()
}

// Write implements http.ResponseWriter.
func (f *crashingWriter) Write([]byte) (int, error) {
	f.crash()
	panic(http.ErrAbortHandler)
}

// Unwrap lets http.ResponseController reach the writer.
func (f *crashingWriter) Unwrap() http.ResponseWriter { return f.ResponseWriter }

// Flush implements http.Flusher. Nothing is written, so there is nothing to flush.
func (f *crashingWriter) Flush() {}
