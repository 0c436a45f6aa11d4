package process

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/platform/wire"
	"mallowwind.dev/serve/forward"
)

const (
	// largestBody is the limit of a body, and largeBodies how many are under way at once.
	largestBody, largeBodies = 4 << 20, 100
	// smallCallers is how many callers send small requests beside.
	smallCallers = 10
	// slowReaders is how many callers read a long response slowly at once.
	slowReaders = 1000
	// memoryLoad is how long each load lasts.
	memoryLoad = 5 * time.Second
	// holdTime is how long a server works on a request.
	holdTime = 500 * time.Millisecond
	// longResponse is the length of the responses of the servers.
	longResponse = 1 << 20
)

// respondLong reads a request, works on it and gives a long response.
func respondLong(w http.ResponseWriter, r *http.Request) {
	request, _, _ := wire.ParseUpstreamRequest(r.Header)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	time.Sleep(holdTime)
	wire.SetReplyHeaders(w.Header(), forward.Reply{ID: request.ID})
	w.Header().Set(wire.SignatureHeader, "signed")
	_, _ = w.Write(bytes.Repeat([]byte("x"), longResponse)) // the caller may have left
}

// startLongServers registers plain servers with long responses in place of those of the run.
func (h *harness) startLongServers(b testing.TB) {
	for _, s := range h.servers {
		h.unregister(s.id)
	}
	for n := range 3 {
		l, err := net.Listen("tcp", h.network+".200:0")
		must.NoError(b, err)
		s := &http.Server{Handler: http.HandlerFunc(respondLong)}
		go s.Serve(l)
		b.Cleanup(func() { s.Close() })
		h.writeEntry(routing.Server{ID: fmt.Sprint("long-", n), Service: "desk", Zone: zoneNames[n], Address: l.Addr().String(), Slots: 2 * slowReaders})
	}
	time.Sleep(time.Second) // until the daemons know them
}

// load is what callers send to one daemon, and what they got.
type load struct {
	h                      *harness
	d                      *daemon
	sent, served, refused  atomic.Int64
	smallServed, smallSent atomic.Int64
	smallRefused           atomic.Int64
}

// request sends one body and returns the status, 0 if there is no complete response. pause is the pause
// after each piece of the response that is read.
func (l *load) request(body []byte, pause time.Duration) int {
	id := fmt.Sprint("m", l.sent.Add(1))
	req, err := l.h.newRequest(l.d, callAtMostOnce, id, "", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	for piece := make([]byte, 16<<10); err == nil; time.Sleep(pause) {
		_, err = resp.Body.Read(piece)
	}
	if err != io.EOF {
		return 0
	}
	return resp.StatusCode
}

// repeat lets so many callers send the body one after the other for the time of the load.
func (l *load) repeat(callers int, body []byte, pause time.Duration, count func(status int)) {
	var group sync.WaitGroup
	until := time.Now().Add(memoryLoad)
	for range callers {
		group.Go(func() {
			for time.Now().Before(until) {
				status := l.request(body, pause)
				count(status)
				if status != http.StatusOK {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	group.Wait()
}

func (l *load) count(status int) {
	switch status {
	case http.StatusOK:
		l.served.Add(1)
	case http.StatusServiceUnavailable:
		l.refused.Add(1)
	}
}

func (l *load) countSmall(status int) {
	l.smallSent.Add(1)
	if status == http.StatusOK {
		l.smallServed.Add(1)
	}
	if status == http.StatusServiceUnavailable {
		l.smallRefused.Add(1)
	}
}

func (l *load) sendLargeBodies() {
	l.repeat(largeBodies, make([]byte, largestBody), 0, l.count)
}

func (l *load) sendSmall() { l.repeat(smallCallers, []byte("short"), 0, l.countSmall) }

func (l *load) readSlowly() {
	l.repeat(slowReaders, []byte("short"), 50*time.Millisecond, l.count)
}

// play plays loads at once and reports what came of them.
func (l *load) play(b *testing.B, name string, loads ...func()) {
	var group sync.WaitGroup
	for _, one := range loads {
		group.Go(one)
	}
	group.Wait()
	peak := l.d.peakMemory(b)
	b.Logf("%s: peak of %d MB of %d; %d served, %d refused; of %d small requests beside %d served, %d refused",
		name, peak>>20, l.h.opts.MemoryLimitBytes>>20, l.served.Load(), l.refused.Load(), l.smallSent.Load(), l.smallServed.Load(), l.smallRefused.Load())
	b.ReportMetric(float64(peak>>20), strings.ReplaceAll(name, " ", "_")+"_MB")
	if peak > l.h.opts.MemoryLimitBytes {
		b.Errorf("%s: more memory than the limit", name)
	}
}

// BenchmarkPeakMemory prints the peak resident memory of a daemon under many large bodies, endless responses
// and slow readers, each at a daemon of its own, and all at once.
func BenchmarkPeakMemory(b *testing.B) {
	binary := buildBinary(b)
	for _, limit := range []int64{leastMemory, 284 << 20} {
		b.Run(fmt.Sprint(limit>>20, "MB"), func(b *testing.B) {
			h := newHarness(Options{Seed: 1, Binary: binary, Dir: b.TempDir(), Scenario: RandomFaults, MemoryLimitBytes: limit, BodyBytes: largestBody})
			defer h.close()
			must.NoError(b, h.start())
			h.startLongServers(b)
			at := func(n int) *load { return &load{h: h, d: h.daemons[n]} }
			bodies, slow, all := at(0), at(1), at(2)
			b.Logf("idle: peak of %d MB", h.daemons[3].peakMemory(b)>>20)
			bodies.play(b, "large bodies", bodies.sendLargeBodies, bodies.sendSmall)
			slow.play(b, "slow readers", slow.readSlowly)
			all.play(b, "all but endless", all.sendLargeBodies, all.sendSmall, all.readSlowly)
			for _, s := range h.startEndlessServers(b) {
				s.setForm(endlessForm{"body until the end", true, "\r\n", "garbage "})
			}
			for n := range 3 {
				h.unregister(fmt.Sprint("long-", n))
			}
			time.Sleep(time.Second)
			endless := at(3)
			endless.play(b, "endless responses", func() { endless.readEndless() })
			last := at(4)
			last.play(b, "all", last.readEndless, last.sendLargeBodies, last.sendSmall, last.readSlowly)
			must.SliceEmpty(b, h.recorder.violations)
		})
	}
}

func (l *load) readEndless() {
	var callers sync.WaitGroup
	for n := range endlessAtOnce {
		callers.Go(func() {
			l.h.requestEndless(l.d, []callKind{callAtMostOnce, callIdempotent, callResumable}[n%3], fmt.Sprint("endless", n))
		})
	}
	callers.Wait()
}
