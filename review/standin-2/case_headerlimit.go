package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// oldHeaderBytes and newHeaderBytes are header_bytes of the desired states; the requests have
	// headers of about sentHeaderBytes.
	oldHeaderBytes, newHeaderBytes, sentHeaderBytes = 16384, 65536, 40000
	// keptChannels is the number of channels that the clients keep.
	keptChannels = 12
	// allowedDenials is how many requests may be denied whatever their number; beside it, one in 500.
	allowedDenials = 5
)

func init() { cases["headerlimit"] = playHeaderLimit }

// playHeaderLimit: a desired state lets clients send larger headers. Clients use channels that they
// have kept since before.
func playHeaderLimit(rec *record, home string, trouble bool) (bool, error) {
	s, err := newSite(rec, home, 2, staleReads)
	if err != nil {
		return false, err
	}
	defer s.close()
	for i := range 3 {
		if _, err := s.newReplica(fmt.Sprintf("i-7f3a91c%d", i), "wuno96b", i); err != nil {
			return false, err
		}
	}
	state := deskState(0, 600)
	if !trouble {
		state.limits = limits(newHeaderBytes)
	}
	s.apply(state)
	if err := s.startDaemons(); err != nil {
		return false, err
	}
	time.Sleep(contactTime + time.Second)
	var channels []*channel
	asked, denied := 0, 0
	for n := range keptChannels {
		c, err := openChannel(s.daemons[n%2].front)
		if err != nil {
			return false, err
		}
		defer c.conn.Close()
		a := c.do("GET", "/puxa403/ab/", 600*time.Millisecond, nil)
		asked++
		rec.add("channel %d, first request %s: %v", n, a.id, a)
		if a.status != http.StatusOK {
			return false, fmt.Errorf("the first request of channel %d got %v", n, a)
		}
		channels = append(channels, c)
	}
	if trouble {
		state.limits = limits(newHeaderBytes)
		version, _ := s.apply(state)
		rec.say("desired state %d raises header_bytes from %d to %d", version, oldHeaderBytes, newHeaderBytes)
	}
	time.Sleep(2 * applyTime)
	large := http.Header{}
	large.Set(name("prefix"), strings.TrimSuffix(strings.Repeat("5c1e07a2:800,", sentHeaderBytes/13), ","))
	for n, c := range channels {
		a := c.do("GET", "/puxa403/ab/", 600*time.Millisecond, large)
		asked++
		rec.add("channel %d, request %s with %d bytes of headers: %v", n, a.id, sentHeaderBytes, a)
		if a.status >= 300 && a.status < 500 && a.proof == "" && a.status != 408 && a.status != 421 && a.status != 429 {
			denied++
		}
	}
	fresh := onNewChannel(s.daemons[0].front, large)
	rec.say("on a new channel the same request gets: %v", fresh)
	rec.say("%d of %d requests were ended with a 4xx of the daemon's own", denied, asked)
	return float64(denied) > allowedDenials+float64(asked)/500, nil
}

// onNewChannel sends a request with large headers on a new channel.
func onNewChannel(address string, extra http.Header) answer {
	c, err := openChannel(address)
	if err != nil {
		return answer{err: err}
	}
	defer c.conn.Close()
	return c.do("GET", "/puxa403/ab/", 600*time.Millisecond, extra)
}
