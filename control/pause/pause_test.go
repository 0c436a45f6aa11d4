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
