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

// fakeHolder counts messages and takes the time of a round trip for each.
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

// Two hundred streams release a token each 30 ms. Their copies share messages,
// no token waits longer than a gap between messages and two round trips, and
// each append gets the reply to itself.
func TestStreamsShareMessages(t *testing.T) {
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
		must.LessEq(t, minGap+2*roundTrip, longest)
		must.LessEq(t, streams*tokens/20, holder.messages)
		time.Sleep(time.Second)
		b.mu.Lock()
		defer b.mu.Unlock()
		must.MapEmpty(t, b.lanes)
	})
}

// A holder goes silent while fifty answers wait for it. All of them hear of it
// after one time-out, so that each moves to another holder at once instead of
// paying for a time-out of its own.
func TestSilentHolderFailsAllAtOnce(t *testing.T) {
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

// At 390 daemons in 7 zones no daemon holds many more copies than the mean, and
// a holder is never in its owner's zone.
func TestHoldersAreSpread(t *testing.T) {
	var members []membership.Member
	for i := range 390 {
		members = append(members, membership.Member{ID: fmt.Sprintf("vm-%03d", i), Zone: fmt.Sprintf("z%d", i%7)})
	}
	held := map[string]int{}
	for _, owner := range members {
		v := &membership.View{Self: owner, Members: members}
		for g := range byte(groups) {
			id := fmt.Sprintf("g%s%024d", GroupName(owner.ID, g), 0)
			m, ok := PickHolder(id, v, nil)
			must.True(t, ok)
			must.NotEq(t, owner.Zone, m.Zone)
			held[m.ID]++
		}
	}
	most := 0
	for _, n := range held {
		most = max(most, n)
	}
	t.Logf("%d groups an owner: the busiest of 390 daemons holds %.1f times the mean, %d hold none",
		groups, float64(most)/groups, len(members)-len(held))
	must.LessEq(t, 3*groups, most)
}
