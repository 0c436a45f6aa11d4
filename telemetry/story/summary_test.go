package story

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// The summary must show how many answers were complete, how long they took, how the others ended
// and which requests the daemons refused. A stream that the caller resumed counts once.
func TestSummaryOfManyRequests(t *testing.T) {
	f, err := os.Open("testdata/many.log")
	must.NoError(t, err)
	defer f.Close()
	s := NewSummary()
	must.NoError(t, s.Add(f))
	var out strings.Builder
	must.NoError(t, s.Write(&out))
	golden, err := os.ReadFile("testdata/many.golden")
	must.NoError(t, err)
	must.Eq(t, string(golden), out.String())
}

// A log without events of requests results in an empty summary.
func TestEmptySummary(t *testing.T) {
	s := NewSummary()
	must.NoError(t, s.Add(strings.NewReader("{\n{}\nx\n")))
	var out strings.Builder
	must.NoError(t, s.Write(&out))
	must.RegexMatch(t, regexp.MustCompile(`(?m)^streams +0$`), out.String())
}

func FuzzSummary(f *testing.F) {
	raw, err := os.ReadFile("testdata/many.log")
	must.NoError(f, err)
	f.Add(string(raw))
	f.Fuzz(func(t *testing.T, log string) {
		s := NewSummary()
		if s.Add(strings.NewReader(log)) == nil {
			must.NoError(t, s.Write(&strings.Builder{}))
		}
	})
}
