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
	// appendTimeout bounds one write to a copy. The latency between zones is a few
	// milliseconds. A holder that takes this long delays every token, so another one
	// is chosen.
	appendTimeout = 400 * time.Millisecond
	// holderRetryDelay is how long a holder that failed is not chosen again, unless
	// it has a new incarnation by then.
	holderRetryDelay = 2 * time.Second
)

// copier maintains one generation's copy on another entry VM. Only one write is
// in flight at a time. Tokens accepted meanwhile are batched into the next write.
type copier struct {
	m             *Manager
	spec          *Spec
	history       epochs.History
	holder        membership.Member
	hasCopy       bool                    // the holder has the copy
	excluded      map[holderKey]time.Time // until when each is not chosen
	formerHolders []membership.Member     // told to drop their copies once the holder has one
}

// holderKey identifies one incarnation of an entry VM, so that a restarted one may
// hold copies again at once.
type holderKey struct {
	id          string
	incarnation uint64
}

func holderKeyOf(m membership.Member) holderKey { return holderKey{m.ID, m.Incarnation} }

// journalWrite is one write to the copy. It contains all accepted tokens; the
// first copiedCount of them are in the copy already.
type journalWrite struct {
	tokens      []string
	copiedCount int
	attempt     *peerpb.Attempt
	finish      engine.FinishReason
}

// writeResult is the result of a journalWrite.
type writeResult struct {
	copiedCount int
	finish      engine.FinishReason
	fenced      epochs.Epoch // a newer owner's epoch, 0 if none
	// degraded reports that no holder could be reached. The tokens are released
	// nevertheless: a copy that is behind makes a later adoption fail with an error,
	// but never mixes two answers.
	degraded bool
	// onlyMember reports that there is no other entry VM that could hold a copy or
	// could have taken over the answer.
	onlyMember bool
}

// confirmsOwnership reports whether the write showed that no newer owner exists.
func (w writeResult) confirmsOwnership() bool { return w.fenced == 0 && (!w.degraded || w.onlyMember) }

// write performs w. If the holder fails, it moves the copy to another one.
func (c *copier) write(ctx context.Context, w journalWrite) writeResult {
	result := writeResult{copiedCount: len(w.tokens), finish: w.finish}
	for ctx.Err() == nil {
		if !c.ensureHolder() {
			result.degraded = true
			result.onlyMember = len(c.m.members.Current().Members) <= 1
			return result
		}
		res, err := c.send(ctx, w)
		switch {
		case err != nil:
			// The connection may stay silent although new connections would work.
			c.m.dialer.CloseIdleConnections()
			c.leaveHolder("unreachable")
		case res.Accepted:
			c.hasCopy = true
			c.dropFormerCopies()
			return result
		case res.Epoch != c.history.Epoch() && res.Epoch.OwnerCount() >= c.history.Epoch().OwnerCount():
			result.fenced = res.Epoch
			return result
		case res.Unknown && c.hasCopy:
			c.hasCopy = false // the holder lost the copy: send all of it
		default:
			c.leaveHolder("refused")
		}
	}
	result.degraded = true
	return result
}

// ensureHolder keeps the current holder while it is alive and otherwise picks
// another one. It returns false if there is none.
func (c *copier) ensureHolder() bool {
	view := c.m.members.Current()
	if c.holder.ID != "" {
		m, known := view.Find(c.holder.ID)
		if known && m.State == membership.Alive && m.Incarnation == c.holder.Incarnation {
			return true
		}
		c.leaveHolder("not alive")
	}
	now := time.Now()
	next, ok := journal.PickHolder(c.spec.ID, view, func(m membership.Member) bool {
		return now.Before(c.excluded[holderKeyOf(m)])
	})
	if !ok {
		return false
	}
	c.holder = next
	return true
}

// leaveHolder stops using the current holder. Its copy is kept until the next
// holder has one, so that a copy exists if this daemon is lost in between.
func (c *copier) leaveHolder(reason string) {
	if c.hasCopy {
		c.m.log.Emit(event.JournalMoved, c.spec.ID, c.holder.ID, "", reason)
		c.m.metrics.journalMoves.Inc()
		c.formerHolders = append(c.formerHolders, c.holder)
	}
	if c.excluded == nil {
		c.excluded = make(map[holderKey]time.Time)
	}
	c.excluded[holderKeyOf(c.holder)] = time.Now().Add(holderRetryDelay)
	c.holder = membership.Member{}
	c.hasCopy = false
}

// dropFormerCopies tells former holders to drop their copies, so that they are not
// adopted while a longer copy exists. If a former holder cannot be reached,
// adopters still choose the longest of the copies that they reach.
func (c *copier) dropFormerCopies() {
	for _, m := range c.formerHolders {
		if m.ID != c.holder.ID {
			c.m.wg.Go(func() { c.m.dropCopy(m, c.spec.ID, c.history.Epoch()) })
		}
	}
	c.formerHolders = nil
}

func (c *copier) send(ctx context.Context, w journalWrite) (journal.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	r, err := c.call(ctx, w)
	if err != nil {
		return journal.Result{}, errors.Wrap(err, "journal write")
	}
	c.m.metrics.journalBytes.Add(float64(c.textBytes(w)))
	return journal.Result{
		Accepted: r.GetAccepted(),
		Unknown:  r.GetUnknown(),
		Epoch:    epochs.Epoch(r.GetEpoch()),
		Length:   int(r.GetLength()),
	}, nil
}

func (c *copier) call(ctx context.Context, w journalWrite) (*peerpb.JournalReply, error) {
	if !c.hasCopy {
		return c.m.client(c.holder).Open(ctx, journal.ToWire(journal.Copy{
			Spec: c.spec.toWire(), History: c.history, Tokens: w.tokens, Attempt: w.attempt, Finish: string(w.finish),
		}))
	}
	return c.m.appends.Append(ctx, c.holder, &peerpb.AppendRequest{
		Id:      c.spec.ID,
		Epoch:   uint64(c.history.Epoch()),
		Offset:  uint32(w.copiedCount),
		Tokens:  w.tokens[w.copiedCount:],
		Attempt: w.attempt,
		Finish:  string(w.finish),
	})
}

// textBytes returns the number of bytes of text in a write, without framing.
func (c *copier) textBytes(w journalWrite) int {
	n, from := len(c.spec.Prompt), 0
	if c.hasCopy {
		n, from = 0, w.copiedCount
	}
	for _, t := range w.tokens[from:] {
		n += len(t)
	}
	return n
}
