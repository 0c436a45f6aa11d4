package retryafter

import (
	"math"
	"time"
)

const (
	// recentPeriod is the time constant of the rates of starts and of arrivals during an overload.
	// It is about the length of a burst (5 to 7 s): within a burst, the rates follow it.
	recentPeriod = 6 * time.Second
	// usualPeriod is the time constant of the usual rate of arrivals. It covers many bursts.
	usualPeriod = 60 * time.Second
	// minStarts is the weight of the observed starts below which their rate is not relied on: the
	// error of the rate is then about half of it.
	minStarts = 4
	// minSpareRatio is the smallest share of the room that is expected to be left for callers that
	// return. Before a burst, starts are as rare as arrivals and show no spare room, although a
	// service has about this much: engines that sustain 0.52 prompts per second get 0.32.
	minSpareRatio = 0.4
	// maxPromises bounds the remembered callers. At a daemon's usual rate, fewer than this many are
	// refused within the longest delay.
	maxPromises = 256
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
// the order of their rank and of their refusals. If the requests of a rank and of more urgent ranks
// alone take all of the room, it first has to be waited until the overload ends.
//
// The zero value has observed nothing. It is not safe for concurrent use.
type Room struct {
	starts   rate
	ranks    map[int]*arrivals
	promises []promise
}

// arrivals is the rate at which requests of one rank ask for room.
type arrivals struct{ recent, usual rate }

// promise is a caller that was told to return.
type promise struct {
	rank int
	at   time.Time
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

// RecordArrival records that a request of a rank asks for room. Rank 0 is the most urgent.
func (r *Room) RecordArrival(now time.Time, rank int) {
	if r.ranks == nil {
		r.ranks = map[int]*arrivals{}
	}
	a := r.ranks[rank]
	if a == nil {
		a = &arrivals{}
		r.ranks[rank] = a
	}
	a.recent.add(now, recentPeriod)
	a.usual.add(now, usualPeriod)
}

// RecordStart records that a prompt found room.
func (r *Room) RecordStart(now time.Time) { r.starts.add(now, recentPeriod) }

// Promise forecasts when a refused request of a rank finds room, and remembers that its caller is
// told to return then. overload is how long the overload is expected to last if requests of its
// rank and of more urgent ranks alone exceed the room. draw is in [0, 1) and spreads callers that
// other daemons tell to return.
func (r *Room) Promise(now time.Time, rank int, overload time.Duration, draw float64) Forecast {
	f := r.forecast(now, rank, overload)
	if !f.Known {
		return f
	}
	turn := (float64(f.Ahead) + 1/2. + draw) / f.Spare // on average, the Ahead-th after the first
	f.Delay = min(Jitter(f.Overload, draw)+seconds(turn), Jitter(maxDelay, draw))
	r.promises = append(r.promises, promise{rank: rank, at: now.Add(f.Delay)})
	return f
}

func (r *Room) forecast(now time.Time, rank int, overload time.Duration) Forecast {
	room := r.starts.perSecond(now, recentPeriod)
	if r.starts.weightAt(now, recentPeriod) < minStarts || room <= 0 {
		return Forecast{}
	}
	f := Forecast{Known: true}
	recent, usual := r.demand(now, rank)
	taken := recent
	if recent >= room {
		f.Overload, taken = overload, min(usual, recent)
	}
	f.Spare = max(room-taken, minSpareRatio*room)
	f.Ahead = r.ahead(now, rank, now.Add(f.Overload))
	return f
}

// demand returns the recent and the usual rate of arrivals of a rank and of more urgent ranks.
func (r *Room) demand(now time.Time, rank int) (recent, usual float64) {
	for other, a := range r.ranks {
		if other <= rank {
			recent += a.recent.perSecond(now, recentPeriod)
			usual += a.usual.perSecond(now, usualPeriod)
		}
	}
	return recent, usual
}

// ahead returns the number of callers of a rank and of more urgent ranks that return after from,
// and forgets those that have returned by now.
func (r *Room) ahead(now time.Time, rank int, from time.Time) int {
	kept, n := r.promises[:0], 0
	for _, p := range r.promises {
		if !p.at.After(now) {
			continue
		}
		kept = append(kept, p)
		if p.rank <= rank && p.at.After(from) {
			n++
		}
	}
	if len(kept) >= maxPromises {
		kept = kept[:copy(kept, kept[len(kept)-maxPromises+1:])]
	}
	r.promises = kept
	return n
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

// minObserved bounds the correction of perSecond: a rate is not taken from less than a tenth of its
// period.
const minObserved = 0.1
