package forward

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// maxTwoRuns is how long a server may work on a request that another server has begun to continue.
const maxTwoRuns = 400 * time.Millisecond

// runLog records the runs of requests at servers. The servers are the witnesses: a run begins when a server
// begins to work on a request, and ends when the server stops, which may be later than the daemon assumes.
type runLog struct {
	mu   sync.Mutex
	runs map[string][]*recordedRun // by request ID, in order of their begin
}

// recordedRun is one run of a request at a server.
type recordedRun struct {
	server     string
	begun, end time.Time // end is zero while the server works
}

func newRunLog() *runLog { return &runLog{runs: map[string][]*recordedRun{}} }

// begin records that a server begins to work on a request. The returned function records that it stops.
func (l *runLog) begin(server, id string) (end func()) {
	run := &recordedRun{server: server, begun: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], run)
	return sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		run.end = time.Now()
	})
}

// recorded returns a handler that works on a request from its arrival until handle returns or the
// connection is closed.
func (l *runLog) recorded(server string, handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		end := l.begin(server, r.Header.Get(hID))
		defer end()
		defer endWith(r, end)()
		handle(w, r)
	}
}

// endWith calls end when the connection of a request is closed, unless stop is called before.
func endWith(r *http.Request, end func()) (stop func()) {
	returned := make(chan struct{})
	go func() {
		select {
		case <-r.Context().Done():
			end()
		case <-returned:
		}
	}()
	return func() { close(returned) }
}

// worksOn returns a handler that works on for d after handle has returned or broken the connection, as an
// engine does whose connection is reset and whose run goes on.
func (l *runLog) worksOn(server string, d time.Duration, handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		end := l.begin(server, r.Header.Get(hID))
		defer time.AfterFunc(d, end) // handle ends with a panic if it breaks the connection
		handle(w, r)
	}
}

// longestOverlap returns the longest time for which two servers worked on one request, and that request.
func (l *runLog) longestOverlap() (id string, longest time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for request, runs := range l.runs {
		for n, later := range runs {
			for _, earlier := range runs[:n] {
				if d := overlap(earlier, later); earlier.server != later.server && d > longest {
					id, longest = request, d
				}
			}
		}
	}
	return id, longest
}

// overlap returns how long an earlier and a later run worked at the same time.
func overlap(earlier, later *recordedRun) time.Duration {
	until := time.Now()
	for _, run := range []*recordedRun{earlier, later} {
		if !run.end.IsZero() && run.end.Before(until) {
			until = run.end
		}
	}
	return until.Sub(later.begun)
}

// assertNoTwoRuns fails the test if two servers worked on one request for longer than maxTwoRuns.
func (l *runLog) assertNoTwoRuns(t *testing.T) {
	t.Helper()
	if id, d := l.longestOverlap(); d > maxTwoRuns {
		t.Errorf("two servers worked on %s for %v", id, d)
	}
}

// Guards against a check that does not see a run which goes on after its connection has broken, or that
// counts one which ends with its connection, or another run at the same server.
func TestRunLogSeesWhatServersDo(t *testing.T) {
	breaks := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	works := func(_ http.ResponseWriter, r *http.Request) { sleep(r, time.Hour) }
	for _, c := range []struct {
		name  string
		first func(*runLog) http.HandlerFunc
		next  string // server of the next run
		want  time.Duration
	}{
		{"ends with its connection", func(l *runLog) http.HandlerFunc { return l.recorded("e1", breaks) }, "e2", 0},
		{"works on", func(l *runLog) http.HandlerFunc { return l.worksOn("e1", time.Second, breaks) }, "e2", time.Second},
		{"closed late", func(l *runLog) http.HandlerFunc { return l.recorded("e1", works) }, "e2", 2 * time.Second},
		{"at the same server", func(l *runLog) http.HandlerFunc { return l.worksOn("e1", time.Second, breaks) }, "e1", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runs := newRunLog()
				ctx, cancel := context.WithCancel(t.Context())
				request := httptest.NewRequestWithContext(ctx, http.MethodPost, "/", nil)
				request.Header.Set(hID, "r1")
				go func() {
					defer func() { _ = recover() }() // as the HTTP server does
					c.first(runs)(httptest.NewRecorder(), request)
				}()
				synctest.Wait()
				end := runs.begin(c.next, "r1")
				time.Sleep(2 * time.Second)
				cancel()
				synctest.Wait()
				time.Sleep(time.Second)
				end()
				_, d := runs.longestOverlap()
				must.Eq(t, c.want, d)
			})
		})
	}
}

// Guards against a silent server that works on after another one has gone on from the copy.
func TestSilentServerEndsOnceItsStreamGoesOnElsewhere(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		runs := newRunLog()
		serve := func(rw http.ResponseWriter, r *http.Request) {
			if r.Header.Get(hCopyAt) != "" {
				streamEvents(40, 0, 50*time.Millisecond)(rw, r)
				return
			}
			rw.Header().Set(hProof, "p")
			rw.Header().Set("Content-Type", "text/event-stream")
			for id := 1; id <= 5; id++ {
				writeEvent(rw, id)
			}
			sleep(r, time.Hour)
		}
		for _, id := range []string{"e1", "e2"} {
			w.add(id, "llm", "a", runs.recorded(id, serve))
		}
		got := w.request(http.MethodPost, "/s/x", callerHeaders, "")
		must.NoError(t, got.err)
		must.EqOp(t, events(1, 40), got.body)
		must.EqOp(t, 1, w.servers["e1"].requestCount())
		must.EqOp(t, 1, w.servers["e2"].requestCount())
		runs.assertNoTwoRuns(t)
	})
}
