// Package record is how an accepted site text lies in the platform's store.
//
// Three kinds of keys under /mallowwind/SITE/:
//
//	text               the newest record; accepting is one compare-and-swap on it
//	body/ID            the text that record ID names, written before the record
//	history/REVISION   records that were replaced, bounded
//
// The revision is a counter of the record's own, not the store's: a record is
// only ever replaced by a compare-and-swap, so the counter names one text, and
// it goes on rising when the store itself was restored from an older copy.
//
// The record is small and the text is not (about 100 KB with 810 accounts).
// Watchers receive the record, which carries the difference to the text
// before; only a daemon that lacks that one reads the body.
package record

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/inforce/patch"
	"mallowwind.dev/external/store"
)

// MaxPatchBytes is the largest difference that a record carries, in bytes. A larger
// one costs more at every watcher than one read of the body.
const MaxPatchBytes = 16 << 10

// Record describes one accepted text.
type Record struct {
	ID               string      `json:"id"`       // unique for each apply
	Revision         int64       `json:"revision"` // counts accepted texts from 1
	BaseRevision     int64       `json:"previous"` // revision it was planned against, 0 for the first
	SHA256           string      `json:"sha256"`   // of the text, lower-case hex
	Author           string      `json:"who"`
	AppliedAt        time.Time   `json:"when"`
	Comment          string      `json:"comment,omitempty"`
	RestoredRevision int64       `json:"restores,omitempty"` // revision whose text a rollback brings back
	Patch            patch.Patch `json:"patch,omitempty"`    // from the text of Previous
}

// ErrCorrupt means that a text is not the one that its record names.
var ErrCorrupt = errors.New("text does not match its accepted hash")

// Hash returns the lower-case hex SHA-256 of text.
func Hash(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// Verify returns ErrCorrupt unless text is the one that r names.
func (r *Record) Verify(text string) error {
	if Hash(text) != r.SHA256 {
		return ErrCorrupt
	}
	return nil
}

// Encode returns the value to store.
func (r *Record) Encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(err) // a struct of strings and numbers always encodes
	}
	return b
}

// Decode reads a stored value.
func Decode(value []byte) (*Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, errors.Wrap(err, "record of the site text")
	}
	return &r, nil
}

// Keys are the store keys of one site.
type Keys struct{ prefix string }

// KeysOf returns the keys of the site called name.
func KeysOf(name string) Keys { return Keys{prefix: "/mallowwind/" + name + "/"} }

// Head is the key of the newest record.
func (k Keys) Head() string { return k.prefix + "text" }

// Body is the key of the text that record id names.
func (k Keys) Body(id string) string { return k.prefix + "body/" + id }

// History is the prefix of replaced records.
func (k Keys) History() string { return k.prefix + "history/" }

// HistoryEntry is the key of the record that was accepted at revision. The number
// is padded so that keys sort as numbers do.
func (k Keys) HistoryEntry(revision int64) string {
	return fmt.Sprintf("%s%020d", k.History(), revision)
}

// HistoryRevision returns the revision in a key made by Replaced.
func (k Keys) HistoryRevision(key string) (int64, error) {
	return strconv.ParseInt(strings.TrimPrefix(key, k.History()), 10, 64)
}

// Accepted is a record that the store holds, with the version that a
// compare-and-swap needs.
type Accepted struct {
	*Record
	Version int64
}

// ReadHead reads the record in force. It returns store.ErrNotFound before the first.
func ReadHead(ctx context.Context, s store.Store, k Keys) (Accepted, error) {
	kv, err := s.Get(ctx, k.Head())
	if err != nil {
		return Accepted{}, err
	}
	return FromKV(kv)
}

// FromKV decodes the value of the key Text.
func FromKV(kv store.KV) (Accepted, error) {
	r, err := Decode(kv.Value)
	return Accepted{Record: r, Version: kv.Version}, err
}

// ReadText reads the text that r names and verifies it.
func ReadText(ctx context.Context, s store.Store, k Keys, r *Record) (string, error) {
	kv, err := s.Get(ctx, k.Body(r.ID))
	if err != nil {
		return "", errors.Wrap(err, "body of the site text")
	}
	return string(kv.Value), r.Verify(string(kv.Value))
}
