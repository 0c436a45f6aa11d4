package sent

import (
	"bytes"
	"io"
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
	isHTTP10  bool
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
		h.isHTTP10 = bytes.HasPrefix(line, []byte("HTTP/1.0"))
	case len(line) > 0:
		return h.checkField(line)
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

// validFieldName is a token (RFC 9110, section 5.1), and nothing precedes the colon but that: a line that
// begins with a blank would continue the one before, which RFC 9112, section 5.2, lets a gateway refuse.
var validFieldName = regexp.MustCompile("^[-!#$%&'*+.^_`|~0-9A-Za-z]+$")

// checkField checks a line of a field. Its value is checked by net/http.
func (h *headChecker) checkField(line []byte) error {
	name, _, hasColon := bytes.Cut(line, []byte(":"))
	switch {
	case !hasColon || !validFieldName.Match(name):
		return errors.Wrapf(ErrInvalidResponse, "field %q", quoted(line))
	case h.isHTTP10 && bytes.EqualFold(name, []byte("Transfer-Encoding")):
		// RFC 9112, section 6.1: the framing is faulty. net/http would read the chunks as the body.
		return errors.Wrapf(ErrInvalidResponse, "HTTP/1.0 with %q", quoted(line))
	}
	return nil
}

// trailerBody is a body in chunks, whose trailer is checked at its end.
type trailerBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader.
func (b trailerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	for name := range b.resp.Trailer {
		if !validFieldName.MatchString(name) {
			return n, errors.Wrapf(ErrInvalidResponse, "field %q of the trailer", name)
		}
	}
	return n, io.EOF
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
