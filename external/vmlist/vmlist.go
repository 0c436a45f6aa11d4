// Package vmlist is the interface to the platform's list of live and leaving
// VMs. The list lags: it may show a VM that is gone or miss a new one.
package vmlist

import "context"

// Role tells entry VMs from backend servers.
type Role string

// The roles of VMs.
const (
	RoleEntry   Role = "entry"
	RoleBackend Role = "backend"
)

// State is what the platform says of a VM.
type State string

// The states of VMs.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// VM is one row of the list. Address is host:port with an IP number.
type VM struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Region  string `json:"region,omitempty"`
	Role    Role   `json:"role"`
	Pool    string `json:"pool,omitempty"` // backend servers only: the pool of the site text
	State   State  `json:"state"`
}

// Source reads the list.
type Source interface {
	List(ctx context.Context) ([]VM, error)
}
