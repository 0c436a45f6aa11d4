package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/external/standin/faultnet"
)

const (
	// testBudget has room for seven bodies of largeBody beside the part for small requests.
	testBudget = 5 << 20
	largeBody  = 512 << 10
)

// uploadRoutes are plainRoutes with a long timeout.
func uploadRoutes() []*routing.Route {
	routes := plainRoutes()
	for _, r := range routes {
		r.Timeout, r.Objective = 20*time.Second, 10*time.Second
	}
	return routes
}

// respondAfter answers with a proof header after a time.
func respondAfter(d time.Duration, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		sleep(r, d)
		respondProven(body)(w, r)
	}
}

// requestAll sends so many requests at once.
func (w *testCluster) requestAll(n int, path string, header map[string]string, body string) []response {
	var group sync.WaitGroup
	all := make([]response, n)
	for i := range n {
		group.Go(func() { all[i] = w.request(http.MethodPost, path, header, body) })
	}
	group.Wait()
	return all
}

// checkNotRun checks the response to a request that was refused.
func checkNotRun(t *testing.T, got response) {
	t.Helper()
	must.Eq(t, http.StatusServiceUnavailable, got.status, must.Sprint(got.err))
	must.StrContains(t, got.body, "not_run")
	seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	must.NoError(t, err)
	must.Positive(t, seconds)
}

// Guards against a daemon that is killed for its memory because many callers send large bodies at once.
func TestBodiesFitIntoMemory(t *testing.T) {
	for _, path := range []string{"/once/1", "/again/1"} {
		withTestCluster(t, uploadRoutes(), func(w *testCluster) {
			w.handler.SetMemoryBudget(testBudget)
			desk := w.add("d-1", "desk", "a", respondAfter(2*time.Second, "ok"))
			var peak atomic.Int64
			w.background(func() {
				for range 500 {
					peak.Store(max(peak.Load(), w.handler.memory.used()))
					time.Sleep(10 * time.Millisecond)
				}
			})
			served := 0
			for _, got := range w.requestAll(40, path, callerHeaders, strings.Repeat("x", largeBody)) {
				if got.status == http.StatusOK {
					served++
					continue
				}
				checkNotRun(w.t, got)
				must.Less(w.t, 100*time.Millisecond, got.took)
			}
			must.Eq(w.t, 7, served, must.Sprint(path))
			must.Eq(w.t, served, desk.requestCount())
			time.Sleep(5 * time.Second)
			must.Between(w.t, 7*largeBody, peak.Load(), testBudget)
		})
	}
}

// Guards against short urgent requests that are refused while large bodies hold the memory.
func TestSmallRequestsAreServedBesideLargeBodies(t *testing.T) {
	withTestCluster(t, uploadRoutes(), func(w *testCluster) {
		w.handler.SetMemoryBudget(testBudget)
		w.add("d-1", "desk", "a", respondAfter(2*time.Second, "ok"))
		w.background(func() { w.requestAll(40, "/once/1", callerHeaders, strings.Repeat("x", largeBody)) })
		time.Sleep(time.Second)
		for _, key := range []string{"key-1", "key-2"} {
			for _, got := range w.requestAll(5, "/once/1", withHeaders(map[string]string{hKey: key}), "short") {
				must.Eq(w.t, http.StatusOK, got.status)
			}
		}
	})
}

// Guards against one account whose bodies keep those of all others out.
func TestMemoryIsSharedBetweenAccounts(t *testing.T) {
	withTestCluster(t, uploadRoutes(), func(w *testCluster) {
		w.handler.SetMemoryBudget(testBudget)
		w.add("d-1", "desk", "a", respondAfter(time.Second, "ok"))
		until := time.Now().Add(20 * time.Second)
		served := map[string]int{}
		var mu sync.Mutex
		var callers sync.WaitGroup
		for n := range 24 {
			key := "key-1"
			if n%6 == 0 {
				key = "key-2"
			}
			callers.Go(func() {
				for time.Now().Before(until) {
					got := w.request(http.MethodPost, "/once/1", withHeaders(map[string]string{hKey: key}), strings.Repeat("x", largeBody))
					mu.Lock()
					served[key] += got.status / http.StatusOK % 2
					mu.Unlock()
					if got.status != http.StatusOK {
						time.Sleep(100 * time.Millisecond)
					}
				}
			})
		}
		callers.Wait()
		must.Greater(w.t, 100, served["key-1"]+served["key-2"])
		must.Greater(w.t, 40, served["key-2"])
	})
}

