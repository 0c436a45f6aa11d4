package statuspage

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"mallowwind.dev/telemetry/event"
)

// RequireToken returns a handler that passes requests on to next if their bearer token has the
// given lower-case hex SHA-256, and answers 401 otherwise. An empty hash passes all requests on.
// The hashes are compared in constant time, so that response times reveal nothing about the token.
// The token is never logged.
func RequireToken(hash string, log *event.Log, next http.Handler) http.Handler {
	want := []byte(hash)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(token))
		got := []byte(hex.EncodeToString(sum[:]))
		if hash != "" && subtle.ConstantTimeCompare(got, want) != 1 {
			log.Emit(event.OperatorRefused, r.URL.Path, r.RemoteAddr)
			w.Header().Set("WWW-Authenticate", "Bearer")
			http.Error(w, "operators' token required", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}
