package forward

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestParsePromptParts(t *testing.T) {
	for _, c := range []struct {
		list   string
		shared []string
		own    string
	}{
		{"", nil, ""},
		{"a1:200", nil, "a1"},
		{"a1:200,b2:40,c3:8000", []string{"a1", "b2"}, "c3"},
		{" a1:200 , b2 ,c3 ", []string{"a1", "b2"}, "c3"},
		{"a1:1,a1:1,b2:3,a1:1", []string{"a1", "b2"}, "a1"},
		{",:7,b2:x,", []string{"b2"}, ""},
	} {
		shared, own := ParsePromptParts(c.list)
		must.Eq(t, c.shared, shared, must.Sprint(c.list))
		must.Eq(t, c.own, own, must.Sprint(c.list))
	}
}

// A prompt with very many parts must cost little memory.
func TestParsePromptPartsIsBounded(t *testing.T) {
	var list strings.Builder
	for n := range 5000 {
		list.WriteString(strings.Repeat("f", n%7+1) + ":1,")
	}
	shared, own := ParsePromptParts(list.String() + "last:1")
	must.LessEq(t, maxPromptParts, len(shared))
	must.Eq(t, "last", own)
}

// FuzzParsePromptParts guards against a list that gives empty, doubled or unboundedly many parts.
func FuzzParsePromptParts(f *testing.F) {
	for _, list := range []string{"", ",", "a:1,b:2,c:3", "a:,:,::,a", strings.Repeat("x,", 100)} {
		f.Add(list)
	}
	f.Fuzz(func(t *testing.T, list string) {
		shared, own := ParsePromptParts(list)
		must.LessEq(t, maxPromptParts, len(shared))
		must.False(t, strings.ContainsAny(own, ",:"))
		seen := map[string]bool{"": true}
		for _, part := range shared {
			must.False(t, seen[part] || strings.ContainsAny(part, ",:"))
			seen[part] = true
		}
	})
}
