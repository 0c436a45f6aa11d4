// Package weights is the interface to the platform's rate-limited weight
// store, from which engines fetch models and adapters.
package weights

import (
	"context"
	"time"
)

// Status is the weight store's report of its concurrency limit and load.
type Status struct {
	// Capacity is the maximum number of concurrent fetches.
	Capacity int `json:"capacity"`
	// Active is the number of fetches in progress.
	Active int `json:"active"`
	// FetchDuration is the time that one fetch takes at the current load.
	FetchDuration time.Duration `json:"typical_ns"`
}

// Store reports the status of the weight store. Engines fetch weights from it directly.
type Store interface {
	Status(ctx context.Context) (Status, error)
}
