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
	// minBatchInterval is the least time between two batches to one holder. An append to
	// an idle holder leaves at once; under load the appends of up to minGap share
	// a message. It is a seventh of the time between tokens that callers are
	// promised, and bounds the messages to a holder to 250 a second.
	minBatchInterval = 4 * time.Millisecond
	// maxBatchAppends bounds the appends of one message.
	maxBatchAppends = 512
)

// errHolderFailed is what appends get that waited behind one that failed.
var errHolderFailed = errors.New("journal: the holder did not answer")

// SendBatch carries one batch to a holder. It bounds its own time.
type SendBatch func(ctx context.Context, to membership.Member, batch *peerpb.AppendBatch) (*peerpb.AppendBatchReply, error)

// Batcher gathers the appends of many generations to one holder.
//
// The load pattern: a busy daemon releases thousands of tokens a second in
// hundreds of streams, each token to be copied before it is released. One
// message for each would cost more processor time than relaying the tokens
// does. One batch to a holder is under way at a time; what comes meanwhile goes
// with the next. It is safe for concurrent use.
type Batcher struct {
	send SendBatch

	mu     sync.Mutex
	queues map[queueKey]*holderQueue
}

// queueKey names one process of a holder: a replaced one gets its own lane, so
// that its appends do not wait behind those to its predecessor.
type queueKey struct {
	id          string
	incarnation uint64
}

// holderQueue is the queue to one holder. It exists while it has work.
type holderQueue struct {
	to       membership.Member
	queued   []*pendingAppend
	lastSent time.Time // when the last batch left
}

type pendingAppend struct {
	req  *peerpb.AppendRequest
	done chan appendResult
}

type appendResult struct {
	reply *peerpb.JournalReply
	err   error
}

// NewBatcher returns a Batcher that sends by way of send.
func NewBatcher(send SendBatch) *Batcher {
	return &Batcher{send: send, queues: make(map[queueKey]*holderQueue)}
}

// Append adds req to the next batch to the holder and waits for its reply.
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
	l := b.queues[key]
	if l == nil {
		l = &holderQueue{to: to}
		b.queues[key] = l
		go b.run(key, l)
	}
	l.queued = append(l.queued, p)
}

// run sends batches until the lane has been idle for minGap.
func (b *Batcher) run(key queueKey, l *holderQueue) {
	for {
		batch := b.nextBatch(key, l)
		if batch == nil {
			return
		}
		l.lastSent = time.Now()
		if !b.sendBatch(l, batch) {
			b.failQueued(l)
		}
		time.Sleep(minBatchInterval - time.Since(l.lastSent))
	}
}

// nextBatch removes the next batch; it ends the lane where nothing waits.
func (b *Batcher) nextBatch(key queueKey, l *holderQueue) []*pendingAppend {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(l.queued) == 0 {
		delete(b.queues, key)
		return nil
	}
	n := min(len(l.queued), maxBatchAppends)
	batch := l.queued[:n:n]
	l.queued = l.queued[n:]
	return batch
}

// sendBatch sends one batch and hands out the replies.
func (b *Batcher) sendBatch(l *holderQueue, batch []*pendingAppend) bool {
	msg := &peerpb.AppendBatch{Appends: make([]*peerpb.AppendRequest, 0, len(batch))}
	for _, p := range batch {
		msg.Appends = append(msg.Appends, p.req)
	}
	r, err := b.send(context.Background(), l.to, msg)
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

// failQueued fails what queued up behind a batch that failed. The failure is a
// holder that is gone or silent: without this each waiting answer would pay for
// a time-out of its own before it moved to another holder.
func (b *Batcher) failQueued(l *holderQueue) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range l.queued {
		p.done <- appendResult{err: errHolderFailed}
	}
	l.queued = nil
}

// BatchParameters returns how many holders the answers of one owner have, those of
// requests with a key apart, and the least time between two messages to one.
func BatchParameters() (holders int, gap time.Duration) { return groupsPerOwner, minBatchInterval }
