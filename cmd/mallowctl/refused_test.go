package main

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/control/feed"
)

func TestRefusedListNamesParts(t *testing.T) {
	var out strings.Builder
	at := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	writeRefused(&out, []feed.RefusedRequest{
		{Digest: "0f", Account: "mill", Route: "review", Servers: []string{"e1", "e2"}, By: "vm-1", At: at},
		{Digest: "part-7c", Parts: []string{"a1", "b 2"}, Account: "mill", Route: "review", Servers: []string{"e3"}, By: "vm-2", At: at},
	})
	must.Eq(t, `0f  2026-03-01T12:00:00Z  account mill  route review  by vm-1  servers e1 e2
part-7c  2026-03-01T12:00:00Z  account mill  route review  by vm-2  servers e3  prompts with ["a1" "b 2"]
`, out.String())
	out.Reset()
	writeRefused(&out, nil)
	must.Eq(t, "no request is refused\n", out.String())
}
