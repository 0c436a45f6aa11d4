package tokencheck_test

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"mallowwind.dev/external/standin/tokencheck"
)

func generate(model, prompt, salt string, n int) []string {
	c := tokencheck.NewChain(model, prompt)
	tokens := make([]string, n)
	for i := range tokens {
		tokens[i] = c.Next(salt)
	}
	return tokens
}

func TestCheckReportsFault(t *testing.T) {
	a := generate("m", "p", "a", 5)
	b := generate("m", "p", "b", 5) // another attempt at the same request
	text := func(parts ...string) string { return strings.Join(parts, "") }
	for name, c := range map[string]struct {
		text string
		good int
		err  error
	}{
		"whole":         {text(a...), 5, nil},
		"empty":         {"", 0, nil},
		"first missing": {text(a[1:]...), 0, tokencheck.ErrMissing},
		"one missing":   {text(a[0], a[1], a[3]), 2, tokencheck.ErrMissing},
		"repeated":      {text(a[0], a[1], a[1]), 2, tokencheck.ErrRepeated},
		"two attempts":  {text(a[0], a[1], b[2]), 2, tokencheck.ErrMixed},
		"torn token":    {text(a...)[:len(text(a...))-2], 4, tokencheck.ErrMalformed},
		"other text":    {"hello", 0, tokencheck.ErrMalformed},
	} {
		n, err := tokencheck.Check("m", "p", c.text)
		must.ErrorIs(t, err, c.err, must.Sprint(name))
		must.Eq(t, c.good, n, must.Sprint(name))
	}
}

func TestCheckRejectsOtherRequest(t *testing.T) {
	text := strings.Join(generate("m", "p", "a", 3), "")
	for _, other := range [][2]string{{"m", "q"}, {"n", "p"}} {
		_, err := tokencheck.Check(other[0], other[1], text)
		must.ErrorIs(t, err, tokencheck.ErrMixed)
	}
	must.ErrorIs(t, tokencheck.CheckWhole("m", "p", text, 4), tokencheck.ErrMissing)
}

// FuzzCheck checks that a text is accepted only if generating its tokens again, with the same salts,
// gives the same text.
func FuzzCheck(f *testing.F) {
	f.Add(strings.Join(generate("m", "p", "a", 3), ""))
	f.Add(" 0.00000000a")
	f.Add(" 00.")
	f.Fuzz(func(t *testing.T, text string) {
		n, err := tokencheck.Check("m", "p", text)
		if err != nil {
			return
		}
		c, again := tokencheck.NewChain("m", "p"), ""
		for _, token := range strings.Split(text, " ")[1:] {
			_, rest, _ := strings.Cut(token, ".")
			again += c.Next(rest[8:])
		}
		must.Eq(t, text, again)
		must.Eq(t, n, strings.Count(text, " "))
	})
}
