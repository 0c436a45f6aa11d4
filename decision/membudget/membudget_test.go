package membudget

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	limit = 64 << 20
	body  = 4 << 20
	short = 10 << 10
)

var start = time.Unix(1000, 0)

// reserve reserves bytes for so many new requests of an account, and returns how many were granted.
func reserve(b *Budget, now time.Time, account string, requests int, bytes int64) (granted int) {
	for range requests {
		if result, _ := b.Reserve(now, account, 0, bytes); result == Granted {
			granted++
		}
	}
	return granted
}

func TestSumStaysWithinLimit(t *testing.T) {
	b := New(limit)
	must.Eq(t, 14, reserve(b, start, "mill", 100, body))
	must.Eq(t, 14*body, b.Used())
	result, wait := b.Reserve(start, "mill", 0, body)
	must.Eq(t, NoRoom, result)
	must.Positive(t, wait)
	b.Release("mill", body, time.Second)
	must.Eq(t, 1, reserve(b, start, "mill", 100, body))
}

// Guards against short urgent requests that find no memory beside large bodies.
func TestSmallRequestsFitBesideLargeOnes(t *testing.T) {
	b := New(limit)
	reserve(b, start, "mill", 100, body)
	must.Positive(t, reserve(b, start, "mill", 1000, SmallRequestBytes))
	for _, account := range []string{"mill", "depot"} {
		b = New(limit)
		reserve(b, start, "mill", 100, body)
		must.Eq(t, 500, reserve(b, start, account, 500, short))
	}
}

// Guards against one account that holds all memory for as long as it sends large bodies.
func TestAccountBelowItsShareComesFirst(t *testing.T) {
	b := New(limit)
	held := map[string]int{"mill": reserve(b, start, "mill", 100, body)}
	must.Eq(t, 14, held["mill"])
	for second := range 30 {
		now := start.Add(time.Duration(second) * time.Second)
		if held["mill"] > 0 {
			b.Release("mill", body, time.Second)
			held["mill"]--
		}
		for _, account := range []string{"mill", "mill", "depot", "mill"} {
			held[account] += reserve(b, now, account, 1, body)
		}
	}
	must.Between(t, 6, held["depot"], 8)
	must.Between(t, 6, held["mill"], 8)
}

// Guards against a share that is kept for an account that no longer asks for it.
func TestShortAccountIsForgotten(t *testing.T) {
	b := New(limit)
	must.Eq(t, 14, reserve(b, start, "mill", 100, body))
	must.Eq(t, 0, reserve(b, start, "depot", 1, body))
	b.Release("mill", body, time.Second)
	result, wait := b.Reserve(start, "mill", 0, body)
	must.Eq(t, OverShare, result)
	must.Eq(t, 1, reserve(b, start.Add(2*wait), "mill", 1, body))
	must.MapNotContainsKey(t, b.holders, "depot")
}

// An account without any memory gets some, though its share is less than a body.
func TestFirstBodyNeedsNoShare(t *testing.T) {
	b := New(limit)
	for n := range 100 {
		reserve(b, start, fmt.Sprint("account-", n), 1, short)
	}
	must.Eq(t, 1, reserve(b, start, "depot", 1, body))
}

func TestWaitFollowsHoldTime(t *testing.T) {
	b := New(limit)
	for range 100 {
		must.Eq(t, 1, reserve(b, start, "mill", 1, body))
		b.Release("mill", body, 5*time.Second)
	}
	reserve(b, start, "mill", 14, body)
	_, wait := b.Reserve(start, "mill", 0, body)
	must.Between(t, 5*time.Second, wait, 10*time.Second)
}

func TestLimitOfRunningBudgetChanges(t *testing.T) {
	b := New(limit)
	reserve(b, start, "mill", 14, body)
	b.SetLimit(limit / 2)
	must.Eq(t, 0, reserve(b, start, "mill", 1, short))
	b.SetLimit(2 * limit)
	must.Eq(t, 14, reserve(b, start, "mill", 100, body))
}

// Guards against bytes that are counted twice or never given back.
func TestAllIsGivenBack(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 8))
		b := New(limit)
		type request struct {
			account string
			bytes   int64
		}
		var held []request
		now := start
		for range 2000 {
			now = now.Add(time.Duration(random.IntN(200)) * time.Millisecond)
			switch n := random.IntN(3); {
			case n == 0 && len(held) > 0:
				i := random.IntN(len(held))
				b.Release(held[i].account, held[i].bytes, time.Second)
				held = append(held[:i], held[i+1:]...)
			case n == 1 && len(held) > 0:
				r, more := &held[random.IntN(len(held))], random.Int64N(body)
				if b.TryReserve(now, r.account, r.bytes, more) == Granted {
					r.bytes += more
				}
			default:
				r := request{fmt.Sprint(random.IntN(5)), 1 + random.Int64N(body)}
				if result, _ := b.Reserve(now, r.account, 0, r.bytes); result == Granted {
					held = append(held, r)
				}
			}
			must.LessEq(t, limit, b.Used())
		}
		for _, r := range held {
			b.Release(r.account, r.bytes, time.Second)
		}
		must.Eq(t, 0, b.Used())
		now = now.Add(time.Hour)
		for _, bytes := range []int64{short, body} {
			b.Reserve(now, "last", 0, bytes)
			b.Release("last", bytes, time.Second)
		}
		must.MapEmpty(t, b.holders)
	}
}
