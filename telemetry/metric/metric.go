// Package metric holds what the packages of the system share about their
// Prometheus metrics: the namespace, the buckets of histograms, and Catalogue,
// from which docs/metrics.md is written and with which it is compared.
package metric

import "github.com/prometheus/client_golang/prometheus"

// Namespace begins the name of every metric.
const Namespace = "mallowwind"

// LatencyBuckets returns histogram buckets for waits, in seconds: from a routing hop
// inside a zone (1 ms) to the longest wait for a first token that a service
// may set (60 s), each about twice the one before.
func LatencyBuckets() []float64 {
	return []float64{
		0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60,
	}
}

// SizeBuckets returns histogram buckets for messages, in bytes, from 64 to 1 MiB.
func SizeBuckets() []float64 { return prometheus.ExponentialBuckets(64, 4, 8) }

// Register adds collectors to r; a nil r leaves them unregistered, so that a
// package can be used without metrics. A name registered twice panics: two
// packages would count into one series.
func Register(r prometheus.Registerer, collectors ...prometheus.Collector) {
	if r != nil {
		r.MustRegister(collectors...)
	}
}
