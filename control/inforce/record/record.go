// Package record defines how accepted site texts are stored in the platform's store.
//
// There are three kinds of keys under /mallowwind/SITE/:
//
//	text               the newest record; one compare-and-swap on it accepts a text
//	body/ID            the text of the record with that ID, written before the record
//	history/REVISION   records that were replaced; their number is bounded
//
// The revision is a counter in the record and not the store's revision. A record is only replaced
// by compare-and-swap, so a revision identifies one text, and the counter keeps rising after the
// store is restored from an older backup.
//
// The record is small and the text is not (about 100 KB with 810 accounts). Watchers receive the
// record, which carries a patch against the previous text; only a daemon that doesn't have the
// previous text reads the body.
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

// MaxPatchBytes is the size of the largest patch that a record carries. A larger patch costs every
// watcher more than one read of the body.
const MaxPatchBytes = 16 << 10

// Record describes one accepted site text.
type Record struct {
	ID               string      `json:"id"`       // unique for each change
	Revision         int64       `json:"revision"` // counts accepted texts from 1
	BaseRevision     int64       `json:"previous"` // revision that the change was planned against, 0 for the first
	SHA256           string      `json:"sha256"`   // of the text, lower-case hex
	Author           string      `json:"who"`
	AppliedAt        time.Time   `json:"when"`
	Comment          string      `json:"comment,omitempty"`
	RestoredRevision int64       `json:"restores,omitempty"` // revision whose text a rollback restores
	Patch            patch.Patch `json:"patch,omitempty"`    // against the text of BaseRevision
}

// ErrCorrupt means that a text does not match the hash in its record.
var ErrCorrupt = errors.New("text does not match its accepted hash")

// Hash returns the lower-case hex SHA-256 of text.
func Hash(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// Verify returns ErrCorrupt unless the hash of text is the one in r.
func (r *Record) Verify(text string) error {
	if Hash(text) != r.SHA256 {
		return ErrCorrupt
	}
	return nil
}

// Encode returns the JSON form of r that is stored.
func (r *Record) Encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(err) // a struct of strings and numbers always encodes
	}
	return b
}

// Decode parses a stored record.
func Decode(value []byte) (*Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, errors.Wrap(err, "site text record")
	}
	return &r, nil
}

// Keys builds the store keys of one site.
type Keys struct{ prefix string }

// KeysOf returns the keys of the site with the given name.
func KeysOf(name string) Keys { return Keys{prefix: "/mallowwind/" + name + "/"} }

// Head returns the key of the newest record.
func (k Keys) Head() string { return k.prefix + "text" }

// Body returns the key of the text of the record with the given ID.
func (k Keys) Body(id string) string { return k.prefix + "body/" + id }

// History returns the key prefix of replaced records.
func (k Keys) History() string { return k.prefix + "history/" }

// HistoryEntry returns the key of the replaced record with the given revision. The number is
// zero-padded so that the keys sort numerically.
func (k Keys) HistoryEntry(revision int64) string {
	return fmt.Sprintf("%s%020d", k.History(), revision)
}

// HistoryRevision returns the revision in a key made by HistoryEntry.
func (k Keys) HistoryRevision(key string) (int64, error) {
	return strconv.ParseInt(strings.TrimPrefix(key, k.History()), 10, 64)
}

// Accepted is a stored record with the version of its key, which a compare-and-swap needs.
type Accepted struct {
	*Record
	Version int64
}

// ReadHead reads the newest record. It returns store.ErrNotFound before the first text is accepted.
func ReadHead(ctx context.Context, s store.Store, k Keys) (Accepted, error) {
	kv, err := s.Get(ctx, k.Head())
	if err != nil {
		return Accepted{}, err
	}
	return FromKV(kv)
}

// FromKV decodes the value of a key that holds a record.
func FromKV(kv store.KV) (Accepted, error) {
	r, err := Decode(kv.Value)
	return Accepted{Record: r, Version: kv.Version}, err
}

// ReadText reads the text of r and verifies its hash.
func ReadText(ctx context.Context, s store.Store, k Keys, r *Record) (string, error) {
	kv, err := s.Get(ctx, k.Body(r.ID))
	if err != nil {
		return "", errors.Wrap(err, "site text body")
	}
	return string(kv.Value), r.Verify(string(kv.Value))
}
