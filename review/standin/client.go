package main

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is one client attempt.
type request struct {
	attempt, method, path string
	body                  string
	timeLimit             time.Duration
	header                map[string]string
}

func newRequest(method, path string, timeLimit time.Duration) request {
	id := make([]byte, 8)
	_, err := rand.Read(id)
	check(err)
	return request{attempt: hex.EncodeToString(id), method: method, path: path, timeLimit: timeLimit}
}

const (
	host = "ficu95.example"
	key  = "xd9dnn2ctnfzs989anu6"
)

// bytes returns the request as it is sent.
func (q request) bytes() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Token %s\r\n",
		q.method, q.path, host, wire["attempt"], q.attempt, wire["time limit"], q.timeLimit.Milliseconds(), key)
	for name, value := range q.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if q.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	fmt.Fprintf(&b, "\r\n%s", q.body)
	return b.Bytes()
}

// answer is what a client has read.
type answer struct {
	status    int // 0 if there was none
	signature string
	body      string
	err       error // why it isn't complete
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer: %v", a.err)
	}
	end := "complete"
	if a.err != nil {
		end = "not complete: " + a.err.Error()
	}
	return fmt.Sprintf("status %d, signature %q, %d bytes, %s", a.status, a.signature, len(a.body), end)
}

// readAnswer reads an answer to its end.
func readAnswer(conn net.Conn, q request) answer {
	_ = conn.SetReadDeadline(time.Now().Add(q.timeLimit + time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: q.method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, signature: resp.Header.Get(wire["signature"]), body: string(body), err: err}
}

// newStreamRequest returns a request of a streaming route with the prompt of the sheets.
func newStreamRequest() request {
	return newPromptRequest("/lohu930/2f", 8200, 780, "5c1e07a2:200,%s:8000")
}

// newPromptRequest returns a request of a streaming route. parts names the parts of its prompt.
func newPromptRequest(path string, tokens, answerTokens int, parts string) request {
	q := newRequest("POST", path, 25*time.Second)
	q.body = "prompt " + q.attempt
	q.header = map[string]string{
		wire["model"]: "m", wire["tokens"]: fmt.Sprintf("%d,%d", tokens, answerTokens), wire["prompt"]: fmt.Sprintf(parts, q.attempt),
	}
	return q
}

// send sends a request on a new channel and reads the answer.
func send(address string, q request) answer {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	if _, err := conn.Write(q.bytes()); err != nil {
		return answer{err: err}
	}
	return readAnswer(conn, q)
}

// route is a route of the desired state.
func route(name, prefix, kind, service string, timeLimit, objective time.Duration) map[string]any {
	return map[string]any{
		"name": name, "host": host, wire["prefix"]: prefix, "kind": kind, "timeout_ms": timeLimit.Milliseconds(),
		"slo_ms": objective.Milliseconds(), "priority": 1, "service": service, "attempts": 5, "public": false,
	}
}

// oneLine returns text on one line.
func oneLine(text string) string { return strings.ReplaceAll(text, "\n", " ") }
