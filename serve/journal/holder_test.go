package journal

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/decision/epochs"
	"mallowwind.dev/peer/peerpb"
)

func counter() func() uint64 {
	n := uint64(0)
	return func() uint64 { n++; return n }
}

func newHolder(bytes int) *Holder {
	return NewHolder(Limits{Bytes: bytes, TTL: func() time.Duration { return time.Minute }}, counter())
}

func copyOf(id string, epoch epochs.Epoch, tokens int, finish string) Copy {
	c := Copy{
		Spec: &peerpb.GenerationSpec{Id: id}, Finish: finish,
		History: epochs.History{{Epoch: epoch, Owner: "vm0"}},
		Attempt: &peerpb.Attempt{Number: 1},
	}
	for i := range tokens {
		c.Tokens = append(c.Tokens, fmt.Sprint("t", i))
	}
	return c
}

// An owner gives up a message to its copy's holder as lost, and goes on. The
// message was only late. It must neither shorten the copy nor bring back the
// attempt it names, whose engine goes on with another text.
func TestLateMessages(t *testing.T) {
	h, epoch := newHolder(1<<20), epochs.FirstEpoch(9)
	must.True(t, h.Open(copyOf("g", epoch, 4, "")).Accepted)
	must.True(t, h.Append("g", epoch, 4, []string{"a", "b"}, &peerpb.Attempt{Number: 2}, "").Accepted)
	must.Eq(t, 6, h.Open(copyOf("g", epoch, 3, "")).Length)
	must.Eq(t, 6, h.Append("g", epoch, 2, []string{"t2"}, &peerpb.Attempt{Number: 1}, "").Length)
	c, ok := h.Peek("g")
	must.True(t, ok)
	must.Eq(t, []string{"t0", "t1", "t2", "t3", "a", "b"}, c.Tokens)
	must.Eq(t, 2, c.Attempt.GetNumber())
}

// A paused owner returns after its answer was taken over and writes on. The
// holder refuses and names the newer epoch.
func TestAdoptFencesTheOldOwner(t *testing.T) {
	h, first := newHolder(1<<20), epochs.FirstEpoch(9)
	h.Open(copyOf("g", first, 4, ""))
	c, rel, ok := h.Adopt("g", "vm1", epochs.Position{Epoch: first, Offset: 3})
	must.True(t, ok)
	must.Eq(t, epochs.Prefix, rel)
	must.Eq(t, "vm1", c.History.Owner())
	r := h.Append("g", first, 4, []string{"late"}, nil, "")
	must.False(t, r.Accepted)
	must.Eq(t, c.History.Epoch(), r.Epoch)
	must.False(t, h.Open(copyOf("g", first, 9, "")).Accepted)
	_, rel, _ = h.Adopt("g", "vm2", epochs.Position{Epoch: first, Offset: 5})
	must.Eq(t, epochs.Diverged, rel)
}

// The holder is full. Finished copies make room, the longest untouched first;
// running ones are never lost for a new one, whose owner hears that it must
// look elsewhere.
func TestFullHolder(t *testing.T) {
	one := size(copyOf("x", 1, 10, ""))
	h := newHolder(3 * one)
	for i, finish := range []string{"stop", "stop", ""} {
		must.True(t, h.Open(copyOf(fmt.Sprint("g", i), epochs.FirstEpoch(uint64(i)), 10, finish)).Accepted)
	}
	h.Adopt("g0", "vm1", epochs.Position{})
	must.True(t, h.Open(copyOf("g3", epochs.FirstEpoch(3), 10, "")).Accepted)
	_, there := h.Peek("g1")
	must.False(t, there)
	must.True(t, h.Open(copyOf("g4", epochs.FirstEpoch(4), 10, "")).Accepted)
	must.False(t, h.Open(copyOf("g5", epochs.FirstEpoch(5), 10, "")).Accepted)
	n, bytes := h.Size()
	must.Eq(t, 3, n)
	must.Eq(t, 3*one, bytes)
}
