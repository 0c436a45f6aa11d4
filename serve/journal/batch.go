package journal

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/membership"
	"mallowwind.dev/peer/peerpb"
)

const (
	// minBatchInterval is the shortest time between two batches to one holder. An append to an
	// idle holder is sent at once; under load, the appends of one interval share a message. It
	// is a seventh of the time between tokens that callers are promised, and limits the messages
	// to a holder to 250 per second.
	minBatchInterval = 4 * time.Millisecond
	// maxBatchAppends is the largest number of appends in one message.
	maxBatchAppends = 512
)

// errHolderFailed is returned for appends that were queued behind a failed batch.
var errHolderFailed = errors.New("journal: the preceding batch to the holder failed")

// SendBatch sends one batch to a holder. It must apply its own timeout.
type SendBatch func(ctx context.Context, to membership.Member, batch *peerpb.AppendBatch) (*peerpb.AppendBatchReply, error)

// Batcher combines the appends of many generations to the same holder into batches.
//
// Load pattern: a busy daemon releases thousands of tokens per second in hundreds of streams, and
// each token is copied to a holder before it is released. One message per token would cost more
// CPU time than relaying the tokens does.
//
// One batch per holder is in flight at a time; appends that arrive meanwhile are sent with the
// next one. Batcher is safe for concurrent use.
type Batcher struct {
	send SendBatch

	mu     sync.Mutex
	queues map[queueKey]*holderQueue
}

// queueKey identifies one process of a holder. The appends to a restarted process get a queue of
// their own, so that they do not wait behind those to its predecessor.
type queueKey struct {
	id          string
	incarnation uint64
}

// holderQueue is the queue of appends to one holder process. run removes it once it is empty.
type holderQueue struct {
	to       membership.Member
	queued   []*pendingAppend
	lastSent time.Time // when the last batch was sent
}

type pendingAppend struct {
	req  *peerpb.AppendRequest
	done chan appendResult
}

type appendResult struct {
	reply *peerpb.JournalReply
	err   error
}

// NewBatcher returns a Batcher that sends its batches with send.
func NewBatcher(send SendBatch) *Batcher {
	return &Batcher{send: send, queues: make(map[queueKey]*holderQueue)}
}

// Append queues req for the next batch to the holder and waits for the reply to req.
func (b *Batcher) Append(ctx context.Context, to membership.Member, req *peerpb.AppendRequest) (*peerpb.JournalReply, error) {
	p := &pendingAppend{req: req, done: make(chan appendResult, 1)}
	b.enqueue(to, p)
	select {
	case o := <-p.done:
		return o.reply, o.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (b *Batcher) enqueue(to membership.Member, p *pendingAppend) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := queueKey{to.ID, to.Incarnation}
	q := b.queues[key]
	if q == nil {
		q = &holderQueue{to: to}
		b.queues[key] = q
		go b.run(key, q)
	}
	q.queued = append(q.queued, p)
}

// run sends batches until no append has been queued for minBatchInterval after the last batch.
func (b *Batcher) run(key queueKey, q *holderQueue) {
	for {
		batch := b.nextBatch(key, q)
		if batch == nil {
			return
		}
		q.lastSent = time.Now()
		if !b.sendBatch(q, batch) {
			b.failQueued(q)
		}
		time.Sleep(minBatchInterval - time.Since(q.lastSent))
	}
}

// nextBatch removes the next batch from the queue. It removes the queue and returns nil if the
// queue is empty.
func (b *Batcher) nextBatch(key queueKey, q *holderQueue) []*pendingAppend {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(q.queued) == 0 {
		delete(b.queues, key)
		return nil
	}
	n := min(len(q.queued), maxBatchAppends)
	batch := q.queued[:n:n]
	q.queued = q.queued[n:]
	return batch
}

// sendBatch sends one batch and delivers each reply to its caller. It reports whether the batch
// succeeded.
func (b *Batcher) sendBatch(q *holderQueue, batch []*pendingAppend) bool {
	msg := &peerpb.AppendBatch{Appends: make([]*peerpb.AppendRequest, 0, len(batch))}
	for _, p := range batch {
		msg.Appends = append(msg.Appends, p.req)
	}
	r, err := b.send(context.Background(), q.to, msg)
	if err == nil && len(r.GetReplies()) != len(batch) {
		err = errors.Errorf("journal: %d replies to %d appends", len(r.GetReplies()), len(batch))
	}
	for i, p := range batch {
		if err != nil {
			p.done <- appendResult{err: err}
			continue
		}
		p.done <- appendResult{reply: r.GetReplies()[i]}
	}
	return err == nil
}

// failQueued fails the appends that were queued behind a failed batch, because its holder has
// most likely crashed or stopped responding. Otherwise each waiting generation would incur a
// timeout of its own before it moved to another holder.
func (b *Batcher) failQueued(q *holderQueue) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range q.queued {
		p.done <- appendResult{err: errHolderFailed}
	}
	q.queued = nil
}

// BatchParameters returns the number of journal groups of one owner, which bounds the holders of
// its answers to requests without an idempotency key, and the shortest time between two batches
// to one holder.
func BatchParameters() (holders int, gap time.Duration) { return groupsPerOwner, minBatchInterval }
