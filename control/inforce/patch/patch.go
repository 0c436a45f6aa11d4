// Package patch is a difference between two texts by lines: copy a run of
// lines of the old text, or insert new ones. A change of one line in a text
// of 100 KB travels as some dozen bytes, which is what keeps 5,200 changes a
// day within a daemon's 2 KB a second.
//
// A patch is never trusted by itself: who applies one compares the result's
// SHA-256 with the one that was accepted.
package patch

import (
	"strings"

	"github.com/pkg/errors"
)

// Op copies Lines lines of the old text from line From (counted from 0), and
// then inserts Insert.
type Op struct {
	From   uint32 `json:"from,omitempty"`
	Lines  uint32 `json:"lines,omitempty"`
	Insert string `json:"insert,omitempty"`
}

// Patch turns one text into another.
type Patch []Op

// ErrMismatch means that a patch does not belong to the text it was applied to.
var ErrMismatch = errors.New("patch does not fit the text")

// Make returns the patch from old to new. It runs once over both texts: a line
// that does not follow the last copied one is looked up by its content.
func Make(old, new string) Patch {
	from := strings.SplitAfter(old, "\n")
	at := make(map[string]int, len(from))
	for i := len(from) - 1; i >= 0; i-- {
		at[from[i]] = i
	}
	m := builder{oldLines: from, firstIndex: at}
	for _, line := range strings.SplitAfter(new, "\n") {
		m.addLine(line)
	}
	return m.patch
}

type builder struct {
	oldLines   []string
	firstIndex map[string]int
	patch      Patch
}

func (m *builder) addLine(line string) {
	if n := len(m.patch); n > 0 {
		last := &m.patch[n-1]
		next := int(last.From + last.Lines)
		if last.Insert == "" && next < len(m.oldLines) && m.oldLines[next] == line {
			last.Lines++
			return
		}
	}
	if i, ok := m.firstIndex[line]; ok {
		m.patch = append(m.patch, Op{From: uint32(m.findSourceLine(i, line)), Lines: 1})
		return
	}
	if len(m.patch) == 0 {
		m.patch = append(m.patch, Op{})
	}
	m.patch[len(m.patch)-1].Insert += line
}

// findSourceLine prefers the line after a replaced one: repeated lines, such as
// "share = 1", would otherwise point back to their first occurrence and break
// one long copy into many.
func (m *builder) findSourceLine(first int, line string) int {
	if len(m.patch) == 0 {
		return first
	}
	last := m.patch[len(m.patch)-1]
	next := int(last.From + last.Lines)
	for i := next; i < min(next+maxSkippedLines, len(m.oldLines)); i++ {
		if m.oldLines[i] == line {
			return i
		}
	}
	return first
}

// maxSkippedLines is how many removed or replaced lines are skipped in search of
// the place where the old text goes on; an account has some ten lines.
const maxSkippedLines = 64

// Apply returns the text that p makes of old.
func (p Patch) Apply(old string) (string, error) {
	from := strings.SplitAfter(old, "\n")
	var b strings.Builder
	for _, op := range p {
		end := uint64(op.From) + uint64(op.Lines)
		if end > uint64(len(from)) {
			return "", errors.Wrapf(ErrMismatch, "lines %d to %d of %d", op.From, end, len(from))
		}
		for _, line := range from[op.From:end] {
			b.WriteString(line)
		}
		b.WriteString(op.Insert)
	}
	return b.String(), nil
}

// Size returns roughly how many bytes p takes on the wire.
func (p Patch) Size() int {
	const perOp = 24
	n := 0
	for _, op := range p {
		n += perOp + len(op.Insert)
	}
	return n
}
