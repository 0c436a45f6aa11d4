// Package weights is the interface to the platform's rate-limited weight
// store, from which engines fetch models and adapters.
package weights

import (
	"context"
	"time"
)

// Status is what the weight store reports of its rate limit.
type Status struct {
	// Capacity is the number of fetches that may run at once.
	Capacity int `json:"capacity"`
	// Active is the number of fetches running.
	Active int `json:"active"`
	// FetchDuration is the time of one fetch at the present load.
	FetchDuration time.Duration `json:"typical_ns"`
}

// Store reports on the weight store; engines fetch from it by themselves.
type Store interface {
	Status(ctx context.Context) (Status, error)
}
