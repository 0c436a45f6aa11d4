package process

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/external/standin/endless"
	"mallowwind.dev/platform/wire"
	"mallowwind.dev/serve/forward"
)

const (
	// endlessAtOnce is how many responses that never end a daemon gets at once.
	endlessAtOnce = 50
	// leastMemory is the memory limit of the smallest VM.
	leastMemory = 144 << 20
	// endlessReadPause is the pause of a slow caller after each read.
	endlessReadPause = time.Millisecond
)

// endlessForm is a response that repeats a text for ever after its beginning.
type endlessForm struct {
	name    string
	hasHead bool   // it begins with a proper status line and headers
	begin   string // follows them
	repeat  string
}

// endlessForms returns the forms whose head never ends, and those whose body does not.
func endlessForms() (forms []endlessForm) {
	for _, head := range endless.Heads {
		forms = append(forms, endlessForm{name: head.Name, begin: head.Begin, repeat: head.Repeat})
	}
	return append(forms,
		endlessForm{"body until the end", true, "\r\n", "garbage "},
		endlessForm{"body in chunks", true, "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("garbage ", 128) + "\r\n"},
		endlessForm{"one event", true, "\r\n", "data: garbage\n"},
		endlessForm{"comments", true, "\r\n", ": garbage\n\n"},
		endlessForm{"the same event", true, "\r\n", "id: 1\ndata: garbage\n\n"},
	)
}

// endlessServer answers every connection in one form.
type endlessServer struct {
	listener net.Listener
	mu       sync.Mutex
	form     endlessForm
}

func newEndlessServer(t testing.TB, ip string) *endlessServer {
	l, err := net.Listen("tcp", ip+":0")
	must.NoError(t, err)
	s := &endlessServer{listener: l}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	t.Cleanup(func() { _ = l.Close() })
	return s
}

func (s *endlessServer) setForm(f endlessForm) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.form = f
}

// serve writes until the daemon closes the connection.
func (s *endlessServer) serve(conn net.Conn) {
	defer conn.Close()
	s.mu.Lock()
	form := s.form
	s.mu.Unlock()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	begin := form.begin
	if form.hasHead {
		begin = responseHead(r) + form.begin
	}
	endless.Write(conn, begin, form.repeat)
}

// responseHead returns the status line and the headers of a response to a daemon's request.
func responseHead(r *http.Request) string { return "HTTP/1.1 200 OK\r\n" + signedHeaders(r) }

// signedHeaders returns the headers of a response to a daemon's request.
func signedHeaders(r *http.Request) string {
	request, _, _ := wire.ParseUpstreamRequest(r.Header)
	h := http.Header{}
	wire.SetReplyHeaders(h, forward.Reply{ID: request.ID})
	h.Set(wire.SignatureHeader, "signed")
	return headerLines(h)
}

// headerLines returns headers as the lines of a head.
func headerLines(h http.Header) string {
	var lines strings.Builder
	_ = h.Write(&lines) // a builder does not fail
	return lines.String()
}

// newRequest returns a request of a caller to a daemon. parts are those of its prompt; "" for a call.
func (h *harness) newRequest(d *daemon, kind callKind, id, parts string, body io.Reader) (*http.Request, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+d.settings.CallerAddress+routePrefixes[kind]+id, body)
	if err != nil {
		return nil, err
	}
	req.Host = host
	call := forward.Call{ID: id, Timeout: callTimeouts[kind], Key: h.keys[0], PromptTokens: 2} // only stated with parts
	req.Header = wire.CallerHeaders(call, parts)
	return req, nil
}

// startEndlessServers replaces the servers of a run by ones whose responses never end.
func (h *harness) startEndlessServers(t testing.TB) (servers []*endlessServer) {
	for _, s := range h.servers {
		h.unregister(s.id)
	}
	for n, service := range []string{"desk", "desk", "desk", "llm", "llm", "llm"} {
		s := newEndlessServer(t, h.network+".200")
		servers = append(servers, s)
		h.writeEntry(routing.Server{ID: fmt.Sprint("endless-", n), Service: service, Zone: zoneNames[n%len(zoneNames)], Address: s.listener.Addr().String(), Slots: endlessAtOnce})
	}
	time.Sleep(time.Second) // until the daemons know them
	return servers
}

// Guards against a daemon that is killed for its memory because many servers send responses without end
// at once, to callers that read slowly.
func TestEndlessResponsesFitIntoMemory(t *testing.T) {
	h := newHarness(Options{Seed: 1, Binary: buildBinary(t), Dir: t.TempDir(), Scenario: RandomFaults, MemoryLimitBytes: leastMemory})
	defer h.close()
	must.NoError(t, h.start())
	servers := h.startEndlessServers(t)
	d := h.daemons[0]
	t.Logf("idle: peak of %d MB", d.peakMemory(t)>>20)
	for _, form := range endlessForms() {
		for _, s := range servers {
			s.setForm(form)
		}
		var callers sync.WaitGroup
		for n := range endlessAtOnce {
			callers.Go(func() {
				h.requestEndless(d, []callKind{callAtMostOnce, callIdempotent, callResumable}[n%3], fmt.Sprint(form.name, n))
			})
		}
		callers.Wait()
		peak := d.peakMemory(t)
		t.Logf("%s: peak of %d MB", form.name, peak>>20)
		must.LessEq(t, leastMemory, peak, must.Sprint(form.name))
	}
	must.SliceEmpty(t, h.recorder.violations)
}

// requestEndless sends a request to a daemon and reads the response slowly until it is cut.
func (h *harness) requestEndless(d *daemon, kind callKind, id string) {
	id = strings.ReplaceAll(id, " ", "-")
	parts := ""
	if kind.isStream() {
		parts = "common:1," + id + ":1"
	}
	req, err := h.newRequest(d, kind, id, parts, strings.NewReader(id))
	if err != nil {
		h.recorder.recordViolation("harness: %v", err)
		return
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return // the answer was cut
	}
	defer resp.Body.Close()
	for piece := make([]byte, 4<<10); err == nil; time.Sleep(endlessReadPause) {
		_, err = resp.Body.Read(piece)
	}
	if err == io.EOF && resp.StatusCode < http.StatusMultipleChoices {
		h.recorder.recordViolation("%s: an answer without end is complete", id)
	}
}

// peakMemory returns the largest resident memory of the process since its start, in bytes.
func (d *daemon) peakMemory(t testing.TB) int64 {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	must.NoError(t, err)
	for line := range strings.Lines(string(raw)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kB, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")), 10, 64)
			must.NoError(t, err)
			return kB << 10
		}
	}
	t.Fatal("the process states no peak memory")
	return 0
}
