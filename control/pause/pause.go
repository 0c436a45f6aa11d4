// Package pause waits between the rounds of a loop that ends with its context.
package pause

import (
	"context"
	"time"
)

// For waits for d or the end of ctx. It reports whether d passed.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
