// Package membudget decides which requests get memory while a daemon has little of it left.
//
// Load pattern: many callers send large bodies at once, or read long responses slowly. Each request is
// within the limits for one request, their sum is not within the memory of the process.
//
// Without this package, the process exceeds its memory limit and is killed, and all requests that it has
// in progress are lost, also those that servers are running and that may not be repeated.
//
// Decision: the bytes that requests hold have one budget, and are reserved before they are read. What
// does not fit is refused. A part of the budget is kept for small requests, so that they are served
// beside large ones. One account may use all the rest; but while another account that holds less than
// its share is refused, those that hold more than theirs get nothing further.
package membudget

import (
	"time"

	"mallowwind.dev/decision/retryafter"
)

const (
	// SmallRequestBytes is what a request may hold at most to count as small.
	SmallRequestBytes = 128 << 10
	// smallOnlyRatio is the part of the budget that is kept for small requests: on the smallest VM, for
	// a hundred or more of them.
	smallOnlyRatio = 1. / 8
	// defaultHoldTime is how long requests are assumed to hold memory before any has given it back.
	defaultHoldTime = time.Second
	// holdTimeWeight is the weight of one request in the average of hold times.
	holdTimeWeight = 1. / 8
	// shortageFactor is how long an account counts as short after a refusal, relative to the time after
	// which its caller should retry. Retry delays vary by a quarter.
	shortageFactor = 1.5
)

// Result says whether a request gets memory, and why not.
type Result uint8

const (
	// Granted means that the bytes are reserved.
	Granted Result = iota
	// NoRoom means that the budget does not have the bytes.
	NoRoom
	// OverShare means that the account holds more than its share while another one is short.
	OverShare
)

// String returns the name used in logs and metrics.
func (r Result) String() string { return [...]string{"granted", "no_room", "over_share"}[r] }

// class is a class of requests by the memory that they hold.
type class uint8

const (
	small class = iota
	large
	classes
)

func classOf(bytes int64) class {
	if bytes <= SmallRequestBytes {
		return small
	}
	return large
}

// holder is an account that holds memory or was refused some.
type holder struct {
	used       int64
	shortUntil [classes]time.Time // zero if it was not refused
}

// Budget is the memory that the requests of one daemon may hold. It is not safe for concurrent use.
type Budget struct {
	limit, used int64 // bytes
	holders     map[string]*holder
	// hasShort is set for classes of which an account may be short.
	hasShort [classes]bool
	holdTime time.Duration // average time for which large requests hold memory
	refusals retryafter.Streak
}

// New returns a budget of so many bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit, holders: map[string]*holder{}, holdTime: defaultHoldTime}
}

// SetLimit changes the size of the budget. What is reserved stays reserved.
func (b *Budget) SetLimit(limit int64) { b.limit = limit }

// Used returns the number of bytes that are reserved.
func (b *Budget) Used() int64 { return b.used }

// Limit returns the size of the budget in bytes.
func (b *Budget) Limit() int64 { return b.limit }

// UsedBy returns the number of bytes that an account has reserved.
func (b *Budget) UsedBy(account string) int64 {
	if h := b.holders[account]; h != nil {
		return h.used
	}
	return 0
}

// TryReserve reserves more bytes for a request of an account that holds some already. If they are not
// granted, nothing changes.
func (b *Budget) TryReserve(now time.Time, account string, held, more int64) Result {
	c := classOf(held + more)
	result := b.check(now, account, c, more)
	if result == Granted {
		h := b.holder(account)
		h.used += more
		h.shortUntil[c] = time.Time{}
		b.used += more
	}
	return result
}

// Reserve is TryReserve for a request that is refused without the bytes. It returns for how long no room
// is expected.
func (b *Budget) Reserve(now time.Time, account string, held, more int64) (Result, time.Duration) {
	result := b.TryReserve(now, account, held, more)
	if result == Granted {
		return Granted, 0
	}
	wait := retryafter.ExpectedOverload(b.refusals.Extend(now), b.holdTime)
	if c := classOf(held + more); result == NoRoom && !b.exceedsShare(now, account, c, more) {
		b.holder(account).shortUntil[c] = now.Add(time.Duration(shortageFactor * float64(wait)))
		b.hasShort[c] = true
	}
	return result, wait
}

// Release gives back bytes that a request has held for a time.
func (b *Budget) Release(account string, bytes int64, heldFor time.Duration) {
	h := b.holders[account]
	h.used -= bytes
	b.used -= bytes
	b.forgetIfIdle(account, h)
	if classOf(bytes) == large {
		b.holdTime += time.Duration(holdTimeWeight * float64(heldFor-b.holdTime))
	}
}

func (b *Budget) check(now time.Time, account string, c class, more int64) Result {
	if b.isAnotherShort(now, account, c) && b.exceedsShare(now, account, c, more) {
		return OverShare
	}
	if b.used+more > b.limitOf(c) {
		return NoRoom
	}
	return Granted
}

// limitOf returns how much may be reserved in all when a request of the class gets its memory.
func (b *Budget) limitOf(c class) int64 {
	if c == small {
		return b.limit
	}
	return b.limit - int64(smallOnlyRatio*float64(b.limit))
}

// exceedsShare reports whether an account would hold more than an equal part of the budget. Its first
// request never does.
func (b *Budget) exceedsShare(now time.Time, account string, c class, more int64) bool {
	used := b.UsedBy(account)
	if used == 0 {
		return false
	}
	others := int64(0)
	for name, h := range b.holders {
		if name != account && (h.used > 0 || now.Before(h.shortUntil[c])) {
			others++
		}
	}
	return used+more > b.limitOf(c)/(others+1)
}

// isAnotherShort reports whether another account was refused memory for requests of the class although it
// held less than its share. It forgets accounts for which that was long ago.
func (b *Budget) isAnotherShort(now time.Time, account string, c class) bool {
	if !b.hasShort[c] {
		return false
	}
	isShort, isAnother := false, false
	for name, h := range b.holders {
		if now.Before(h.shortUntil[c]) {
			isShort = true
			isAnother = isAnother || name != account
			continue
		}
		h.shortUntil[c] = time.Time{}
		b.forgetIfIdle(name, h)
	}
	b.hasShort[c] = isShort
	return isAnother
}

// forgetIfIdle forgets an account that holds nothing and is not short.
func (b *Budget) forgetIfIdle(account string, h *holder) {
	if h.used == 0 && h.shortUntil == [classes]time.Time{} {
		delete(b.holders, account)
	}
}

func (b *Budget) holder(account string) *holder {
	h := b.holders[account]
	if h == nil {
		h = &holder{}
		b.holders[account] = h
	}
	return h
}
