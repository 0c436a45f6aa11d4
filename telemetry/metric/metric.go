// Package metric contains the common parts of the system's Prometheus metrics: the namespace, the
// histogram buckets, and Catalogue, from which docs/metrics.md is generated and with which it is
// compared.
package metric

import "github.com/prometheus/client_golang/prometheus"

// Namespace is the prefix of every metric name.
const Namespace = "mallowwind"

// LatencyBuckets returns histogram buckets for latencies in seconds, from a routing hop inside a
// zone (1 ms) to the longest time to the first token that a service may configure (60 s). Each
// bound is about twice the previous one.
func LatencyBuckets() []float64 {
	return []float64{
		0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60,
	}
}

// SizeBuckets returns histogram buckets for message sizes in bytes, from 64 to 1 MiB.
func SizeBuckets() []float64 { return prometheus.ExponentialBuckets(64, 4, 8) }

// Register registers collectors with r. If r is nil it does nothing, so that a package can be used
// without metrics. It panics if a name is already registered, because two packages would otherwise
// write to the same series.
func Register(r prometheus.Registerer, collectors ...prometheus.Collector) {
	if r != nil {
		r.MustRegister(collectors...)
	}
}
