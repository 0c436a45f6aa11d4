package forward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/telemetry/event"
)

// errRestarted means that an engine has started anew since it was chosen: it holds and
// runs nothing of what was sent to it before.
var errRestarted = errors.New("forward: the engine has started anew")

// lifeOrder says which of an engine's lives says something, beside the life known here.
type lifeOrder uint8

const (
	lifeSame   lifeOrder = iota // or one of the two is not known
	lifeBefore                  // the word of an earlier life: reports lag
	lifeAfter
)

// observeIncarnation compares the start that a message of an engine names with the one known, and
// remembers a later one: the store may show it seconds later.
//
// The failure it guards against: an engine crashes and starts again under its id while a
// connection to it is silent. Its new life answers every question, so that a stream whose
// prompt was lost waits until its caller leaves, and copies are believed to lie there.
func (h *Handler) observeIncarnation(s routing.Server, born int64) lifeOrder {
	life := routing.Incarnation{ID: s.ID, StartedAtMS: born}
	switch {
	case life.Before(s.Incarnation()):
		return lifeBefore
	case !s.Incarnation().Before(life):
		return lifeSame
	}
	if h.pool.renewed(h.opts.Feed.View(), s.Incarnation(), life) {
		h.opts.Log.Emit(event.BackendIncarnationChanged, "", s.ID, life.ID, life.StartedAtMS)
	}
	return lifeAfter
}

// probe asks an engine for a sign of life. The word of an earlier life shows no more than
// that it answers; a later one fails with errRestarted.
func (h *Handler) probe(ctx context.Context, s routing.Server, limit time.Duration) (Report, error) {
	report, err := h.fetchReport(ctx, s, limit)
	if err != nil {
		return Report{}, err
	}
	switch h.observeIncarnation(s, report.Born) {
	case lifeBefore:
		return Report{Born: report.Born}, nil
	case lifeAfter:
		return Report{}, errRestarted
	}
	return report, nil
}

// recordUnreadable records that an engine's message cannot be used.
func (h *Handler) recordUnreadable(s routing.Server, err error) {
	h.metrics.unreadableMessages.Inc()
	h.opts.Log.Emit(event.BackendMessageInvalid, s.ID, s.Address, err)
}