// chunkedBody hides the length of a body.
func chunkedBody(body string) io.Reader { return struct{ io.Reader }{strings.NewReader(body)} }

// slowCaller is a connection of a caller that reads no response before it has sent its request.
type slowCaller struct {
	net.Conn
	server    *http.Server
	received  chan []byte // what the handler has sent, as in the buffers of the caller's kernel
	unread    []byte
	responses *bufio.Reader
}

// dialSlowly connects to the handler.
func (w *testCluster) dialSlowly() *slowCaller {
	w.t.Helper()
	listener := faultnet.Pipe()
	c := &slowCaller{server: &http.Server{Handler: w.handler}, received: make(chan []byte, 1000)}
	go c.server.Serve(listener)
	conn, err := listener.Dial(w.t.Context(), "", "")
	must.NoError(w.t, err)
	c.Conn, c.responses = conn, bufio.NewReader(c)
	go c.receive()
	return c
}

func (c *slowCaller) receive() {
	defer close(c.received)
	for {
		piece := make([]byte, 4<<10)
		n, err := c.Conn.Read(piece)
		if err != nil {
			return
		}
		c.received <- piece[:n]
	}
}

// Read reads what was received.
func (c *slowCaller) Read(p []byte) (int, error) {
	if len(c.unread) == 0 {
		piece, ok := <-c.received
		if !ok {
			return 0, io.EOF
		}
		c.unread = piece
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// Close closes both ends of the connection.
func (c *slowCaller) Close() error {
	c.server.Close()
	return c.Conn.Close()
}

// send sends a request and then reads its response.
func (c *slowCaller) send(t *testing.T, body io.Reader) response {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://host/once/1", body)
	must.NoError(t, err)
	for name, value := range callerHeaders {
		req.Header.Set(name, value)
	}
	must.NoError(t, req.Write(c))
	resp, err := http.ReadResponse(c.responses, req)
	must.NoError(t, err)
	raw, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(raw), err: err}
}

// Guards against a refusal that its caller never reads, because the connection is reset while the caller
// still sends the body.
func TestRefusalReachesCallerThatSendsFirst(t *testing.T) {
	for name, body := range map[string]func(string) io.Reader{
		"stated length": func(s string) io.Reader { return strings.NewReader(s) },
		"chunked":       chunkedBody,
	} {
		t.Run(name, func(t *testing.T) {
			withTestCluster(t, uploadRoutes(), func(w *testCluster) {
				desk := w.add("d-1", "desk", "a", respondProven("ok"))
				w.handler.SetMemoryBudget(testBudget / 10)
				c := w.dialSlowly()
				defer c.Close()
				checkNotRun(w.t, c.send(w.t, body(strings.Repeat("x", 1<<20))))
				must.Eq(w.t, 0, desk.requestCount())
				must.Eq(w.t, http.StatusOK, c.send(w.t, body("short")).status) // on the same connection
				w.handler.SetMemoryBudget(testBudget)
				must.Eq(w.t, http.StatusOK, c.send(w.t, body(strings.Repeat("x", 1<<20))).status)
			})
		})
	}
}

// Bodies arrive at servers unchanged, whatever their length and however they are sent.
func TestBodiesOfAllLengths(t *testing.T) {
	withTestCluster(t, uploadRoutes(), func(w *testCluster) {
		var got string
		w.add("d-1", "desk", "a", respondProven("ok")).override = func(rw http.ResponseWriter, r *http.Request) {
			raw, _ := io.ReadAll(r.Body)
			got = string(raw)
			rw.Header().Set(hID, r.Header.Get(hID))
			respondProven("ok")(rw, r)
		}
		c := w.dialSlowly()
		defer c.Close()
		for _, length := range []int{0, 1, firstBodyBytes - 1, firstBodyBytes, firstBodyBytes + 1, 4 * firstBodyBytes, largeBody + 1, 1 << 20} {
			body := strings.Repeat("0123456789abcde\n", length/16+1)[:length]
			for _, reader := range []io.Reader{strings.NewReader(body), chunkedBody(body)} {
				must.Eq(w.t, http.StatusOK, c.send(w.t, reader).status, must.Sprint(length))
				must.True(w.t, body == got, must.Sprint(length))
			}
		}
	})
}

// A body that the configuration does not allow is refused without holding memory.
func TestBodyOverTheLimitHoldsNoMemory(t *testing.T) {
	withTestCluster(t, uploadRoutes(), func(w *testCluster) {
		w.handler.SetMemoryBudget(testBudget / 10)
		w.add("d-1", "desk", "a", respondProven("ok"))
		got := w.request(http.MethodPost, "/once/1", callerHeaders, strings.Repeat("x", 2<<20))
		must.Eq(w.t, http.StatusRequestEntityTooLarge, got.status)
	})
}

// A response is forwarded as it arrives where there is no memory to hold it.
func TestResponsesAreForwardedWithoutMemory(t *testing.T) {
	for _, length := range []int{100, firstResponseBytes, 100 << 10, bufferedResponseBytes, 3 * bufferedResponseBytes} {
		body := strings.Repeat("0123456789abcde\n", length/16+1)[:length]
		for name, respond := range map[string]http.HandlerFunc{
			"stated length": func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(hProof, "p")
				w.Header().Set("Content-Length", strconv.Itoa(length))
				fmt.Fprint(w, body)
			},
			"chunked": func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(hProof, "p")
				w.(http.Flusher).Flush()
				fmt.Fprint(w, body)
			},
		} {
			for _, budget := range []int64{requestBytes + 8<<10, testBudget} {
				withTestCluster(t, uploadRoutes(), func(w *testCluster) {
					w.handler.SetMemoryBudget(budget)
					w.add("d-1", "desk", "a", respond)
					got := w.request(http.MethodPost, "/once/1", callerHeaders, "x")
					must.NoError(w.t, got.err)
					must.Eq(w.t, http.StatusOK, got.status)
					must.True(w.t, body == got.body, must.Sprint(name, length, budget))
				})
			}
		}
	}
}

