package operate

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/control/inforce/record"
	"mallowwind.dev/external/store"
)

const base = `[site]
name = yard
zones = Embakasi, Athi River

[pool engines]

[service drafting]
kind = generation
pool = engines
model = planner
version = %s
replicas.Embakasi = %d
`

func text(version string, replicas int) string { return fmt.Sprintf(base, version, replicas) }

func newClient(who string) (*Client, *store.Faulty) {
	s := store.NewFaulty(store.NewMemory())
	return &Client{Store: s, Site: "yard", Author: who}, s
}

func apply(t *testing.T, c *Client, against int64, text string) *record.Record {
	t.Helper()
	r, err := c.Apply(t.Context(), Request{Text: text, BaseRevision: against})
	must.NoError(t, err)
	return r
}

func newest(t *testing.T, c *Client) *Current {
	t.Helper()
	current, err := c.Get(t.Context())
	must.NoError(t, err)
	return current
}

// The night shift plans a change, and before it is confirmed the day shift
// applies its own. Were both taken, the second would silently undo the first.
// The night operator is told who changed what, and nothing of his is in force.
func TestRaceAcrossHandover(t *testing.T) {
	day, s := newClient("day")
	night := &Client{Store: s, Site: "yard", Author: "night"}
	apply(t, day, 0, text("1", 4))
	apply(t, day, 1, text("1", 6))
	_, err := night.Apply(t.Context(), Request{Text: text("2", 4), BaseRevision: 1})
	var conflict *ConflictError
	must.ErrorAs[error](t, err, &conflict)
	must.Eq(t, "day", conflict.Head.Author)
	must.StrContains(t, err.Error(), "replicas.Embakasi 4 -> 6 (load 2 more in Embakasi)")
	must.Eq(t, text("1", 6), newest(t, day).Text)
}

// gate lets the first compare-and-swap of a key run another operator first:
// both then hold the same version, the closest race there is.
type gate struct {
	store.Store
	key   string
	first func()
}

func (g *gate) CompareAndSwap(ctx context.Context, key string, version int64, value []byte, lease store.LeaseID) (int64, error) {
	if first := g.first; key == g.key && first != nil {
		g.first = nil
		first()
	}
	return g.Store.CompareAndSwap(ctx, key, version, value, lease)
}

// Two operators confirm at the same moment. Exactly one change is accepted and
// the other operator learns of it; the loser's text leaves nothing behind.
func TestRaceAtTheSameMoment(t *testing.T) {
	day, s := newClient("day")
	apply(t, day, 0, text("1", 4))
	g := &gate{Store: s, key: record.KeysOf("yard").Head(), first: func() { apply(t, day, 1, text("1", 5)) }}
	night := &Client{Store: g, Site: "yard", Author: "night"}
	_, err := night.Apply(t.Context(), Request{Text: text("2", 4), BaseRevision: 1})
	must.ErrorContains(t, err, "revision 2 is accepted: day")
	must.Eq(t, 2, newest(t, day).Revision)
	kvs, _, err := s.List(t.Context(), "/mallowwind/yard/body/")
	must.NoError(t, err)
	must.SliceLen(t, 2, kvs)
}

// The store accepts a change and the answer is lost on the way back. The
// operator must not be told that nothing changed, nor apply it twice.
func TestLostConfirmation(t *testing.T) {
	for _, write := range []string{"body", "history", "text"} {
		for _, lose := range []bool{true, false} { // the answer, or the request itself
			synctest.Test(t, func(t *testing.T) {
				c, s := newClient("day")
				apply(t, c, 0, text("1", 4))
				prepare := s.DropNextWrite
				if lose {
					prepare = s.LoseNextWriteResponse
				}
				l := &onWrite{Store: s, key: "/mallowwind/yard/" + write, do: prepare}
				r, err := (&Client{Store: l, Site: "yard"}).Apply(t.Context(), Request{Text: text("1", 5), BaseRevision: 1})
				must.NoError(t, err)
				must.Eq(t, 2, r.Revision)
				must.Eq(t, r.ID, newest(t, c).ID)
				history, err := c.History(t.Context())
				must.NoError(t, err)
				must.SliceLen(t, 2, history)
			})
		}
	}
}

// onWrite runs do before the first write to a key with this prefix.
type onWrite struct {
	store.Store
	key string
	do  func()
}

