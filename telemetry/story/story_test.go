package story

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A caller's stream is interrupted at one daemon, whose clock steps back, and continues at another
// one, whose clock is two seconds behind. The events must be printed in the right order.
func TestEventsOfSeveralDaemonsAreOrdered(t *testing.T) {
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
