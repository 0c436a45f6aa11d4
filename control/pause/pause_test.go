package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

func TestForStopsWhenContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		must.True(t, For(t.Context(), time.Minute))
		must.Eq(t, time.Minute, time.Since(start))

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start = time.Now()
		must.False(t, For(ctx, time.Minute))
		must.Eq(t, time.Second, time.Since(start))
	})
}

func TestUntilEndsWithWhateverComesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		Until(t.Context(), nil, time.Second)
		must.Eq(t, time.Second, time.Since(start))

		wake := make(chan struct{}, 1)
		time.AfterFunc(time.Second, func() { wake <- struct{}{} })
		Until(t.Context(), wake, time.Minute)
		must.Eq(t, 2*time.Second, time.Since(start))

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		Until(ctx, wake, time.Minute)
		must.Eq(t, 3*time.Second, time.Since(start))
	})
}
