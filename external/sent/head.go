package sent

import (
	"bytes"
	"net/http"
	"regexp"
	"strconv"

	"github.com/pkg/errors"
)

// ErrInvalidResponse means that a server sent what is no response by RFC 9110 and RFC 9112. The request may
// have run.
var ErrInvalidResponse = errors.New("sent: invalid response")

// maxQuotedBytes bounds what an error quotes of a response.
const maxQuotedBytes = 64

// headChecker checks the head of a response, and of the interim responses before it, as their bytes arrive.
// The zero value expects none and lets all bytes pass.
//
// It guards against heads that net/http accepts although they are invalid: what is passed on of such a
// response is not what its server sent.
type headChecker struct {
	next      headLine
	isInterim bool
	line      []byte // what has arrived of the next line
}

// headLine is a kind of line in a head.
type headLine uint8

const (
	noLine headLine = iota // no head is expected, or it is complete
	statusLine
	fieldLine
)

// check checks the bytes that follow those of the calls before.
func (h *headChecker) check(p []byte) error {
	for h.next != noLine {
		line, rest, isComplete := bytes.Cut(p, []byte("\n"))
		h.line = append(h.line, line...)
		if !isComplete {
			return nil // the transport bounds the length of a head
		}
		if err := h.checkLine(bytes.TrimSuffix(h.line, []byte("\r"))); err != nil {
			return err
		}
		h.line, p = h.line[:0], rest
	}
	h.line = nil
	return nil
}

// checkLine checks the next line, without its end.
func (h *headChecker) checkLine(line []byte) error {
	switch {
	case h.next == statusLine:
		status, err := parseStatusLine(line)
		if err != nil {
			return err
		}
		h.next = fieldLine
		h.isInterim = status < http.StatusOK && status != http.StatusSwitchingProtocols
	case len(line) > 0:
	case h.isInterim:
		h.next = statusLine // the interim response is complete
	default:
		h.next = noLine
	}
	return nil
}

// validStatusLine has a version of RFC 9112, section 2.3, and a status of RFC 9110, section 15. A missing
// reason, with its space, is tolerated, and whatever it says is ignored.
var validStatusLine = regexp.MustCompile(`^HTTP/1\.[0-9] ([1-5][0-9]{2})(?: |$)`)

// parseStatusLine returns the status of a status line.
func parseStatusLine(line []byte) (int, error) {
	match := validStatusLine.FindSubmatch(line)
	if match == nil {
		return 0, errors.Wrapf(ErrInvalidResponse, "status line %q", quoted(line))
	}
	return strconv.Atoi(string(match[1]))
}

// quoted returns the beginning of a line.
func quoted(line []byte) []byte { return line[:min(len(line), maxQuotedBytes)] }

// expectHead says that a request is about to be sent, whose response begins with the next byte.
func (c *Conn) expectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = headChecker{next: statusLine}
}

// hasCheckedHead reports whether the whole head of the response arrived after expectHead and is valid.
func (c *Conn) hasCheckedHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.next == noLine
}

// checkHead checks bytes that were read.
func (c *Conn) checkHead(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.check(p)
}
