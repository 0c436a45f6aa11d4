package story

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A caller's stream breaks off at one daemon, whose clock steps back, and goes
// on at another, whose clock is two seconds behind.
func TestStoryAcrossDaemons(t *testing.T) {
	var lines []Line
	for _, file := range []string{"testdata/a.log", "testdata/b.log"} {
		f, err := os.Open(file)
		must.NoError(t, err)
		defer f.Close()
		got, err := Read(f, "e440", ClockOffsets{"entry-2": -2 * time.Second})
		must.NoError(t, err)
		lines = append(lines, got...)
	}
	Sort(lines)
	var out strings.Builder
	must.NoError(t, Write(&out, lines))
	golden, err := os.ReadFile("testdata/story.golden")
	must.NoError(t, err)
	must.Eq(t, string(golden), out.String())
}

func TestUnknownID(t *testing.T) {
	lines, err := Read(strings.NewReader("{\n{}\nx"), "9c41", nil)
	must.NoError(t, err)
	must.Error(t, Write(&strings.Builder{}, lines))
}
