package site

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"maps"
	"slices"
)

// Index looks up accounts by bearer token. It is immutable.
type Index struct {
	hashes   [][sha256.Size]byte
	accounts []*Account
}

// NewIndex returns the index of the accounts of s. The index of a nil site is empty.
func NewIndex(s *Site) *Index {
	x := &Index{}
	if s == nil {
		return x
	}
	for _, name := range slices.Sorted(maps.Keys(s.Accounts)) {
		x.add(s.Accounts[name])
	}
	return x
}

func (x *Index) add(a *Account) {
	for _, h := range a.TokenHashes {
		raw, err := hex.DecodeString(h)
		if err != nil || len(raw) != sha256.Size {
			continue
		}
		x.hashes = append(x.hashes, [sha256.Size]byte(raw))
		x.accounts = append(x.accounts, a)
	}
}

// Account returns the account that token belongs to, or nil. It compares the token's hash with
// every hash in constant time, so that response times do not reveal a partial match. With 810
// accounts this takes some microseconds.
func (x *Index) Account(token string) *Account {
	sum := sha256.Sum256([]byte(token))
	found := -1
	for i := range x.hashes {
		match := subtle.ConstantTimeCompare(sum[:], x.hashes[i][:])
		found = subtle.ConstantTimeSelect(match, i, found)
	}
	if found < 0 {
		return nil
	}
	return x.accounts[found]
}
