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
	// minGap is the least time between two batches to one holder. An append to
	// an idle holder leaves at once; under load the appends of up to minGap share
	// a message. It is a seventh of the time between tokens that callers are
	// promised, and bounds the messages to a holder to 250 a second.
	minGap = 4 * time.Millisecond
	// maxBatch bounds the appends of one message.
	maxBatch = 512
)

// errHolder is what appends get that waited behind one that failed.
var errHolder = errors.New("journal: the holder did not answer")

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

	mu    sync.Mutex
	lanes map[laneKey]*lane
}

// laneKey names one process of a holder: a replaced one gets its own lane, so
// that its appends do not wait behind those to its predecessor.
type laneKey struct {
	id          string
	incarnation uint64
}

// lane is the queue to one holder. It exists while it has work.
type lane struct {
	to      membership.Member
	waiting []*pending
	last    time.Time // when the last batch left
}

type pending struct {
	req  *peerpb.AppendRequest
	done chan outcome
}

type outcome struct {
	reply *peerpb.JournalReply
	err   error
}

// NewBatcher returns a Batcher that sends by way of send.
func NewBatcher(send SendBatch) *Batcher {
	return &Batcher{send: send, lanes: make(map[laneKey]*lane)}
}

// Append adds req to the next batch to the holder and waits for its reply.
func (b *Batcher) Append(ctx context.Context, to membership.Member, req *peerpb.AppendRequest) (*peerpb.JournalReply, error) {
	p := &pending{req: req, done: make(chan outcome, 1)}
	b.enqueue(to, p)
	select {
	case o := <-p.done:
		return o.reply, o.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (b *Batcher) enqueue(to membership.Member, p *pending) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := laneKey{to.ID, to.Incarnation}
	l := b.lanes[key]
	if l == nil {
		l = &lane{to: to}
		b.lanes[key] = l
		go b.run(key, l)
	}
	l.waiting = append(l.waiting, p)
}

// run sends batches until the lane has been idle for minGap.
func (b *Batcher) run(key laneKey, l *lane) {
	for {
		batch := b.take(key, l)
		if batch == nil {
			return
		}
		l.last = time.Now()
		if !b.carry(l, batch) {
			b.failWaiting(l)
		}
		time.Sleep(minGap - time.Since(l.last))
	}
}

// take removes the next batch; it ends the lane where nothing waits.
func (b *Batcher) take(key laneKey, l *lane) []*pending {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(l.waiting) == 0 {
		delete(b.lanes, key)
		return nil
	}
	n := min(len(l.waiting), maxBatch)
	batch := l.waiting[:n:n]
	l.waiting = l.waiting[n:]
	return batch
}

// carry sends one batch and hands out the replies.
func (b *Batcher) carry(l *lane, batch []*pending) bool {
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
			p.done <- outcome{err: err}
			continue
		}
		p.done <- outcome{reply: r.GetReplies()[i]}
	}
	return err == nil
}

// failWaiting fails what queued up behind a batch that failed. The failure is a
// holder that is gone or silent: without this each waiting answer would pay for
// a time-out of its own before it moved to another holder.
func (b *Batcher) failWaiting(l *lane) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range l.waiting {
		p.done <- outcome{err: errHolder}
	}
	l.waiting = nil
}

// BatchParameters returns how many holders the answers of one owner have, those of
// requests with a key apart, and the least time between two messages to one.
func BatchParameters() (holders int, gap time.Duration) { return groups, minGap }
