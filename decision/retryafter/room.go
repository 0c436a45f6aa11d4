package retryafter

import (
	"math"
	"slices"
	"time"
)

const (
	// recentPeriod is the time constant of the rates of starts and of arrivals during an overload.
	// It is about the length of a burst: within a burst, the rates follow it.
	recentPeriod = 6 * time.Second
	// usualPeriod is the time constant of the usual rate of arrivals. It covers many bursts.
	usualPeriod = 60 * time.Second
	// minStarts is the weight of the observed starts below which their rate is not relied on: the
	// error of the rate is then about half of it.
	minStarts = 4
	// minSpareRatio is the smallest share of the room that is expected to be left for callers that
	// return. Before a burst, starts are as rare as arrivals and show no spare room, although engines
	// are not full. A smaller value tells callers to wait for longer than needed.
	minSpareRatio = 0.4
	// maxReturns bounds the remembered callers. At a daemon's usual rate, fewer than this many are
	// refused within the longest delay.
	maxReturns = 256
	// returnGrace is how long after its time a caller is still recognised when it returns.
	returnGrace = 5 * time.Second
	// minObserved bounds the correction of a rate for a short observation: a rate is not taken from
	// less than a tenth of its period.
	minObserved = 0.1
)

// Room estimates when a refused request finds room, for the requests of one service at one daemon
// and where requests differ in urgency.
//
// Load pattern: prompts arrive at twice the rate that the engines sustain for some seconds, and
// each refused caller returns once.
//
// Without it, all callers that are refused at about the same time are told about the same time,
// however many they are: they return together, and most are refused for good. Urgent callers are
// told to wait as long as the others, although they are served first when they return.
//
// Decision: room appears at the rate at which prompts were started lately. Requests that are at
// least as urgent take their part of it as they arrive; the rest serves the callers that return, in
// the order of their rank, and in turn for each account. If the requests of a rank and of more urgent
// ranks alone take all of the room, a caller of that rank has to wait until the overload ends.
// Otherwise it has to wait for a part of that time: the share of these requests that found no room
// lately. A caller that returns too early is told the same time again and no longer counts among those
// told to return, so that callers that retry at once and often don't lengthen the times of others.
//
// The zero value has observed nothing. It is not safe for concurrent use.
type Room struct {
	starts  rate
	ranks   map[int]*rankRates
	returns []expectedReturn
}

// rankRates is the rate at which requests of one rank ask for room, and find it.
type rankRates struct {
	recent, usual rate
	found         rate // over usualPeriod
}

// Request is a request that asks for room.
type Request struct {
	// ID is the same when the caller sends the request again.
	ID      string
	Account string
	Rank    int // 0 is the most urgent
	// TimeLeft is how long its caller still waits. One that is told a longer time is not expected to
	// return.
	TimeLeft time.Duration
}

// expectedReturn is a caller that was told to return at a time.
type expectedReturn struct {
	Request
	at    time.Time
	early bool // it returned too early, and takes room whenever it finds some
}

// Forecast is when a refused request is expected to find room.
type Forecast struct {
	// Known is false if too little was observed; the other fields are then zero.
	Known bool
	// Overload is how long requests of this rank are expected to find no room at all.
	Overload time.Duration
	// Ahead is the number of callers that are told to return and are served before.
	Ahead int
	// Spare is the room that is left for callers that return, in prompts per second.
	Spare float64
	// Delay is what the caller is told.
	Delay time.Duration
}

// RecordArrival records that a request asks for room. A request that was told to return does not
// count again.
func (r *Room) RecordArrival(now time.Time, q Request) {
	if r.find(now, q.ID) != nil {
		return
	}
	d := r.rank(q.Rank)
	d.recent.add(now, recentPeriod)
	d.usual.add(now, usualPeriod)
}

// RecordStart records that a request found room. It does not return as it was told.
func (r *Room) RecordStart(now time.Time, q Request) {
	r.starts.add(now, recentPeriod)
	r.rank(q.Rank).found.add(now, usualPeriod)
	r.returns = slices.DeleteFunc(r.returns, func(p expectedReturn) bool { return p.ID == q.ID })
}

func (r *Room) rank(rank int) *rankRates {
	if r.ranks == nil {
		r.ranks = map[int]*rankRates{}
	}
	d := r.ranks[rank]
	if d == nil {
		d = &rankRates{}
		r.ranks[rank] = d
	}
	return d
}

