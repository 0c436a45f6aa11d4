package once

import "mallowwind.dev/decision/verdict"

// MaxKeyBytes is the largest length of an idempotency key.
const MaxKeyBytes = 255

// CheckKey returns an error with verdict not_run unless key is 1 to MaxKeyBytes visible ASCII
// characters. No entry VM ever runs a call with such a key, so the verdict is certain. The
// limits keep keys safe in headers and logs.
func CheckKey(key string) error {
	switch {
	case key == "":
		return verdict.New(verdict.NotRun, verdict.CodeKeyRequired,
			"this service's calls may not be repeated: send an Idempotency-Key")
	case len(key) > MaxKeyBytes:
		return verdict.New(verdict.NotRun, verdict.CodeKeyInvalid,
			"the Idempotency-Key has %d bytes, at most %d are allowed", len(key), MaxKeyBytes)
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return verdict.New(verdict.NotRun, verdict.CodeKeyInvalid,
				"byte %d of the Idempotency-Key is not visible ASCII", i)
		}
	}
	return nil
}
