package host

import (
	"bytes"
	"io"
	"net/http"
	"sync"
)

// maxChecked bounds what is read of a request to see whether it ends its server, in bytes.
const maxChecked = 16 << 20

// crasher ends a backend server under requests that hold a text, when it begins to answer.
type crasher struct {
	handler http.Handler
	end     func()

	mu   sync.Mutex
	text string // "" ends none
}

// on sets the text; "" ends no server any more.
func (c *crasher) on(text string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.text = text
	return nil
}

// ServeHTTP implements http.Handler.
func (c *crasher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	text := c.text
	c.mu.Unlock()
	if text == "" {
		c.handler.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxChecked))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	if bytes.Contains(body, []byte(text)) {
		w = &fatal{ResponseWriter: w, end: c.end}
	}
	c.handler.ServeHTTP(w, r)
}

// fatal ends the server with the first byte of an answer.
type fatal struct {
	http.ResponseWriter
	end func()
}

// Write implements http.ResponseWriter.
func (f *fatal) Write([]byte) (int, error) {
	f.end()
	panic(http.ErrAbortHandler)
}

// Unwrap lets http.ResponseController reach the writer.
func (f *fatal) Unwrap() http.ResponseWriter { return f.ResponseWriter }

// Flush implements http.Flusher. Nothing is written, so there is nothing to flush.
func (f *fatal) Flush() {}