// TellReturn forecasts when a refused request finds room, and remembers that its caller is told to
// return then. overload is how long the overload is expected to last if requests of its rank and of
// more urgent ranks alone exceed the room. draw is in [0, 1) and spreads callers that other daemons
// tell to return.
func (r *Room) TellReturn(now time.Time, q Request, overload time.Duration, draw float64) Forecast {
	f := r.forecast(now, q, overload)
	if !f.Known {
		return f
	}
	if p := r.find(now, q.ID); p != nil {
		if p.at.After(now) {
			p.early = true
			f.Delay = p.at.Sub(now)
			return f
		}
		p.at = time.Time{} // it has returned and gets a new time
	}
	turn := (float64(f.Ahead) + 1/2. + draw) / f.Spare // on average, the Ahead-th after the first
	f.Delay = min(Jitter(f.Overload, draw)+seconds(turn), Jitter(maxDelay, draw))
	if f.Delay < q.TimeLeft {
		r.remember(now, expectedReturn{Request: q, at: now.Add(f.Delay)})
	}
	return f
}

func (r *Room) forecast(now time.Time, q Request, overload time.Duration) Forecast {
	room := r.starts.perSecond(now, recentPeriod)
	if r.starts.weightAt(now, recentPeriod) < minStarts || room <= 0 {
		return Forecast{}
	}
	f := Forecast{Known: true}
	total := r.sumUpTo(now, q.Rank)
	taken := total.recent
	f.Overload = time.Duration(total.refusedShare * float64(overload))
	if total.recent >= room {
		f.Overload, taken = overload, min(total.usual, total.recent)
	}
	f.Spare = max(room-taken, minSpareRatio*room)
	f.Ahead = r.ahead(q, now.Add(f.Overload))
	return f
}

// rateSum sums the rates of several ranks: arrivals per second, and the share of the arrivals
// that found no room.
type rateSum struct{ recent, usual, refusedShare float64 }

// sumUpTo sums the rates of a rank and of more urgent ranks.
func (r *Room) sumUpTo(now time.Time, rank int) (t rateSum) {
	var arrived, found float64
	for other, d := range r.ranks {
		if other <= rank {
			t.recent += d.recent.perSecond(now, recentPeriod)
			t.usual += d.usual.perSecond(now, usualPeriod)
			arrived += d.usual.weightAt(now, usualPeriod)
			found += d.found.weightAt(now, usualPeriod)
		}
	}
	if arrived > 0 {
		t.refusedShare = max(1-found/arrived, 0)
	}
	return t
}

// ahead returns the number of callers that return after from and are served before a request: those
// of more urgent ranks, and of its own rank those of its account and as many of each other account.
func (r *Room) ahead(q Request, from time.Time) int {
	n, accounts := 0, map[string]int{}
	for _, p := range r.returns {
		switch {
		case p.early || !p.at.After(from) || p.Rank > q.Rank || p.ID == q.ID:
		case p.Rank < q.Rank:
			n++
		default:
			accounts[p.Account]++
		}
	}
	own := accounts[q.Account]
	for _, count := range accounts {
		n += min(count, own+1)
	}
	return n
}

// find returns the expectedReturn of a request, nil if there is none.
func (r *Room) find(now time.Time, id string) *expectedReturn {
	for i, p := range r.returns {
		if p.ID == id && now.Sub(p.at) < returnGrace {
			return &r.returns[i]
		}
	}
	return nil
}

// remember adds a expectedReturn, and forgets those that are over and the oldest beyond maxReturns.
func (r *Room) remember(now time.Time, p expectedReturn) {
	kept := r.returns[:0]
	for _, old := range r.returns {
		if now.Sub(old.at) < returnGrace {
			kept = append(kept, old)
		}
	}
	if len(kept) >= maxReturns {
		kept = kept[:copy(kept, kept[1:])]
	}
	r.returns = append(kept, p)
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s*float64(time.Second), float64(maxDelay)))
}

// rate is an exponentially decaying count of events.
type rate struct {
	weight    float64 // of the events until last
	startedAt time.Time
	last      time.Time
}

func (r *rate) add(now time.Time, period time.Duration) {
	if r.startedAt.IsZero() {
		r.startedAt, r.last = now, now
	}
	r.weight = r.weightAt(now, period) + 1
	r.last = now
}

// weightAt returns the number of recent events, each counted less the older it is.
func (r *rate) weightAt(now time.Time, period time.Duration) float64 {
	if r.startedAt.IsZero() {
		return 0
	}
	return r.weight * math.Exp(-float64(max(now.Sub(r.last), 0))/float64(period))
}

// perSecond returns the rate of events. The time since the first event corrects for the short
// observation after the start.
func (r *rate) perSecond(now time.Time, period time.Duration) float64 {
	if r.startedAt.IsZero() {
		return 0
	}
	observed := 1 - math.Exp(-float64(now.Sub(r.startedAt))/float64(period))
	return r.weightAt(now, period) / (period.Seconds() * max(observed, minObserved))
}