// Guards against callers that read slowly and keep the memory of bodies that no server needs any more.
func TestBodyIsGivenBackBeforeTheResponseIsRead(t *testing.T) {
	withTestCluster(t, uploadRoutes(), func(w *testCluster) {
		w.handler.SetMemoryBudget(testBudget)
		w.add("d-1", "desk", "a", respondProven(strings.Repeat("x", bufferedResponseBytes/2)))
		listener := faultnet.Pipe()
		server := &http.Server{Handler: w.handler}
		go server.Serve(listener)
		defer server.Close()
		conn, err := listener.Dial(w.t.Context(), "", "")
		must.NoError(w.t, err)
		defer conn.Close()
		req, err := http.NewRequestWithContext(w.t.Context(), http.MethodPost, "http://host/once/1", strings.NewReader(strings.Repeat("x", largeBody)))
		must.NoError(w.t, err)
		for name, value := range callerHeaders {
			req.Header.Set(name, value)
		}
		must.NoError(w.t, req.Write(conn))
		time.Sleep(time.Second)
		synctest.Wait()
		must.Between(w.t, 1, w.handler.memory.used(), largeBody-1)
	})
}

// Guards against a body that is counted as given back, or given back twice, while the transport still sends it.
func TestBodyStaysReservedUntilItsLastSendEnds(t *testing.T) {
	h := &Handler{memory: newMemory(testBudget)}
	in := &inbound{body: make([]byte, largeBody), bodyMemory: h.memory.newReservation("mill")}
	must.Nil(t, in.bodyMemory.grow(largeBody))
	first, second := in.requestBody(), in.requestBody()
	must.NoError(t, first.Close())
	must.NoError(t, first.Close())
	rest, err := io.ReadAll(first) // it refers to the bytes no more
	must.NoError(t, err)
	must.SliceEmpty(t, rest)
	in.releaseMemory()
	must.Eq(t, largeBody, h.memory.used())
	must.NoError(t, second.Close())
	must.Zero(t, h.memory.used())
	must.False(t, in.bodyMemory.tryGrow(1))
	must.Zero(t, h.memory.used())
}

// BenchmarkReservation measures what the budget costs one request with a body.
func BenchmarkReservation(b *testing.B) {
	h := &Handler{memory: newMemory(testBudget)}
	b.ReportAllocs()
	b.RunParallel(func(each *testing.PB) {
		for each.Next() {
			in := &inbound{overhead: h.memory.newReservation("mill"), bodyMemory: h.memory.newReservation("mill")}
			in.overhead.grow(requestBytes)
			in.bodyMemory.grow(firstBodyBytes)
			in.releaseMemory()
		}
	})
}
