package engine

import (
	"io"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const (
	eventA    = `data: {"attempt":1,"offset":0,"tokens":["a","b"],"choices":[{"text":"ab","finish_reason":null}]}` + "\n\n"
	eventB    = `data: {"attempt":1,"offset":2,"tokens":["c"],"choices":[{"text":"c","finish_reason":null}]}` + "\n\n"
	eventLast = `data: {"attempt":1,"offset":3,"choices":[{"text":"","finish_reason":"stop"}]}` + "\n\n"
	eventDone = "data: [DONE]\n\n"
)

func collect(text string) ([]Chunk, error) {
	var chunks []Chunk
	err := readEvents(strings.NewReader(text), 1, 0, func(c Chunk) bool {
		chunks = append(chunks, c)
		return true
	})
	return chunks, err
}

// The connection ends early, or events are lost, repeated, malformed or of another attempt. Chunks
// yielded before the fault remain valid, and only a finish reason ends the stream without an error.
func TestReadEvents(t *testing.T) {
	for name, c := range map[string]struct {
		text   string
		chunks int
		err    error
	}{
		"whole":                {eventA + eventB + eventLast + eventDone, 3, nil},
		"comments between":     {":\n\n" + eventA + ": alive\n\n" + eventB + eventLast, 3, nil},
		"connection ended":     {eventA + eventB, 2, ErrBroken},
		"ended in an event":    {eventA + eventB[:len(eventB)-1], 1, ErrBroken},
		"done but no finish":   {eventA + eventDone, 1, ErrBroken},
		"event lost":           {eventB + eventLast, 0, ErrBroken},
		"event repeated":       {eventA + eventA, 1, ErrBroken},
		"of another attempt":   {strings.Replace(eventA, `"attempt":1`, `"attempt":2`, 1), 0, ErrBroken},
		"not JSON":             {eventA + "data: {\n\n", 1, ErrBroken},
		"several choices":      {`data: {"attempt":1,"choices":[{},{}]}` + "\n\n", 0, ErrBroken},
		"larger than an event": {"data: " + strings.Repeat("x", maxEventBytes) + "\n\n", 0, ErrBroken},
	} {
		chunks, err := collect(c.text)
		must.ErrorIs(t, err, c.err, must.Sprint(name))
		must.Len(t, c.chunks, chunks, must.Sprint(name))
	}
}

// FuzzReadEvents checks for arbitrary input that the yielded chunks are contiguous, that no chunk
// follows one with a finish reason, and that only a finish reason ends the stream without an error.
func FuzzReadEvents(f *testing.F) {
	f.Add(eventA + eventB + eventLast + eventDone)
	f.Add(eventA + ":\n\n" + eventB[:20])
	f.Add("event: x\r\ndata\rid: 3\n\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		next, finished := 0, false
		err := readEvents(io.LimitReader(strings.NewReader(text), 1<<16), 1, 0, func(c Chunk) bool {
			must.False(t, finished)
			must.Eq(t, next, c.Offset)
			next += len(c.Tokens)
			finished = c.Finish != ""
			return true
		})
		must.Eq(t, finished, err == nil)
		if err != nil {
			must.ErrorIs(t, err, ErrBroken)
		}
	})
}
