// Package rawserver plays a backend server over TCP that writes its responses as bytes, also such as
// net/http would not send, and ends its connections in each way that TCP has.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"

	"github.com/pkg/errors"
)

// Server answers the requests on a TCP address.
type Server struct{ listener net.Listener }

// Conn is a connection to a server, with the request that arrived on it. Its body is not read yet.
type Conn struct {
	*net.TCPConn
	Request *http.Request
}

// Listen starts a server at address, in the form IP:port. It calls serve for each connection, in a
// goroutine of its own, once the head of a request has arrived, and closes the connection after it.
func Listen(address string, serve func(*Conn)) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "rawserver")
	}
	s := &Server{listener: l}
	go s.accept(serve)
	return s, nil
}

// Address returns the address of the server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close closes the port. Open connections are left to their serve functions.
func (s *Server) Close() error { return s.listener.Close() }

func (s *Server) accept(serve func(*Conn)) {
	for {
		accepted, err := s.listener.Accept()
		if err != nil {
			return // closed
		}
		go handle(accepted, serve)
	}
}

func handle(accepted net.Conn, serve func(*Conn)) {
	defer accepted.Close()
	tcp, ok := accepted.(*net.TCPConn)
	if !ok {
		return
	}
	request, err := http.ReadRequest(bufio.NewReader(tcp))
	if err != nil {
		return // closed without a request
	}
	serve(&Conn{TCPConn: tcp, Request: request})
}

// Send writes text as it is. Errors are ignored: the client may have left.
func (c *Conn) Send(text string) { _, _ = io.WriteString(c.TCPConn, text) }

// ReadUpload returns the rest of the request's body, or what arrives of it until the client leaves.
func (c *Conn) ReadUpload() []byte {
	body, _ := io.ReadAll(c.Request.Body)
	return body
}

// EndAnswer closes the sending side in order. The connection can still be read.
func (c *Conn) EndAnswer() { _ = c.CloseWrite() }

// Reset resets the connection.
func (c *Conn) Reset() {
	_ = c.SetLinger(0) // fails only if the connection has ended
	_ = c.Close()
}
