// Package lineage decides whether what a caller holds is a prefix of an answer.
//
// A generation has one owner at a time. When another entry VM adopts it, a new
// epoch forks off at the length of the copy that was adopted; tokens that the
// old owner released past that length, or releases later because it was only
// paused, belong to another answer. A caller that moves between entry VMs
// presents its Position, and only a position on the same line is continued.
// Without this check a returning owner could extend text of its successor, and
// the caller would hold two answers mixed into one.
package lineage

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// epochCountShift splits an Epoch into a counter and a random part.
const epochCountShift = 48

// Epoch names one ownership of a generation. The upper 16 bits count
// ownerships; the lower 48 bits are random, so that two entry VMs that adopt
// the same generation from two copies never share an epoch.
type Epoch uint64

// FirstEpoch returns the epoch of a generation's first owner.
func FirstEpoch(random uint64) Epoch { return Epoch(0).Next(random) }

// Next returns an epoch that follows e.
func (e Epoch) Next(random uint64) Epoch {
	const mask = 1<<epochCountShift - 1
	return (e>>epochCountShift+1)<<epochCountShift | Epoch(random&mask)
}

// OwnerCount returns how many owners there were up to and including e.
func (e Epoch) OwnerCount() int { return int(e >> epochCountShift) }

// Fork is the begin of an epoch at a token offset.
type Fork struct {
	Epoch      Epoch
	FromOffset int    // tokens before From belong to earlier epochs
	Owner      string // VM id
}

// History is the ownership history of one answer, oldest first. It is never empty.
type History []Fork

// Epoch returns the newest epoch.
func (l History) Epoch() Epoch { return l[len(l)-1].Epoch }

// Owner returns the newest owner.
func (l History) Owner() string { return l[len(l)-1].Owner }

// Extend returns a new line with one more fork; l is left alone.
func (l History) Extend(f Fork) History {
	out := make(History, 0, len(l)+1)
	out = append(out, l...)
	return append(out, f)
}

// Position is what a caller holds: the first Offset tokens, the last of which
// came from Epoch. The zero Position holds nothing.
type Position struct {
	Epoch  Epoch
	Offset int
}

// Relation says how a Position relates to an answer.
type Relation uint8

const (
	// Prefix means that the answer continues what the caller holds.
	Prefix Relation = iota
	// Behind means that this copy is on the caller's line but shorter than
	// what the caller holds; a longer copy may exist elsewhere.
	Behind
	// Superseded means that the caller has seen a newer epoch than this copy knows.
	Superseded
	// Diverged means that the caller holds tokens of another answer.
	Diverged
)

// String returns the lower-case name.
func (r Relation) String() string {
	return [...]string{"prefix", "behind", "superseded", "diverged"}[r]
}

// Compare compares p with an answer of length tokens on line l.
func (l History) Compare(p Position, length int) Relation {
	if p.Offset == 0 {
		return Prefix
	}
	for i, f := range l {
		if f.Epoch != p.Epoch {
			continue
		}
		if i+1 < len(l) && p.Offset > l[i+1].FromOffset {
			return Diverged
		}
		if p.Offset > length {
			return Behind
		}
		return Prefix
	}
	if p.Epoch.OwnerCount() > l.Epoch().OwnerCount() {
		return Superseded
	}
	return Diverged
}

// EpochAt returns the epoch that the token before offset came from.
func (l History) EpochAt(offset int) Epoch {
	e := l[0].Epoch
	for _, f := range l {
		if f.FromOffset < offset {
			e = f.Epoch
		}
	}
	return e
}

// Cursor is the wire form of a position in a named generation: the id of every
// server-sent event and the value of Last-Event-ID.
type Cursor struct {
	Generation string
	Position   Position
}

// ErrInvalidCursor is returned for text that is not a cursor.
var ErrInvalidCursor = errors.New("not an event id of this system")

// String returns generation:epoch:offset with the epoch in hexadecimal.
func (c Cursor) String() string {
	return c.Generation + ":" + strconv.FormatUint(uint64(c.Position.Epoch), 16) + ":" + strconv.Itoa(c.Position.Offset)
}

// maxOffset bounds offsets read from callers; no answer is that long.
const maxOffset = 1 << 24

// ParseCursor reads the form written by String.
func ParseCursor(s string) (Cursor, error) {
	parts := strings.Split(s, ":")
	if len(parts) != 3 || !IsValidID(parts[0]) {
		return Cursor{}, fmt.Errorf("%q: %w", s, ErrInvalidCursor)
	}
	epoch, err := strconv.ParseUint(parts[1], 16, 64)
	if err != nil {
		return Cursor{}, fmt.Errorf("%q: %w", s, ErrInvalidCursor)
	}
	offset, err := strconv.ParseUint(parts[2], 10, 32)
	if err != nil || offset > maxOffset {
		return Cursor{}, fmt.Errorf("%q: %w", s, ErrInvalidCursor)
	}
	return Cursor{Generation: parts[0], Position: Position{Epoch: Epoch(epoch), Offset: int(offset)}}, nil
}

// idLength is the number of characters of a generation id after its first.
const idLength = 32

// IsValidID reports whether s has the form of a generation id: g or k and 32
// lower-case hexadecimal digits.
func IsValidID(s string) bool {
	if len(s) != idLength+1 || (s[0] != 'g' && s[0] != 'k') {
		return false
	}
	for _, c := range s[1:] {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}
