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

// Until waits until wake has an item or is closed, d has passed or ctx ends, whichever is first.
func Until(ctx context.Context, wake <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-wake:
	case <-t.C:
	case <-ctx.Done():
	}
}
