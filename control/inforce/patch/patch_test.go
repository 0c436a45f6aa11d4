package patch

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func TestMakeApply(t *testing.T) {
	text := rapid.Custom(func(t *rapid.T) string {
		lines := rapid.SliceOfN(rapid.SampledFrom([]string{"a\n", "b\n", "c\n", "share = 1\n", "\n", "x"}), 0, 30).Draw(t, "lines")
		return strings.Join(lines, "")
	})
	rapid.Check(t, func(t *rapid.T) {
		old, new := text.Draw(t, "old"), text.Draw(t, "new")
		got, err := Make(old, new).Apply(old)
		must.NoError(t, err)
		must.Eq(t, new, got)
	})
}

func TestMakeIsSmall(t *testing.T) {
	var b strings.Builder
	for i := range 810 {
		fmt.Fprintf(&b, "[account a%d]\ntoken_hashes = %064d\nshare = 1\n\n", i, i)
	}
	old := b.String()
	new := strings.Replace(old, "[account a300]", "[account new]\ntoken_hashes = x\nshare = 1\n\n[account a300]", 1)
	new = strings.Replace(new, "[account a700]\n", "# big\n[account a700]\n", 1)
	p := Make(old, new)
	got, err := p.Apply(old)
	must.NoError(t, err)
	must.Eq(t, new, got)
	must.Less(t, 300, p.Size())
}

func TestApplyRejectsOtherText(t *testing.T) {
	_, err := Make("a\nb\nc\n", "a\nb\nc\nd\n").Apply("a\n")
	must.ErrorIs(t, err, ErrMismatch)
	_, err = Patch{{From: 1 << 31, Lines: 1 << 31}}.Apply("a\n")
	must.ErrorIs(t, err, ErrMismatch)
}
