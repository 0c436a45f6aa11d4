package forward

import (
	"cmp"
	"math/rand/v2"
	"time"

	"mallowwind.dev/decision/retryafter"
	"mallowwind.dev/telemetry/event"
)

// recordRoomAsked records that a prompt asks for room at the engines of a service.
func (p *pressure) recordRoomAsked(now time.Time, service string, q retryafter.Request) {
	defer p.mu.Unlock()
	p.lockService(service).room.RecordArrival(now, q)
}

// recordRoomFound records that the prompt of a request found room.
func (p *pressure) recordRoomFound(now time.Time, service string, q retryafter.Request) {
	defer p.mu.Unlock()
	p.lockService(service).room.RecordStart(now, q)
}

// roomState says what was recorded of a request for the forecast of room.
type roomState uint8

const (
	roomUnasked roomState = iota
	roomAsked             // its prompt was to be placed
	roomFound             // its prompt was prefilled
)

// recordRoomAsked records once per request that its prompt asks for room.
func (r *relay) recordRoomAsked() {
	if r.room == roomUnasked {
		r.room = roomAsked
		r.h.pressure.recordRoomAsked(time.Now(), r.service, r.roomRequest())
	}
}

// recordRoomFound records once per request that its prompt found room, as the first event shows: an
// engine may reject a prompt that was sent to it, or fail before.
func (r *relay) recordRoomFound() {
	if r.room == roomAsked {
		r.room = roomFound
		r.h.pressure.recordRoomFound(time.Now(), r.service, r.roomRequest())
	}
}

// retryAfterRoom returns when a refused request is expected to find room. overload is how
// long the overload is expected to last.
func (p *pressure) retryAfterRoom(now time.Time, service string, q retryafter.Request, overload time.Duration) retryafter.Forecast {
	defer p.mu.Unlock()
	return p.lockService(service).room.TellReturn(now, q, overload, rand.Float64())
}

// retryAfterRoom returns the Retry-After of a request that is refused for lack of room. lasted is
// how long requests have been refused, answer how long answers take.
func (r *relay) retryAfterRoom(lasted, answer time.Duration) time.Duration {
	answer = max(answer, r.in.route.Objective)
	current := retryafter.AfterOverload(lasted, answer, rand.Float64())
	if !r.hasPriorities() {
		return current
	}
	f := r.h.pressure.retryAfterRoom(time.Now(), r.service, r.roomRequest(), retryafter.ExpectedOverload(lasted, answer))
	if !f.Known {
		return current
	}
	r.h.metrics.roomForecasts.Observe(f.Delay.Seconds())
	r.h.opts.Log.Emit(event.RoomForecast, r.in.call.ID, r.service, r.rank, f.Delay, f.Overload, f.Ahead, f.Spare)
	return f.Delay
}

// roomRequest describes the request to the forecast of room. A caller that sends a request again uses
// a new request ID, but the prompt keeps its key.
func (r *relay) roomRequest() retryafter.Request {
	id := cmp.Or(r.in.call.PromptKey, r.in.call.ID)
	return retryafter.Request{ID: id, Account: r.in.accountName(), Rank: r.rank, TimeLeft: time.Until(r.in.deadline)}
}
