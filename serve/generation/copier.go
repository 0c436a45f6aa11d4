package generation

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/membership"
	"mallowwind.dev/decision/epochs"
	"mallowwind.dev/external/engine"
	"mallowwind.dev/peer/peerpb"
	"mallowwind.dev/serve/journal"
	"mallowwind.dev/telemetry/event"
)

const (
	// appendTimeout bounds one write of a copy. Zones are milliseconds apart; a
	// holder that takes this long delays every token, so another one is chosen.
	appendTimeout = 400 * time.Millisecond
	// retryHolder is how long a holder that failed is left out, unless it was
	// replaced meanwhile.
	retryHolder = 2 * time.Second
)

// copier keeps one generation's copy on another entry VM. Only one write runs
// at a time; tokens accepted meanwhile go with the next, so one round trip
// carries whatever came while its predecessor was under way.
type copier struct {
	m        *Manager
	spec     *Spec
	line     epochs.History
	holder   membership.Member
	open     bool                    // holder has the copy
	excluded map[holderKey]time.Time // until when
	stale    []membership.Member     // former holders, to be told once a new one has the copy
}

// holderKey names one life of an entry VM: its replacement may hold copies again.
type holderKey struct {
	id          string
	incarnation uint64
}

func keyOf(m membership.Member) holderKey { return holderKey{m.ID, m.Incarnation} }

// write is one step of the copy: all accepted tokens, of which the holder has
// the first journaled.
type write struct {
	tokens    []string
	journaled int
	attempt   *peerpb.Attempt
	finish    engine.FinishReason
}

// written is the outcome of a write.
type written struct {
	upTo   int
	finish engine.FinishReason
	fenced epochs.Epoch // a newer owner's epoch, 0 if none
	// degraded says that no holder could be reached. The tokens are released all
	// the same: a copy that falls behind makes a later adoption fail visibly and
	// never mixes two answers.
	degraded bool
	// alone says that there is no other entry VM that could hold a copy, and so
	// none that could have taken the answer over.
	alone bool
}

// owned reports whether the write showed that no newer owner exists.
func (w written) owned() bool { return w.fenced == 0 && (!w.degraded || w.alone) }

// put carries out w, moving to another holder where the present one fails.
func (c *copier) put(ctx context.Context, w write) written {
	done := written{upTo: len(w.tokens), finish: w.finish}
	for ctx.Err() == nil {
		if !c.choose() {
			done.degraded = true
			done.alone = len(c.m.members.Current().Members) <= 1
			return done
		}
		res, err := c.send(ctx, w)
		switch {
		case err != nil:
			// The connection may be silent for good while new ones work.
			c.m.dialer.CloseIdleConnections()
			c.leave("unreachable")
		case res.Accepted:
			c.open = true
			c.dropStale()
			return done
		case res.Epoch != c.line.Epoch() && res.Epoch.OwnerCount() >= c.line.Epoch().OwnerCount():
			done.fenced = res.Epoch
			return done
		case res.Unknown && c.open:
			c.open = false // the holder lost the copy: send it whole
		default:
			c.leave("refused")
		}
	}
	done.degraded = true
	return done
}

// choose keeps the present holder while it is alive and picks another otherwise.
func (c *copier) choose() bool {
	v := c.m.members.Current()
	if c.holder.ID != "" {
		m, known := v.Find(c.holder.ID)
		if known && m.State == membership.Alive && m.Incarnation == c.holder.Incarnation {
			return true
		}
		c.leave("not alive")
	}
	now := time.Now()
	next, ok := journal.PickHolder(c.spec.ID, v, func(m membership.Member) bool {
		return now.Before(c.excluded[keyOf(m)])
	})
	if !ok {
		return false
	}
	c.holder = next
	return true
}

// leave gives up the present holder. Its copy stays until the next holder has
// one, so that a loss of this daemon in between still finds it.
func (c *copier) leave(reason string) {
	if c.open {
		c.m.log.Emit(event.JournalMoved, c.spec.ID, c.holder.ID, "", reason)
		c.m.metrics.journalMoves.Inc()
		c.stale = append(c.stale, c.holder)
	}
	if c.excluded == nil {
		c.excluded = make(map[holderKey]time.Time)
	}
	c.excluded[keyOf(c.holder)] = time.Now().Add(retryHolder)
	c.holder = membership.Member{}
	c.open = false
}

// dropStale tells former holders to forget their copies, so that no one adopts
// them while a longer one exists; where they cannot be told, adopters compare
// the copies they reach and take the longest.
func (c *copier) dropStale() {
	for _, m := range c.stale {
		if m.ID != c.holder.ID {
			c.m.wg.Go(func() { c.m.dropCopy(m, c.spec.ID, c.line.Epoch()) })
		}
	}
	c.stale = nil
}

func (c *copier) send(ctx context.Context, w write) (journal.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	r, err := c.call(ctx, w)
	if err != nil {
		return journal.Result{}, errors.Wrap(err, "journal write")
	}
	c.m.metrics.journalBytes.Add(float64(c.bytes(w)))
	return journal.Result{
		Accepted: r.GetAccepted(),
		Unknown:  r.GetUnknown(),
		Epoch:    epochs.Epoch(r.GetEpoch()),
		Length:   int(r.GetLength()),
	}, nil
}

func (c *copier) call(ctx context.Context, w write) (*peerpb.JournalReply, error) {
	if !c.open {
		return c.m.client(c.holder).Open(ctx, journal.ToWire(journal.Copy{
			Spec: c.spec.toWire(), History: c.line, Tokens: w.tokens, Attempt: w.attempt, Finish: string(w.finish),
		}))
	}
	return c.m.appends.Append(ctx, c.holder, &peerpb.AppendRequest{
		Id:      c.spec.ID,
		Epoch:   uint64(c.line.Epoch()),
		Offset:  uint32(w.journaled),
		Tokens:  w.tokens[w.journaled:],
		Attempt: w.attempt,
		Finish:  string(w.finish),
	})
}

// bytes is the text that a write carries, without framing.
func (c *copier) bytes(w write) int {
	n, from := len(c.spec.Prompt), 0
	if c.open {
		n, from = 0, w.journaled
	}
	for _, t := range w.tokens[from:] {
		n += len(t)
	}
	return n
}
