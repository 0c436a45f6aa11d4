package forward

import (
	"bytes"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"mallowwind.dev/decision/membudget"
	"mallowwind.dev/decision/retryafter"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/telemetry/event"
)

const (
	// requestBytes is what a request holds beside its headers, its body and its response: stacks and
	// buffers of its two connections.
	requestBytes = 48 << 10
	// headerCopies is how many copies of a request's headers there are: as received, and as sent.
	headerCopies = 2
)

// memory is the memory that all requests of a daemon hold together.
type memory struct {
	mu     sync.Mutex
	budget *membudget.Budget
}

// newMemory returns a memory budget; a limit of 0 is none.
func newMemory(limit int64) *memory {
	m := &memory{budget: membudget.New(math.MaxInt64)}
	m.setLimit(limit)
	return m
}

func (m *memory) setLimit(limit int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if limit <= 0 {
		limit = math.MaxInt64
	}
	m.budget.SetLimit(limit)
}

// used returns the number of bytes that are reserved.
func (m *memory) used() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.Used()
}

// memoryRefusal says why memory was refused, with a snapshot of the budget in bytes.
type memoryRefusal struct {
	reason                            membudget.Result
	wait                              time.Duration // for which no room is expected
	asked, used, usedByAccount, limit int64
}

// reservation is memory that a request holds. It is given back once, when its last user releases it.
type reservation struct {
	memory  *memory
	account string
	since   time.Time
	// The memory's mutex protects these.
	bytes int64
	users int
}

// newReservation returns an empty reservation with one user.
func (m *memory) newReservation(account string) *reservation {
	return &reservation{memory: m, account: account, since: time.Now(), users: 1}
}

// grow reserves more bytes, without which the request is refused. It returns nil if they are granted.
func (r *reservation) grow(more int64) *memoryRefusal {
	m := r.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	reason, wait := m.budget.Reserve(time.Now(), r.account, r.bytes, more)
	if reason == membudget.Granted {
		r.bytes += more
		return nil
	}
	return &memoryRefusal{reason, wait, r.bytes + more, m.budget.Used(), m.budget.UsedBy(r.account), m.budget.Limit()}
}

// tryGrow reserves more bytes, without which the request goes on, and reports whether they are granted.
func (r *reservation) tryGrow(more int64) bool {
	m := r.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	// A send may outlast its request, whose memory is given back.
	if r.users == 0 || m.budget.TryReserve(time.Now(), r.account, r.bytes, more) != membudget.Granted {
		return false
	}
	r.bytes += more
	return true
}

// retain adds a user.
func (r *reservation) retain() {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.users++
}

// release removes a user.
func (r *reservation) release() {
	m := r.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.users--; r.users > 0 || r.bytes == 0 {
		return
	}
	m.budget.Release(r.account, r.bytes, time.Since(r.since))
	r.bytes = 0
}

// reserveRequest reserves what a request holds beside its body.
func (h *Handler) reserveRequest(in *inbound) error {
	in.overhead = h.memory.newReservation(in.accountName())
	return h.memoryError(in, in.overhead.grow(requestBytes+headerCopies*headerBytes(in.header)))
}

// headerBytes returns the size of headers.
func headerBytes(header http.Header) (n int64) {
	for name, values := range header {
		for _, value := range values {
			n += int64(len(name) + len(value))
		}
	}
	return n
}

// memoryError is the error of a request that was refused memory; nil if refused is.
func (h *Handler) memoryError(in *inbound, refused *memoryRefusal) error {
	if refused == nil {
		return nil
	}
	retryAfter := retryafter.Jitter(refused.wait, rand.Float64())
	in.isUnread = true
	h.metrics.memoryRefusals.WithLabelValues(refused.reason.String()).Inc()
	h.opts.Log.Emit(event.MemoryRefused, in.call.ID, in.accountName(), refused.reason.String(), refused.asked, refused.used, refused.usedByAccount, refused.limit)
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "the request does not fit into memory").WithRetryAfter(retryAfter)
}

// releaseBody gives back the body once no send reads it. No further send may follow.
func (in *inbound) releaseBody() {
	in.body = nil
	if r := in.bodyMemory; r != nil {
		in.bodyMemory = nil
		r.release()
	}
}

// releaseMemory gives back all that the request still holds. Sends that outlast the request keep its body.
func (in *inbound) releaseMemory() {
	for _, r := range []*reservation{in.bodyMemory, in.overhead} {
		if r != nil {
			r.release()
		}
	}
}

// requestBody returns a reader of the body for one send. A large body stays reserved until the transport
// closes the reader, which may be later than the end of the request. A small one is not worth that:
// the transport would write headers and body separately.
func (in *inbound) requestBody() io.ReadCloser {
	r := bytes.NewReader(in.body)
	if in.bodyMemory == nil || len(in.body) <= membudget.SmallRequestBytes {
		return io.NopCloser(r)
	}
	in.bodyMemory.retain()
	return &reservedBody{reader: r, release: in.bodyMemory.release}
}

// reservedBody is a body that is a user of its reservation until it is closed.
type reservedBody struct {
	mu      sync.Mutex // the transport may close a body that it still reads
	reader  *bytes.Reader
	release func() // nil once the body is closed
}

// Read implements io.Reader.
func (b *reservedBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reader.Read(p)
}

// Close implements io.Closer. The request, which a response refers to, does not keep the bytes.
func (b *reservedBody) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.release != nil {
		b.reader.Reset(nil)
		b.release()
		b.release = nil
	}
	return nil
}
