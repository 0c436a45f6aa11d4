package process

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/external/standin/rawserver"
	"mallowwind.dev/platform/wire"
	"mallowwind.dev/serve/forward"
)

const (
	// brokenTries is how often each form of a response is tried: which end notices a reset first depends on
	// the scheduler.
	brokenTries = 6
	// brokenUpload is the length of a request body that kernels do not buffer as a whole.
	brokenUpload = 4 << 20
	// soundAnswer is the body of a whole response to a call.
	soundAnswer = "answer"
	// framed is the header that states the length of soundAnswer.
	framed = "Content-Length: 6\r\n"
)

// answerForm is a form of response with which a server answers a request before it has read its body.
type answerForm struct {
	name    string
	isSound bool
	respond func(c *rawserver.Conn, headers string)
}

// sendForm returns a broken form that sends a status line, the headers and the rest.
func sendForm(name, statusLine, rest string) answerForm {
	return answerForm{name, false, func(c *rawserver.Conn, headers string) {
		c.Send(statusLine + "\r\n" + headers + rest)
		c.EndAnswer()
		c.ReadUpload()
	}}
}

// resetForm resets the connection while the request is still being written.
func resetForm(status string) answerForm {
	return answerForm{"reset during the upload, " + status, false, func(c *rawserver.Conn, headers string) {
		c.Send("HTTP/1.1 " + status + "\r\n" + headers + "\r\npart")
		time.Sleep(30 * time.Millisecond) // the daemon waits to write
		c.Reset()
	}}
}

// answerForms are responses that must not reach callers, and sound ones that must.
func answerForms() []answerForm {
	sound := func(name, framing string) answerForm {
		f := sendForm(name, "HTTP/1.1 200 OK", framing+"\r\n"+soundAnswer)
		f.isSound = true
		return f
	}
	forms := []answerForm{
		sound("without a length", ""),
		sound("with a length", framed),
		resetForm("200 OK"),
		resetForm("500 Internal Server Error"),
	}
	for _, status := range []string{"000", "007", "099", "600", "999", "101"} {
		forms = append(forms, sendForm("status "+status, "HTTP/1.1 "+status+" OK", framed+"\r\n"+soundAnswer))
	}
	for _, line := range []string{"X Trouble: 1", "X-Trouble : 1", " X-Trouble: 1", "X\tTrouble: 1", "X\x01Trouble: 1"} {
		forms = append(forms, sendForm(fmt.Sprintf("field %q", line), "HTTP/1.1 200 OK", line+"\r\n"+framed+"\r\n"+soundAnswer))
	}
	return append(forms,
		sendForm("blank after the name of the length", "HTTP/1.1 200 OK", "Content-Length : 6\r\n\r\n"+soundAnswer+" and more"),
		sendForm("blank after the name of the coding", "HTTP/1.1 200 OK", "Transfer-Encoding : chunked\r\n\r\n6\r\n"+soundAnswer+"\r\n0\r\n\r\n"),
		sendForm("trailer", "HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n\r\n6\r\n"+soundAnswer+"\r\n0\r\nX Trouble: 1\r\n\r\n"),
	)
}

// answerServer answers the first request with each ID in one form, and later ones soundly.
type answerServer struct {
	id string
	// The servers of a test share what follows.
	mu   *sync.Mutex // guards form and runs
	form *answerForm
	runs map[string]int // arrivals of each request, by its ID
}

func (s *answerServer) serve(c *rawserver.Conn) {
	if c.Request.URL.Path == healthPath {
		h := http.Header{}
		wire.SetReplyHeaders(h, forward.Reply{Instance: s.id})
		c.Send("HTTP/1.1 200 OK\r\n" + headerLines(h) + "Content-Length: 0\r\n\r\n")
		return
	}
	request, _, _ := wire.ParseUpstreamRequest(c.Request.Header)
	s.mu.Lock()
	s.runs[request.ID]++
	form, run := *s.form, s.runs[request.ID]
	s.mu.Unlock()
	if run == 1 {
		form.respond(c, signedHeaders(c.Request))
		return
	}
	c.ReadUpload()
	c.Send(responseHead(c.Request) + framed + "\r\n" + soundAnswer)
}

// startAnswerServers replaces the servers of a run.
func (h *harness) startAnswerServers(t *testing.T, shared answerServer) {
	for _, s := range h.servers {
		h.unregister(s.id)
	}
	for n, zone := range zoneNames {
		s := shared
		s.id = fmt.Sprint("answers-", n)
		raw, err := rawserver.Listen(h.network+".200:0", s.serve)
		must.NoError(t, err)
		t.Cleanup(func() { _ = raw.Close() })
		h.writeEntry(routing.Server{ID: s.id, Service: "desk", Zone: zone, Address: raw.Address(), Slots: 2 * brokenTries})
	}
	time.Sleep(time.Second) // until the daemons know them
}

// upload sends a request with a long body to a daemon. The error is set if the answer is not complete.
func (h *harness) upload(d *daemon, kind callKind, id string) (result, error) {
	req, err := h.newRequest(d, kind, id, "", bytes.NewReader(make([]byte, brokenUpload)))
	if err != nil {
		return result{}, err
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return result{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return result{status: resp.StatusCode, signature: resp.Header.Get(wire.SignatureHeader), body: string(body)}, err
}

// Guards against answers of a server in trouble that reach callers as if they were whole, and against callers
// that get no answer or that of no other server because of them.
func TestBrokenAnswersDoNotReachCallers(t *testing.T) {
	h := newHarness(Options{Seed: 1, Binary: buildBinary(t), Dir: t.TempDir(), Scenario: RandomFaults, BodyBytes: brokenUpload})
	defer h.close()
	must.NoError(t, h.start())
	shared := answerServer{mu: &sync.Mutex{}, form: &answerForm{}, runs: map[string]int{}}
	h.startAnswerServers(t, shared)
	for _, form := range answerForms() {
		t.Run(form.name, func(t *testing.T) {
			shared.mu.Lock()
			*shared.form = form
			shared.mu.Unlock()
			for n := range brokenTries {
				for _, kind := range []callKind{callAtMostOnce, callIdempotent} {
					id := strings.ReplaceAll(fmt.Sprint(form.name, "-", kind, "-", n), " ", "-")
					got, err := h.upload(h.daemons[n%len(h.daemons)], kind, id)
					if form.isSound || kind == callIdempotent {
						must.NoError(t, err)
						must.Eq(t, http.StatusOK, got.status)
						must.Eq(t, soundAnswer, got.body)
						continue
					}
					must.NoError(t, err, must.Sprint("no answer"))
					must.Eq(t, http.StatusBadGateway, got.status, must.Sprint(got.body))
					must.Eq(t, "", got.signature)
				}
			}
		})
	}
	must.SliceEmpty(t, h.recorder.violations)
}
