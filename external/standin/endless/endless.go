// Package endless plays a backend server whose response never ends.
package endless

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
)

// MaxBytes is where Write stops although nobody has closed the connection, so that a test of a client
// that reads on fails in place of running for ever.
const MaxBytes = 64 << 20

// blockBytes is the least size of one write.
const blockBytes = 32 << 10

// Head is a response whose head never ends: a beginning, and a text that is repeated.
type Head struct{ Name, Begin, Repeat string }

// Heads are the forms of such responses.
var Heads = []Head{
	{"no HTTP", "", "garbage "},
	{"status line", "HTTP/1.1 200 OK", " garbage"},
	{"one header", "HTTP/1.1 200 OK\r\nName: ", "garbage "},
	{"many headers", "HTTP/1.1 200 OK\r\n", "Name: garbage\r\n"},
	{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nLink: " + strings.Repeat("garbage ", 1<<10) + "\r\n\r\n"},
}

// MaxHeadRead bounds what a client with a bound of 64 KiB may read of a head, with five interim responses
// before it and its buffers.
const MaxHeadRead = 512 << 10

// Write writes the beginning of a response, and then repeats a text until the connection is closed or
// MaxBytes were written.
func Write(conn io.Writer, begin, repeat string) {
	if _, err := io.WriteString(conn, begin); err != nil {
		return // closed
	}
	block := []byte(strings.Repeat(repeat, 1+blockBytes/len(repeat)))
	for written := 0; written < MaxBytes; written += len(block) {
		if _, err := conn.Write(block); err != nil {
			return // closed
		}
	}
}

// Dial returns a dial function whose connections lead to a server that answers as Write does. The bytes
// that the client reads are added to read.
func Dial(begin, repeat string, read *atomic.Int64) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		here, there := net.Pipe()
		go func() {
			defer there.Close()
			if _, err := io.CopyN(io.Discard, there, 1); err != nil {
				return // nothing was sent
			}
			go func() { _, _ = io.Copy(io.Discard, there) }() // the rest of the request
			Write(there, begin, repeat)
		}()
		return countingConn{here, read}, nil
	}
}

type countingConn struct {
	net.Conn
	read *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}
