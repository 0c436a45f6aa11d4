package epochs

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestCompare(t *testing.T) {
	first := FirstEpoch(1)
	second := first.Next(2)
	history := History{{Epoch: first, Owner: "a"}}.Extend(Fork{Epoch: second, FromOffset: 10, Owner: "b"})
	for _, c := range []struct {
		name     string
		position Position
		length   int
		want     Relation
	}{
		{"holds nothing", Position{}, 20, Prefix},
		{"within the first owner's tokens", Position{first, 10}, 20, Prefix},
		{"past the successor's fork", Position{first, 11}, 20, Diverged},
		{"within the second owner's tokens", Position{second, 20}, 20, Prefix},
		{"longer than this copy", Position{second, 21}, 20, Behind},
		{"of a competing successor", Position{first.Next(3), 15}, 20, Diverged},
		{"of a later owner", Position{second.Next(4), 15}, 20, Superseded},
	} {
		must.Eq(t, c.want, history.Compare(c.position, c.length), must.Sprint(c.name))
	}
	must.Eq(t, first, history.EpochAt(10))
	must.Eq(t, second, history.EpochAt(11))
	must.Eq(t, "b", history.Owner())
}

// A parsed cursor must be written as text that parses to the same cursor.
func FuzzParseCursor(f *testing.F) {
	id := "g0123456789abcdef0123456789abcdef"
	for _, s := range []string{id + ":1000000000001:5", id + ":0:0", id + ":ffffffffffffffff:16777216", "", "::", id + ":+1:1", id + ":1:-1"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		c, err := ParseCursor(s)
		if err != nil {
			must.ErrorIs(t, err, ErrInvalidCursor)
			return
		}
		must.True(t, IsValidID(c.Generation))
		must.Between(t, 0, c.Position.Offset, maxOffsetTokens)
		again, err := ParseCursor(c.String())
		must.NoError(t, err)
		must.Eq(t, c, again)
	})
}
