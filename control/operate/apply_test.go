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

const siteTemplate = `[site]
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

func siteText(version string, replicas int) string {
	return fmt.Sprintf(siteTemplate, version, replicas)
}

func newClient(who string) (*Client, *store.Faulty) {
	s := store.NewFaulty(store.NewMemory())
	return &Client{Store: s, Site: "yard", Author: who}, s
}

func mustApply(t *testing.T, c *Client, against int64, text string) *record.Record {
	t.Helper()
	r, err := c.Apply(t.Context(), Request{Text: text, BaseRevision: against})
	must.NoError(t, err)
	return r
}

func readNewest(t *testing.T, c *Client) *Current {
	t.Helper()
	current, err := c.Get(t.Context())
	must.NoError(t, err)
	return current
}

// Guards against a lost update: operator "day" applies a change between the plan and the apply of
// operator "night". Accepting both would silently undo the first change. The second apply must
// return a conflict that names the author and the changes, and must not change the text.
func TestApplyConflictsWithChangeAfterPlan(t *testing.T) {
	day, s := newClient("day")
	night := &Client{Store: s, Site: "yard", Author: "night"}
	mustApply(t, day, 0, siteText("1", 4))
	mustApply(t, day, 1, siteText("1", 6))
	_, err := night.Apply(t.Context(), Request{Text: siteText("2", 4), BaseRevision: 1})
	var conflict *ConflictError
	must.ErrorAs[error](t, err, &conflict)
	must.Eq(t, "day", conflict.Head.Author)
	must.StrContains(t, err.Error(), "replicas.Embakasi 4 -> 6 (load 2 more in Embakasi)")
	must.Eq(t, siteText("1", 6), readNewest(t, day).Text)
}

// racingStore calls beforeFirst before the first compare-and-swap of key, so that two operators
// send a compare-and-swap with the same expected version.
type racingStore struct {
	store.Store
	key         string
	beforeFirst func()
}

func (g *racingStore) CompareAndSwap(ctx context.Context, key string, version int64, value []byte, lease store.LeaseID) (int64, error) {
	if first := g.beforeFirst; key == g.key && first != nil {
		g.beforeFirst = nil
		first()
	}
	return g.Store.CompareAndSwap(ctx, key, version, value, lease)
}

// Two operators apply concurrently, and both read the same head before either writes. Exactly one
// change must be accepted, the other operator gets a conflict, and the text of the rejected change
// is removed from the store.
func TestConcurrentAppliesAcceptOne(t *testing.T) {
	day, s := newClient("day")
	mustApply(t, day, 0, siteText("1", 4))
	g := &racingStore{Store: s, key: record.KeysOf("yard").Head(), beforeFirst: func() { mustApply(t, day, 1, siteText("1", 5)) }}
	night := &Client{Store: g, Site: "yard", Author: "night"}
	_, err := night.Apply(t.Context(), Request{Text: siteText("2", 4), BaseRevision: 1})
	must.ErrorContains(t, err, "revision 2 is accepted: day")
	must.Eq(t, 2, readNewest(t, day).Revision)
	bodies, err := s.List(t.Context(), "/mallowwind/yard/body/")
	must.NoError(t, err)
	must.SliceLen(t, 2, bodies.KVs)
}

// A write to the store or its answer is lost. Apply must retry and report success, and the change
// must be accepted exactly once.
func TestLostWriteOrAnswer(t *testing.T) {
	for _, write := range []string{"body", "history", "text"} {
		for _, lose := range []bool{true, false} { // the answer, or the request itself
			synctest.Test(t, func(t *testing.T) {
				c, s := newClient("day")
				mustApply(t, c, 0, siteText("1", 4))
				prepare := s.DropNextWrite
				if lose {
					prepare = s.LoseNextWriteResponse
				}
				l := &writeHookStore{Store: s, prefix: "/mallowwind/yard/" + write, beforeFirst: prepare}
				r, err := (&Client{Store: l, Site: "yard"}).Apply(t.Context(), Request{Text: siteText("1", 5), BaseRevision: 1})
				must.NoError(t, err)
				must.Eq(t, 2, r.Revision)
				must.Eq(t, r.ID, readNewest(t, c).ID)
				history, err := c.History(t.Context())
				must.NoError(t, err)
				must.SliceLen(t, 2, history)
			})
		}
	}
}

// writeHookStore calls beforeFirst before the first write to a key with the prefix.
type writeHookStore struct {
	store.Store
	prefix      string
	beforeFirst func()
}

func (o *writeHookStore) CompareAndSwap(ctx context.Context, key string, version int64, value []byte, lease store.LeaseID) (int64, error) {
	if do := o.beforeFirst; do != nil && strings.HasPrefix(key, o.prefix) {
		o.beforeFirst = nil
		do()
	}
	return o.Store.CompareAndSwap(ctx, key, version, value, lease)
}

// The answer to an accepted write is lost, and another operator's change replaces the record before
// the retry. Apply must find its record in the history and report success.
func TestLostAnswerAndReplacedRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		day, s := newClient("day")
		mustApply(t, day, 0, siteText("1", 4))
		lost := &writeHookStore{Store: s, prefix: record.KeysOf("yard").Head(), beforeFirst: s.LoseNextWriteResponse}
		go func() {
			time.Sleep(initialRetryDelay / 2)
			mustApply(t, day, 2, siteText("1", 9))
		}()
		r, err := (&Client{Store: lost, Site: "yard"}).Apply(t.Context(), Request{Text: siteText("1", 5), BaseRevision: 1})
		must.NoError(t, err)
		must.Eq(t, 2, r.Revision)
		must.Eq(t, 3, readNewest(t, day).Revision)
	})
}

// The store becomes unavailable before or during an apply and stays so beyond the deadline. If the
// change was not sent, the error must say that nothing was changed. If a write got no answer, the
// error must say that the outcome is unknown, and applying the same text again after the store has
// recovered must return a conflict with the accepted revision.
func TestStoreDownDuringApply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, s := newClient("day")
		mustApply(t, c, 0, siteText("1", 4))
		s.SetDown(true)
		_, err := c.Apply(t.Context(), Request{Text: siteText("1", 5), BaseRevision: 1})
		var down *StoreError
		must.ErrorAs[error](t, err, &down)
		must.False(t, down.OutcomeUnknown)
		s.SetDown(false)

		cut := &writeHookStore{Store: s, prefix: record.KeysOf("yard").Head()}
		cut.beforeFirst = func() {
			s.LoseNextWriteResponse()
			time.AfterFunc(initialRetryDelay/2, func() { s.SetDown(true) })
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, err = (&Client{Store: cut, Site: "yard"}).Apply(ctx, Request{Text: siteText("1", 5), BaseRevision: 1})
		must.ErrorAs[error](t, err, &down)
		must.True(t, down.OutcomeUnknown)
		must.StrContains(t, err.Error(), "may have been accepted")
		s.SetDown(false)
		_, err = c.Apply(t.Context(), Request{Text: siteText("1", 5), BaseRevision: 1})
		must.ErrorContains(t, err, "revision 2 is accepted")
		must.Eq(t, siteText("1", 5), readNewest(t, c).Text)
	})
}

func TestRollbackIsNewRevision(t *testing.T) {
	c, _ := newClient("day")
	mustApply(t, c, 0, siteText("1", 4))
	mustApply(t, c, 1, siteText("2", 4))
	old, err := c.GetRevision(t.Context(), 1)
	must.NoError(t, err)
	r, err := c.Apply(t.Context(), Request{Text: old.Text, BaseRevision: 2, RestoredRevision: 1})
	must.NoError(t, err)
	must.Eq(t, 3, r.Revision)
	must.Eq(t, siteText("1", 4), readNewest(t, c).Text)
	r, err = c.Apply(t.Context(), Request{Text: siteText("3", 4), BaseRevision: 3, AboveRevision: 40})
	must.NoError(t, err)
	must.Eq(t, 41, r.Revision)
}

func TestApplyRejectsInvalidText(t *testing.T) {
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
	for i := range int64(maxHistoryEntries + 3*pruneEveryRevisions) {
		mustApply(t, c, i, siteText("1", int(i)+1))
	}
	history, err := c.History(t.Context())
	must.NoError(t, err)
	must.LessEq(t, maxHistoryEntries+pruneEveryRevisions+1, len(history))
	bodies, err := s.List(t.Context(), "/mallowwind/yard/body/")
	must.NoError(t, err)
	must.Eq(t, len(history), len(bodies.KVs))
	must.Eq(t, int64(maxHistoryEntries+3*pruneEveryRevisions), history[0].Revision)
}
