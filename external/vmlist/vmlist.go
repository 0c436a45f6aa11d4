// Package vmlist reads the platform's list of live and leaving VMs. The list lags behind the
// platform: it may contain a VM that no longer exists or miss a new one.
package vmlist

import "context"

// Role distinguishes entry VMs from backend servers.
type Role string

// The roles of VMs.
const (
	RoleEntry   Role = "entry"
	RoleBackend Role = "backend"
)

// State is the state of a VM as reported by the platform.
type State string

// The states of VMs.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// VM is one row of the list. Address is host:port with an IP address as the host.
type VM struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Region  string `json:"region,omitempty"`
	Role    Role   `json:"role"`
	Pool    string `json:"pool,omitempty"` // name of the pool in the site configuration; only for backend servers
	State   State  `json:"state"`
}

// Source reads the list.
type Source interface {
	List(ctx context.Context) ([]VM, error)
}
