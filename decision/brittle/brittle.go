// Package brittle decides how many requests a daemon may have at a backend server that fails when it
// has to reject too many.
//
// Load pattern: the servers of a service state that they are brittle. One that rejects more than a
// stated number of requests within a second, from all daemons together, fails for some seconds, and
// its load moves to the others.
//
// Without this package, a burst or the loss of a few servers makes the daemons fill the queues of the
// rest and have the excess rejected. No daemon sees how much the others send. The servers fail one
// after the other, and none is left although each could take a part of the load.
//
// Decision: requests wait at the daemons instead of at the servers. The daemons divide the slots of
// each server among themselves, without messages: where there are no more daemons than slots, each may
// have an equal part of them in use; where there are more, one request each for as many daemons as the
// server has slots, chosen by rendezvous hashing. The parts of all daemons together are the slots, so
// nothing is rejected. A daemon that has no part of any server sends single requests, and none for a
// while after a rejection, its own or another daemon's: many such daemons together would have more
// rejected than the servers survive before each has seen a rejection itself. Of those that the servers
// are serving when another daemon's request is rejected, a part goes on.
package brittle

import (
	"strconv"
	"time"

	"github.com/pkg/errors"
)

const (
	// DefaultSlots is assumed for a server that does not state its slots.
	DefaultSlots = 4
	// statementLifetime is how long a statement holds without an answer that repeats it.
	statementLifetime = 10 * time.Second
	// minRetreat is the shortest time, and maxRetreat the longest mean, for which a daemon without a
	// part sends nothing after a rejection.
	minRetreat, maxRetreat = time.Second, 10 * time.Second
	// stayRatio is the part of the daemons that are being served without a part of any server that goes
	// on after a rejection of another daemon's request. All of them would be too many where the servers
	// have filled up meanwhile.
	stayRatio = 0.5
	// tellInterval is the least time between two messages to all daemons about rejections, and
	// repeatInterval that between two that repeat the statement, from whichever of them. Without the
	// latter, daemons of a large fleet would not know of it when their next request arrives.
	tellInterval   = 500 * time.Millisecond
	repeatInterval = statementLifetime / 2
)

// ParseLimit parses the number of rejections in a second that a server states it survives; stated is
// false for an empty text.
func ParseLimit(text string) (limit int, stated bool, err error) {
	if text == "" {
		return 0, false, nil
	}
	limit, err = strconv.Atoi(text)
	if err != nil || limit < 0 {
		return 0, true, errors.Errorf("%q is not a valid number of rejections", text)
	}
	return limit, true, nil
}

// Window returns how many requests a daemon may have in flight at a server with so many slots. rank is
// the daemon's place among all daemons in the rendezvous order of the server, from 0.
func Window(slots, daemons, rank int) int {
	switch {
	case daemons <= 1:
		return slots
	case daemons <= slots:
		return slots / daemons
	case rank < slots:
		return 1
	}
	return 0
}

// Service is what one daemon knows of the servers of one service. The zero value is that of a service
// whose servers are not brittle. It is not safe for concurrent use.
type Service struct {
	limit        int
	statedAt     time.Time // when the last request was sent whose response states it; zero if none
	retreatUntil time.Time
	toldAt       time.Time // when this daemon last told the others of a rejection, or was told
}

// Observe records whether a response to a request sent at the given time states that its server is
// brittle, and reports whether that is a change. A response to an earlier request than the last one
// changes nothing.
func (s *Service) Observe(sent time.Time, limit int, stated bool) (changed bool) {
	switch {
	case stated:
		changed = s.statedAt.IsZero() || s.limit != limit
		s.limit = limit
		if sent.After(s.statedAt) {
			s.statedAt = sent
		}
	case !s.statedAt.IsZero() && sent.After(s.statedAt):
		*s = Service{}
		return true
	}
	return changed
}

// IsBrittle reports whether the servers are brittle.
func (s *Service) IsBrittle(now time.Time) bool {
	return !s.statedAt.IsZero() && now.Sub(s.statedAt) < statementLifetime
}

// RecordRejection records that a server had no room for a request of this daemon, one of so many, with
// so many servers. The mean retreat is as long as makes the returns of all daemons together cost each
// server half of the rejections that it survives. draw, in [0, 1), spreads the returns: the first
// daemon that returns too early tells the others, which then stay away longer.
func (s *Service) RecordRejection(now time.Time, daemons, servers int, draw float64) {
	perSecond := float64(max(1, s.limit)*max(1, servers)) / 2
	mean := min(float64(daemons)/perSecond*float64(time.Second), float64(maxRetreat))
	s.retreatUntil = now.Add(max(time.Duration(2*draw*mean), minRetreat))
}

// RecordOtherRejection records that a server had no room for a request of another daemon, while this one
// has so many requests in flight at the servers. Of the daemons that are being served, stayRatio stay, so
// that one rejection takes away a part of their load and not all of it. The others retreat.
func (s *Service) RecordOtherRejection(now time.Time, inFlight, daemons, servers int, draw float64) {
	if inFlight > 0 {
		if draw < stayRatio {
			return
		}
		draw = (draw - stayRatio) / (1 - stayRatio)
	}
	s.RecordRejection(now, daemons, servers, draw)
}

// ShouldTell reports whether the other daemons are to be told that the servers are brittle, or that one
// of them has rejected a request, and counts that as done.
func (s *Service) ShouldTell(now time.Time, rejected bool) bool {
	interval := repeatInterval
	if rejected {
		interval = tellInterval
	}
	if !s.IsBrittle(now) || now.Sub(s.toldAt) < interval {
		return false
	}
	s.toldAt = now
	return true
}

// RecordTold records that another daemon has told that the servers state a limit.
func (s *Service) RecordTold(now time.Time, limit int) {
	s.limit, s.statedAt, s.toldAt = limit, now, now
}

// Limit returns the number of rejections in a second above which a server fails.
func (s *Service) Limit() int { return s.limit }

// MaySendWithoutPart reports whether a daemon without a part of any server may send a request, given
// its requests in flight at the service.
func (s *Service) MaySendWithoutPart(now time.Time, inFlight int) bool {
	return inFlight == 0 && !now.Before(s.retreatUntil)
}
