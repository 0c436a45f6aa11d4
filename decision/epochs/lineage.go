// Package epochs tracks the ownership epochs of a generation and decides whether the tokens
// that a caller holds are a prefix of an answer.
//
// A generation has one owner at a time. When another entry VM adopts it, a new epoch forks off
// at the length of the adopted copy. Tokens that the previous owner released past that length,
// or releases later because it was only paused, belong to a different answer. A caller that
// moves between entry VMs presents its Position, and only a position in the answer's ownership
// history is continued. Without this check a returning owner could extend text of its
// successor, and the caller would hold two answers mixed into one.
package epochs

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// ownerCountShift is the bit position that separates the owner count of an Epoch from its
// random part.
const ownerCountShift = 48

// Epoch identifies one ownership of a generation. The upper 16 bits count the owners; the
// lower 48 bits are random, so that two entry VMs that adopt the same generation from two
// copies do not share an epoch.
type Epoch uint64

// FirstEpoch returns the epoch of a generation's first owner.
func FirstEpoch(random uint64) Epoch { return Epoch(0).Next(random) }

// Next returns an epoch that follows e.
func (e Epoch) Next(random uint64) Epoch {
	const mask = 1<<ownerCountShift - 1
	return (e>>ownerCountShift+1)<<ownerCountShift | Epoch(random&mask)
}

// OwnerCount returns the number of owners up to and including e.
func (e Epoch) OwnerCount() int { return int(e >> ownerCountShift) }

// Fork is the start of an epoch at a token offset.
type Fork struct {
	Epoch      Epoch
	FromOffset int    // tokens before FromOffset belong to earlier epochs
	Owner      string // VM id
}

// History is the ownership history of one answer, oldest first. It is never empty.
type History []Fork

// Epoch returns the newest epoch.
func (h History) Epoch() Epoch { return h[len(h)-1].Epoch }

// Owner returns the newest owner.
func (h History) Owner() string { return h[len(h)-1].Owner }

// Extend returns a copy of the history with one more fork; the original is unchanged.
func (h History) Extend(f Fork) History {
	out := make(History, 0, len(h)+1)
	out = append(out, h...)
	return append(out, f)
}

// Position is what a caller holds: the first Offset tokens, the last of which came from Epoch.
// The zero Position holds nothing.
type Position struct {
	Epoch  Epoch
	Offset int
}

// Relation is the result of comparing a Position with an answer.
type Relation uint8

const (
	// Prefix means that the answer continues the tokens that the caller holds.
	Prefix Relation = iota
	// Behind means that the caller's epoch is in this copy's history but the copy is shorter
	// than what the caller holds; a longer copy may exist elsewhere.
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

// Compare returns the relation of p to an answer of length tokens with this history.
func (h History) Compare(p Position, length int) Relation {
	if p.Offset == 0 {
		return Prefix
	}
	for i, f := range h {
		if f.Epoch != p.Epoch {
			continue
		}
		if i+1 < len(h) && p.Offset > h[i+1].FromOffset {
			return Diverged
		}
		if p.Offset > length {
			return Behind
		}
		return Prefix
	}
	if p.Epoch.OwnerCount() > h.Epoch().OwnerCount() {
		return Superseded
	}
	return Diverged
}

// EpochAt returns the epoch of the token before offset.
func (h History) EpochAt(offset int) Epoch {
	e := h[0].Epoch
	for _, f := range h {
		if f.FromOffset < offset {
			e = f.Epoch
		}
	}
	return e
}

// Cursor is the wire form of a position in a named generation: the id of every server-sent
// event and the value of Last-Event-ID.
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

// maxOffsetTokens bounds the offsets accepted from callers; no answer is that long.
const maxOffsetTokens = 1 << 24

// ParseCursor parses the form written by String.
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
	if err != nil || offset > maxOffsetTokens {
		return Cursor{}, fmt.Errorf("%q: %w", s, ErrInvalidCursor)
	}
	return Cursor{Generation: parts[0], Position: Position{Epoch: Epoch(epoch), Offset: int(offset)}}, nil
}

// idHexDigitCount is the number of characters of a generation id after the first.
const idHexDigitCount = 32

// IsValidID reports whether s has the form of a generation id: g or k followed by 32
// lower-case hexadecimal digits.
func IsValidID(s string) bool {
	if len(s) != idHexDigitCount+1 || (s[0] != 'g' && s[0] != 'k') {
		return false
	}
	for _, c := range s[1:] {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}
