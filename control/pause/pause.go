// Package pause provides an interruptible sleep for loops that run until their context ends.
package pause

import (
	"context"
	"time"
)

// For waits for d or until ctx ends, whichever is first. It reports whether d has passed.
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
