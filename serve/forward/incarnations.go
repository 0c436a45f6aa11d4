package forward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/telemetry/event"
)

// errRestarted means that an engine has restarted since it was chosen: it holds and runs nothing of
// what was sent to it before.
var errRestarted = errors.New("forward: the engine has restarted")

// incarnationOrder orders the incarnation in an engine's message relative to the one known here.
type incarnationOrder uint8

const (
	incarnationSame  incarnationOrder = iota // or one of the two is unknown
	incarnationOlder                         // a delayed report of an earlier incarnation
	incarnationNewer
)

// observeIncarnation compares the start time in an engine's message with the known one and
// remembers a newer incarnation, which the store may show seconds later.
//
// It guards against an engine that crashes and restarts under its id while a connection to it is
// silent. The new incarnation answers every probe, so a stream whose prefill was lost would wait
// until its caller leaves, and replicas would be assumed to be there.
func (h *Handler) observeIncarnation(s routing.Server, born int64) incarnationOrder {
	incarnation := routing.Incarnation{ID: s.ID, StartedAtMS: born}
	switch {
	case incarnation.Before(s.Incarnation()):
		return incarnationOlder
	case !s.Incarnation().Before(incarnation):
		return incarnationSame
	}
	if h.pool.recordRestart(h.opts.Feed.View(), s.Incarnation(), incarnation) {
		h.opts.Log.Emit(event.BackendIncarnationChanged, "", s.ID, incarnation.ID, incarnation.StartedAtMS)
	}
	return incarnationNewer
}

// probe checks whether an engine answers. An answer of an older incarnation shows only that it
// responds; one of a newer incarnation fails with errRestarted.
func (h *Handler) probe(ctx context.Context, s routing.Server, limit time.Duration) (Report, error) {
	report, err := h.fetchReport(ctx, s, limit)
	if err != nil {
		return Report{}, err
	}
	switch h.observeIncarnation(s, report.Born) {
	case incarnationOlder:
		return Report{Born: report.Born}, nil
	case incarnationNewer:
		return Report{}, errRestarted
	}
	return report, nil
}

// recordUnreadable records that an engine's message cannot be decoded.
func (h *Handler) recordUnreadable(s routing.Server, err error) {
	h.metrics.unreadableMessages.Inc()
	h.opts.Log.Emit(event.BackendMessageInvalid, s.ID, s.Address, err)
}
