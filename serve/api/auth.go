package api

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"mallowwind.dev/control/site"
)

const bearerPrefix = "Bearer "

// authenticate returns the account of the request's bearer token, or nil. It compares the token's
// hash with all configured hashes in constant time, so that the response time reveals nothing
// about the tokens.
func authenticate(s *site.Site, r *http.Request) *site.Account {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok || token == "" {
		return nil
	}
	sum := sha256.Sum256([]byte(token))
	hash := []byte(hex.EncodeToString(sum[:]))
	var found *site.Account
	for _, a := range s.Accounts {
		for _, h := range a.TokenHashes {
			if subtle.ConstantTimeCompare(hash, []byte(h)) == 1 {
				found = a
			}
		}
	}
	return found
}
