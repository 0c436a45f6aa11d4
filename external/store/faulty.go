package store

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// Counts holds the number of calls that a service received, by kind. A watch is counted when it
// opens, and is included in Waiting until it closes.
type Counts struct {
	Get, List, CompareAndSwap, Delete int64
	ListStale                         int64
	Grant, KeepAlive, Revoke          int64
	Watch                             int64
	Waiting                           int64 // watches currently open
	Refused                           int64 // calls refused by a rate limit or an outage
}

// Reads returns the number of calls subject to the read rate limit, which does not apply to
// ListStale.
func (c Counts) Reads() int64 { return c.Get + c.List + c.Watch }

// Writes returns the number of calls subject to the write rate limit.
func (c Counts) Writes() int64 {
	return c.CompareAndSwap + c.Delete + c.Grant + c.KeepAlive + c.Revoke
}

// Faulty wraps a Store and adds the faults and rate limits of the real service.
type Faulty struct {
	inner Store

	mu               sync.Mutex
	down             bool
	outage           chan struct{} // closed when an outage starts
	delay            time.Duration
	loseNextResponse bool
	dropNextWrite    bool
	reads            *rate.Limiter
	writes           *rate.Limiter
	counts           Counts
}

var _ Store = (*Faulty)(nil)

// NewFaulty returns a wrapper of inner without faults and limits.
func NewFaulty(inner Store) *Faulty {
	return &Faulty{
		inner:  inner,
		outage: make(chan struct{}),
		reads:  rate.NewLimiter(rate.Inf, 0),
		writes: rate.NewLimiter(rate.Inf, 0),
	}
}

// SetDown starts or ends an outage. During an outage calls and open watches fail with ErrUnavailable.
func (f *Faulty) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if down == f.down {
		return
	}
	f.down = down
	if down {
		close(f.outage)
		return
	}
	f.outage = make(chan struct{})
}

// SetDelay delays each call by d. A call whose context ends earlier fails as with a client of the real
// service: a read with ErrUnavailable, a write with ErrUnknown.
func (f *Faulty) SetDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// LoseNextWriteResponse loses the response to the next successful write to a key: the write takes
// effect, and its caller gets ErrUnknown.
func (f *Faulty) LoseNextWriteResponse() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseNextResponse = true
}

// DropNextWrite loses the request of the next write to a key: nothing is written, and the caller gets
// ErrUnknown as with LoseNextWriteResponse.
func (f *Faulty) DropNextWrite() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropNextWrite = true
}

func (f *Faulty) droppedWriteError() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.dropNextWrite {
		return nil
	}
	f.dropNextWrite = false
	return errors.Wrap(ErrUnknown, "request lost")
}

// SetLimits limits the rates of reads and writes, each with a burst of one second. Calls above a limit
// are refused. Zero means no limit.
func (f *Faulty) SetLimits(readsPerSecond, writesPerSecond int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads, f.writes = newLimiter(readsPerSecond), newLimiter(writesPerSecond)
}

func newLimiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// Counts returns the calls so far.
func (f *Faulty) Counts() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
}

// admit counts one call in field and returns an error if the call is refused. If ctx ends during the
// configured delay, the error wraps deadlineErr.
func (f *Faulty) admit(ctx context.Context, field *int64, limit func() *rate.Limiter, deadlineErr error) error {
	f.mu.Lock()
	*field++
	refused := f.down || !limit().Allow()
	if refused {
		f.counts.Refused++
	}
	delay := f.delay
	f.mu.Unlock()
	if refused {
		return errors.Wrap(ErrUnavailable, "outage or rate limit")
	}
	return sleep(ctx, delay, deadlineErr)
}

func (f *Faulty) admitRead(ctx context.Context, field *int64) error {
	return f.admit(ctx, field, func() *rate.Limiter { return f.reads }, ErrUnavailable)
}

func (f *Faulty) admitWrite(ctx context.Context, field *int64) error {
	return f.admit(ctx, field, func() *rate.Limiter { return f.writes }, ErrUnknown)
}

func sleep(ctx context.Context, d time.Duration, deadlineErr error) error {
	if d == 0 {
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return errors.Wrapf(deadlineErr, "%v", ctx.Err())
	}
}

