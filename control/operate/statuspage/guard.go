package statuspage

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"mallowwind.dev/telemetry/event"
)

// RequireToken lets requests through that carry the bearer token whose lower-case hex
// SHA-256 is hash; an empty hash lets all through. Both sides are hashes of
// one length and compared in constant time, so that the time of a refusal
// tells nothing of the token. The token itself is never logged.
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
