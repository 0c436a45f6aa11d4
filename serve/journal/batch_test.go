package journal

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"mallowwind.dev/control/membership"
	"mallowwind.dev/peer/peerpb"
)

// fakeHolder counts the batches that it receives and replies after one round trip, or times out
// if it is silent.
type fakeHolder struct {
	messages int
	silent   bool
}

const (
	roundTrip   = 2 * time.Millisecond
	sendTimeout = 400 * time.Millisecond
)

func (f *fakeHolder) send(_ context.Context, _ membership.Member, batch *peerpb.AppendBatch) (*peerpb.AppendBatchReply, error) {
	f.messages++
	if f.silent {
		time.Sleep(sendTimeout)
		return nil, errors.New("timed out")
	}
	time.Sleep(roundTrip)
	out := &peerpb.AppendBatchReply{}
	for _, a := range batch.GetAppends() {
		out.Replies = append(out.Replies, &peerpb.JournalReply{Accepted: true, Length: a.GetOffset()})
	}
	return out, nil
}

// Two hundred streams release a token every 30 ms. Their appends must share batches, no append may
// wait longer than one batch interval and two round trips, and each append must get its own reply.
func TestAppendsOfStreamsShareBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		holder := &fakeHolder{}
		b := NewBatcher(holder.send)
		const streams, tokens = 200, 100
		worst := make(chan time.Duration, streams)
		for s := range streams {
			go func() {
				time.Sleep(time.Duration(s) * 150 * time.Microsecond)
				var longest time.Duration
				for i := range tokens {
					began := time.Now()
					r, err := b.Append(t.Context(), membership.Member{ID: "h"}, &peerpb.AppendRequest{Offset: uint32(s*tokens + i)})
					must.NoError(t, err)
					must.Eq(t, uint32(s*tokens+i), r.GetLength())
					longest = max(longest, time.Since(began))
					time.Sleep(30*time.Millisecond - time.Since(began))
				}
				worst <- longest
			}()
		}
		var longest time.Duration
		for range streams {
			longest = max(longest, <-worst)
		}
		t.Logf("%d tokens in %d messages, longest wait %s", streams*tokens, holder.messages, longest)
		must.LessEq(t, minBatchInterval+2*roundTrip, longest)
		must.LessEq(t, streams*tokens/20, holder.messages)
		time.Sleep(time.Second)
		b.mu.Lock()
		defer b.mu.Unlock()
		must.MapEmpty(t, b.queues)
	})
}

// A holder stops responding while fifty appends wait for it. All of them must fail within one
// timeout, so that each generation moves to another holder at once instead of incurring a timeout
// of its own.
func TestUnresponsiveHolderFailsAllQueuedAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBatcher((&fakeHolder{silent: true}).send)
		took := make(chan time.Duration, 50)
		for i := range 50 {
			go func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				began := time.Now()
				_, err := b.Append(t.Context(), membership.Member{ID: "h"}, &peerpb.AppendRequest{})
				must.Error(t, err)
				took <- time.Since(began)
			}()
		}
		for range 50 {
			must.LessEq(t, sendTimeout, <-took)
		}
		time.Sleep(time.Second)
	})
}

// With 390 daemons in 7 zones, no daemon may hold the copies of more than three times the mean
// number of journal groups, and no holder may be in its owner's zone.
func TestCopiesAreSpreadOverHolders(t *testing.T) {
	var members []membership.Member
	for i := range 390 {
		members = append(members, membership.Member{ID: fmt.Sprintf("vm-%03d", i), Zone: fmt.Sprintf("z%d", i%7)})
	}
	held := map[string]int{}
	for _, owner := range members {
		v := &membership.View{Self: owner, Members: members}
		for g := range byte(groupsPerOwner) {
			id := fmt.Sprintf("g%s%024d", GroupName(owner.ID, g), 0)
			m, ok := PickHolder(id, v, nil)
			must.True(t, ok)
			must.NotEq(t, owner.Zone, m.Zone)
			held[m.ID]++
		}
	}
	maxHeld := 0
	for _, n := range held {
		maxHeld = max(maxHeld, n)
	}
	t.Logf("%d groups per owner: the busiest of 390 daemons holds %.1f times the mean, %d hold none",
		groupsPerOwner, float64(maxHeld)/groupsPerOwner, len(members)-len(held))
	must.LessEq(t, 3*groupsPerOwner, maxHeld)
}
