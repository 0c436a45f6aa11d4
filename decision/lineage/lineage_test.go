package lineage

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestRelate(t *testing.T) {
	first := FirstEpoch(1)
	second := first.Next(2)
	line := History{{Epoch: first, Owner: "a"}}.Extend(Fork{Epoch: second, FromOffset: 10, Owner: "b"})
	for _, c := range []struct {
		name   string
		at     Position
		length int
		want   Relation
	}{
		{"holds nothing", Position{}, 20, Prefix},
		{"on the first owner's part", Position{first, 10}, 20, Prefix},
		{"past the fork of its successor", Position{first, 11}, 20, Diverged},
		{"on the second owner's part", Position{second, 20}, 20, Prefix},
		{"longer than this copy", Position{second, 21}, 20, Behind},
		{"of a rival successor", Position{first.Next(3), 15}, 20, Diverged},
		{"of a later owner", Position{second.Next(4), 15}, 20, Superseded},
	} {
		must.Eq(t, c.want, line.Compare(c.at, c.length), must.Sprint(c.name))
	}
	must.Eq(t, first, line.EpochAt(10))
	must.Eq(t, second, line.EpochAt(11))
	must.Eq(t, "b", line.Owner())
}

// Any text that is read as a cursor writes back as one that reads the same.
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
		must.Between(t, 0, c.Position.Offset, maxOffset)
		again, err := ParseCursor(c.String())
		must.NoError(t, err)
		must.Eq(t, c, again)
	})
}