func (o *onWrite) CompareAndSwap(ctx context.Context, key string, version int64, value []byte, lease store.LeaseID) (int64, error) {
	if do := o.do; do != nil && strings.HasPrefix(key, o.key) {
		o.do = nil
		do()
	}
	return o.Store.CompareAndSwap(ctx, key, version, value, lease)
}

// The confirmation is lost, and before it can be read back another operator's
// change replaces this one. The record in force is not ours, but ours was
// accepted: the history says so.
func TestLostConfirmationAndReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		day, s := newClient("day")
		apply(t, day, 0, text("1", 4))
		lost := &onWrite{Store: s, key: record.KeysOf("yard").Head(), do: s.LoseNextWriteResponse}
		go func() {
			time.Sleep(firstRetry / 2)
			apply(t, day, 2, text("1", 9))
		}()
		r, err := (&Client{Store: lost, Site: "yard"}).Apply(t.Context(), Request{Text: text("1", 5), BaseRevision: 1})
		must.NoError(t, err)
		must.Eq(t, 2, r.Revision)
		must.Eq(t, 3, newest(t, day).Revision)
	})
}

// The store goes down in the middle of an apply and stays down past the
// operator's patience. Whatever was not sent is said not to have changed
// anything; a write without an answer is said to be unknown, and the same
// apply again settles it once the store is back.
func TestStoreDownDuringApply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, s := newClient("day")
		apply(t, c, 0, text("1", 4))
		s.SetDown(true)
		_, err := c.Apply(t.Context(), Request{Text: text("1", 5), BaseRevision: 1})
		var down *StoreError
		must.ErrorAs[error](t, err, &down)
		must.False(t, down.OutcomeUnknown)
		s.SetDown(false)

		cut := &onWrite{Store: s, key: record.KeysOf("yard").Head()}
		cut.do = func() {
			s.LoseNextWriteResponse()
			time.AfterFunc(firstRetry/2, func() { s.SetDown(true) })
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, err = (&Client{Store: cut, Site: "yard"}).Apply(ctx, Request{Text: text("1", 5), BaseRevision: 1})
		must.ErrorAs[error](t, err, &down)
		must.True(t, down.OutcomeUnknown)
		must.StrContains(t, err.Error(), "may have been accepted")
		s.SetDown(false)
		_, err = c.Apply(t.Context(), Request{Text: text("1", 5), BaseRevision: 1})
		must.ErrorContains(t, err, "revision 2 is accepted")
		must.Eq(t, text("1", 5), newest(t, c).Text)
	})
}

func TestRollBackIsANewRevision(t *testing.T) {
	c, _ := newClient("day")
	apply(t, c, 0, text("1", 4))
	apply(t, c, 1, text("2", 4))
	old, err := c.GetRevision(t.Context(), 1)
	must.NoError(t, err)
	r, err := c.Apply(t.Context(), Request{Text: old.Text, BaseRevision: 2, RestoredRevision: 1})
	must.NoError(t, err)
	must.Eq(t, 3, r.Revision)
	must.Eq(t, text("1", 4), newest(t, c).Text)
	r, err = c.Apply(t.Context(), Request{Text: text("3", 4), BaseRevision: 3, AboveRevision: 40})
	must.NoError(t, err)
	must.Eq(t, 41, r.Revision)
}

func TestApplyRefusesBadText(t *testing.T) {
	c, _ := newClient("day")
	_, err := c.Apply(t.Context(), Request{Text: "[site]\nname = other\nzones = A\n"})
	must.ErrorContains(t, err, `of site "other", not "yard"`)
	_, err = c.Apply(t.Context(), Request{Text: "[nothing]\n"})
	must.ErrorContains(t, err, "unknown section")
	_, err = c.Get(t.Context())
	must.ErrorIs(t, err, ErrNoText)
}

func TestHistoryIsBounded(t *testing.T) {
	c, s := newClient("day")
	for i := range int64(keptHistory + 3*pruneEvery) {
		apply(t, c, i, text("1", int(i)+1))
	}
	history, err := c.History(t.Context())
	must.NoError(t, err)
	must.LessEq(t, keptHistory+pruneEvery+1, len(history))
	kvs, _, err := s.List(t.Context(), "/mallowwind/yard/body/")
	must.NoError(t, err)
	must.Eq(t, len(history), len(kvs))
	must.Eq(t, int64(keptHistory+3*pruneEvery), history[0].Revision)
}