// loseResponse replaces the result of a successful write by ErrUnknown if LoseNextWriteResponse was
// called.
func (f *Faulty) loseResponse(err error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil || !f.loseNextResponse {
		return err
	}
	f.loseNextResponse = false
	return errors.Wrap(ErrUnknown, "response lost")
}

// Get implements Store.
func (f *Faulty) Get(ctx context.Context, key string) (KV, error) {
	if err := f.admitRead(ctx, &f.counts.Get); err != nil {
		return KV{}, err
	}
	return f.inner.Get(ctx, key)
}

// List implements Store.
func (f *Faulty) List(ctx context.Context, prefix string) (Listing, error) {
	if err := f.admitRead(ctx, &f.counts.List); err != nil {
		return Listing{}, err
	}
	return f.inner.List(ctx, prefix)
}

// ListStale implements Store. It is not subject to the read rate limit.
func (f *Faulty) ListStale(ctx context.Context, prefix string) (Listing, error) {
	unlimited := func() *rate.Limiter { return rate.NewLimiter(rate.Inf, 0) }
	if err := f.admit(ctx, &f.counts.ListStale, unlimited, ErrUnavailable); err != nil {
		return Listing{}, err
	}
	return f.inner.ListStale(ctx, prefix)
}

// CompareAndSwap implements Store.
func (f *Faulty) CompareAndSwap(ctx context.Context, key string, version int64, value []byte, lease LeaseID) (int64, error) {
	if err := f.admitWrite(ctx, &f.counts.CompareAndSwap); err != nil {
		return 0, err
	}
	if err := f.droppedWriteError(); err != nil {
		return 0, err
	}
	v, err := f.inner.CompareAndSwap(ctx, key, version, value, lease)
	if err = f.loseResponse(err); err != nil {
		return 0, err
	}
	return v, nil
}

// Delete implements Store.
func (f *Faulty) Delete(ctx context.Context, key string, version int64) error {
	if err := f.admitWrite(ctx, &f.counts.Delete); err != nil {
		return err
	}
	if err := f.droppedWriteError(); err != nil {
		return err
	}
	return f.loseResponse(f.inner.Delete(ctx, key, version))
}

// Grant implements Store.
func (f *Faulty) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	if err := f.admitWrite(ctx, &f.counts.Grant); err != nil {
		return 0, err
	}
	return f.inner.Grant(ctx, ttl)
}

// KeepAlive implements Store.
func (f *Faulty) KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error) {
	if err := f.admitWrite(ctx, &f.counts.KeepAlive); err != nil {
		return 0, err
	}
	return f.inner.KeepAlive(ctx, id)
}

// Revoke implements Store.
func (f *Faulty) Revoke(ctx context.Context, id LeaseID) error {
	if err := f.admitWrite(ctx, &f.counts.Revoke); err != nil {
		return err
	}
	return f.inner.Revoke(ctx, id)
}

// Watch implements Store.
func (f *Faulty) Watch(ctx context.Context, prefix string, from int64) (Watcher, error) {
	if err := f.admitRead(ctx, &f.counts.Watch); err != nil {
		return nil, err
	}
	w, err := f.inner.Watch(ctx, prefix, from)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.Waiting++
	return &faultyWatcher{Watcher: w, faulty: f, outage: f.outage}, nil
}

type faultyWatcher struct {
	Watcher
	faulty    *Faulty
	outage    chan struct{}
	closeOnce sync.Once
}

// Next implements Watcher. It fails when an outage starts.
func (w *faultyWatcher) Next(ctx context.Context) ([]Event, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-w.outage:
			cancel(errors.Wrap(ErrUnavailable, "outage"))
		case <-done:
		}
	}()
	events, err := w.Watcher.Next(ctx)
	if cause := context.Cause(ctx); err != nil && errors.Is(cause, ErrUnavailable) {
		return nil, cause
	}
	return events, err
}

// Close implements Watcher.
func (w *faultyWatcher) Close() error {
	w.closeOnce.Do(func() {
		w.faulty.mu.Lock()
		defer w.faulty.mu.Unlock()
		w.faulty.counts.Waiting--
	})
	return w.Watcher.Close()
}
