package host

import (
	"bytes"
	"io"
	"net/http"
	"sync"
)

// maxInspectedBytes limits the request bodies that are searched for the crash trigger.
const maxInspectedBytes = 16 << 20

// crashInjector crashes a backend server when it starts to answer a request whose body contains
// the trigger text.
type crashInjector struct {
	handler http.Handler
	crash   func()

	mu      sync.Mutex
	trigger string // "" means none
}

// setTrigger sets the trigger text; "" disables the fault.
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

// crashingWriter crashes the server on the first write of a response body.
type crashingWriter struct {
	http.ResponseWriter
	crash func()
}

// Write implements http.ResponseWriter.
func (f *crashingWriter) Write([]byte) (int, error) {
	f.crash()
	panic(http.ErrAbortHandler)
}

// Unwrap gives http.ResponseController access to the underlying writer.
func (f *crashingWriter) Unwrap() http.ResponseWriter { return f.ResponseWriter }

// Flush implements http.Flusher. It does nothing, because nothing is ever written.
func (f *crashingWriter) Flush() {}
