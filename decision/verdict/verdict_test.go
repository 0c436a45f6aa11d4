package verdict

import (
	"errors"
	"os"
	"regexp"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestEveryCodeIsExplained(t *testing.T) {
	source, err := os.ReadFile("verdict.go")
	must.NoError(t, err)
	page, err := os.ReadFile("../../docs/errors.md")
	must.NoError(t, err)
	codes := regexp.MustCompile(`Code = "(\w+)"`).FindAllStringSubmatch(string(source), -1)
	rows := regexp.MustCompile("(?m)^\\| `(\\w+)` \\|").FindAllStringSubmatch(string(page), -1)
	listed := map[string]bool{}
	for _, r := range rows {
		listed[r[1]] = true
	}
	must.Positive(t, len(codes))
	must.EqOp(t, len(codes), len(rows))
	for _, c := range codes {
		must.MapContainsKey(t, listed, c[1])
	}
}

func TestUnclassifiedFailuresPromiseNothing(t *testing.T) {
	must.EqOp(t, MayHaveRun, FromError(errors.New("x")).Verdict)
	must.EqOp(t, MayHaveRun, new(Error).Verdict)
	known := New(NotRun, CodeOverloaded, "busy").WithRetryAfter(time.Second)
	must.EqOp(t, known, FromError(errors.Join(errors.New("x"), known)))
}

func TestParseReadsWhatStringWrites(t *testing.T) {
	for _, v := range []Verdict{MayHaveRun, NotRun, Ran} {
		got, err := Parse(v.String())
		must.NoError(t, err)
		must.EqOp(t, v, got)
	}
	got, err := Parse("surely_not")
	must.Error(t, err)
	must.EqOp(t, MayHaveRun, got)
}
