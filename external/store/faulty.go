package store

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// Counts are the calls a service has taken, by kind. A watch counts when it
// opens, and is in Waiting until it closes.
type Counts struct {
	Get, List, CompareAndSwap, Delete int64
	ListStale                         int64
	Grant, KeepAlive, Revoke          int64
	Watch                             int64
	Waiting                           int64 // watches open now
	Refused                           int64 // over the rate or during an outage
}

// Reads is the number of calls that count against the rate of reads, which lists that
// may be old do not.
func (c Counts) Reads() int64 { return c.Get + c.List + c.Watch }

// Writes is the number of calls that count against the rate of writes.
func (c Counts) Writes() int64 {
	return c.CompareAndSwap + c.Delete + c.Grant + c.KeepAlive + c.Revoke
}

// Faulty puts the faults and limits of the real service before another Store.
type Faulty struct {
	inner Store

	mu       sync.Mutex
	down     bool
	outage   chan struct{} // closed when an outage begins
	delay    time.Duration
	loseNext bool
	dropNext bool
	reads    *rate.Limiter
	writes   *rate.Limiter
	counts   Counts
}

var _ Store = (*Faulty)(nil)

// NewFaulty returns a wrapper with no fault and no limit.
func NewFaulty(inner Store) *Faulty {
	return &Faulty{
		inner:  inner,
		outage: make(chan struct{}),
		reads:  rate.NewLimiter(rate.Inf, 0),
		writes: rate.NewLimiter(rate.Inf, 0),
	}
}

// SetDown begins or ends an outage. Calls and waiting watches then fail with
// ErrUnavailable.
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

// SetDelay makes each call take this long. A call whose context ends before is
// answered as the real service's client answers it: reads are ErrUnavailable,
// writes ErrUnknown.
func (f *Faulty) SetDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// LoseNextWriteResponse loses the answer of the next write to a key that takes effect:
// its caller gets ErrUnknown.
func (f *Faulty) LoseNextWriteResponse() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseNext = true
}

// DropNextWrite loses the next write to a key on its way: its caller gets
// ErrUnknown, as with LoseNextWrite, and nothing is written.
func (f *Faulty) DropNextWrite() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropNext = true
}

func (f *Faulty) drop() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.dropNext {
		return nil
	}
	f.dropNext = false
	return errors.Wrap(ErrUnknown, "request lost")
}

// SetLimits refuses calls above these rates, each with a burst of one second.
// Zero means no limit.
func (f *Faulty) SetLimits(readsPerS, writesPerS int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads, f.writes = limiter(readsPerS), limiter(writesPerS)
}

func limiter(perS int) *rate.Limiter {
	if perS == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perS), perS)
}

// Counts returns the calls so far.
func (f *Faulty) Counts() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
}

// begin counts one call and fails it if a fault says so.
func (f *Faulty) begin(ctx context.Context, field *int64, limit func() *rate.Limiter, late error) error {
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
	return pause(ctx, delay, late)
}

func (f *Faulty) read(ctx context.Context, field *int64) error {
	return f.begin(ctx, field, func() *rate.Limiter { return f.reads }, ErrUnavailable)
}

func (f *Faulty) write(ctx context.Context, field *int64) error {
	return f.begin(ctx, field, func() *rate.Limiter { return f.writes }, ErrUnknown)
}

func pause(ctx context.Context, d time.Duration, late error) error {
	if d == 0 {
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return errors.Wrapf(late, "%v", ctx.Err())
	}
}

// lose turns the answer of a write that took effect into ErrUnknown if it was
// asked for.
func (f *Faulty) lose(err error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil || !f.loseNext {
		return err
	}
	f.loseNext = false
	return errors.Wrap(ErrUnknown, "answer lost")
}

// Get implements Store.
func (f *Faulty) Get(ctx context.Context, key string) (KV, error) {
	if err := f.read(ctx, &f.counts.Get); err != nil {
		return KV{}, err
	}
	return f.inner.Get(ctx, key)
}

// List implements Store.
func (f *Faulty) List(ctx context.Context, prefix string) ([]KV, int64, error) {
	if err := f.read(ctx, &f.counts.List); err != nil {
		return nil, 0, err
	}
	return f.inner.List(ctx, prefix)
}

// ListStale implements Store. It is not held to the rate of reads.
func (f *Faulty) ListStale(ctx context.Context, prefix string) ([]KV, int64, error) {
	unlimited := func() *rate.Limiter { return rate.NewLimiter(rate.Inf, 0) }
	if err := f.begin(ctx, &f.counts.ListStale, unlimited, ErrUnavailable); err != nil {
		return nil, 0, err
	}
	return f.inner.ListStale(ctx, prefix)
}

// CompareAndSwap implements Store.
func (f *Faulty) CompareAndSwap(ctx context.Context, key string, version int64, value []byte, lease LeaseID) (int64, error) {
	if err := f.write(ctx, &f.counts.CompareAndSwap); err != nil {
		return 0, err
	}
	if err := f.drop(); err != nil {
		return 0, err
	}
	v, err := f.inner.CompareAndSwap(ctx, key, version, value, lease)
	if err = f.lose(err); err != nil {
		return 0, err
	}
	return v, nil
}

// Delete implements Store.
func (f *Faulty) Delete(ctx context.Context, key string, version int64) error {
	if err := f.write(ctx, &f.counts.Delete); err != nil {
		return err
	}
	if err := f.drop(); err != nil {
		return err
	}
	return f.lose(f.inner.Delete(ctx, key, version))
}

// Grant implements Store.
func (f *Faulty) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	if err := f.write(ctx, &f.counts.Grant); err != nil {
		return 0, err
	}
	return f.inner.Grant(ctx, ttl)
}

// KeepAlive implements Store.
func (f *Faulty) KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error) {
	if err := f.write(ctx, &f.counts.KeepAlive); err != nil {
		return 0, err
	}
	return f.inner.KeepAlive(ctx, id)
}

// Revoke implements Store.
func (f *Faulty) Revoke(ctx context.Context, id LeaseID) error {
	if err := f.write(ctx, &f.counts.Revoke); err != nil {
		return err
	}
	return f.inner.Revoke(ctx, id)
}

// Watch implements Store.
func (f *Faulty) Watch(ctx context.Context, prefix string, from int64) (Watcher, error) {
	if err := f.read(ctx, &f.counts.Watch); err != nil {
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
	faulty *Faulty
	outage chan struct{}
	once   sync.Once
}

// Next implements Watcher. An outage ends it.
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
	w.once.Do(func() {
		w.faulty.mu.Lock()
		defer w.faulty.mu.Unlock()
		w.faulty.counts.Waiting--
	})
	return w.Watcher.Close()
}
