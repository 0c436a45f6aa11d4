package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// newID returns the id of a client attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// answer is what a client saw.
type answer struct {
	id, proof string
	status    int // 0 if the channel ended without an answer
	body      []byte
	err       error
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer (%v)", a.err)
	}
	return fmt.Sprintf("%d, %d bytes, proof %q, error %v", a.status, len(a.body), a.proof, a.err)
}

// channel is a client's connection to a daemon.
type channel struct {
	conn net.Conn
	in   *bufio.Reader
}

func openChannel(address string) (*channel, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn, bufio.NewReader(conn)}, nil
}

// do sends a request and reads its answer.
func (c *channel) do(method, path string, timeout time.Duration, extra http.Header) answer {
	a := answer{id: newID()}
	_ = c.conn.SetDeadline(time.Now().Add(timeout + time.Second))
	if a.err = c.send(a.id, method, path, timeout, extra); a.err != nil {
		return a
	}
	return c.receive(a, method)
}

func (c *channel) send(id, method, path string, timeout time.Duration, extra http.Header) error {
	r, err := http.NewRequest(method, "http://"+host+path, nil)
	if err != nil {
		return err
	}
	for key, values := range extra {
		r.Header[key] = values
	}
	r.Header.Set(name("attempt"), id)
	r.Header.Set(name("deadline"), fmt.Sprint(timeout.Milliseconds()))
	r.Header.Set("Authorization", "Token "+clientKey)
	return r.Write(c.conn)
}

func (c *channel) receive(a answer, method string) answer {
	resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	a.status, a.proof = resp.StatusCode, resp.Header.Get(name("proof"))
	a.body, a.err = io.ReadAll(resp.Body)
	return a
}

// once sends a request on a channel of its own.
func once(address, method, path string, timeout time.Duration) answer {
	c, err := openChannel(address)
	if err != nil {
		return answer{err: err}
	}
	defer c.conn.Close()
	return c.do(method, path, timeout, nil)
}
