package main

import (
	"os"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

func TestMetricsPageMatchesRegisteredMetrics(t *testing.T) {
	want, err := metricsPage()
	must.NoError(t, err)
	have, err := os.ReadFile("../../docs/metrics.md")
	must.NoError(t, err)
	test.Eq(t, string(want), string(have), test.Sprint(
		"docs/metrics.md and the daemon's metrics differ; run: go run ./cmd/mallowctl metrics --write docs/metrics.md"))
}
