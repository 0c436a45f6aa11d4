package feed

import (
	"encoding/json"
	"net"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"mallowwind.dev/control/routing"
)

// Keys of OwnSchema, under OwnPrefix like those by which entry VMs register.
const (
	OwnPrefix       = "mallowwind/"
	OwnConfigKey    = OwnPrefix + "config"
	OwnServerPrefix = OwnPrefix + "server/"
)

// OwnSchema is the layout of a store that is ours to lay out: the configuration
// as routing.Decode reads it, and each backend server as routing.Server in JSON.
type OwnSchema struct{ OwnRollouts }

// ConfigKey implements Schema.
func (OwnSchema) ConfigKey() string { return OwnConfigKey }

// DecodeConfig implements Schema.
func (OwnSchema) DecodeConfig(raw []byte) (*routing.Config, error) { return routing.Decode(raw) }

// ServerID implements Schema.
func (OwnSchema) ServerID(key string) (string, bool) { return strings.CutPrefix(key, OwnServerPrefix) }

// DecodeServer implements Schema.
func (OwnSchema) DecodeServer(id string, raw []byte) (routing.Server, error) {
	var s routing.Server
	if err := json.Unmarshal(raw, &s); err != nil {
		return s, errors.Wrap(err, "server")
	}
	if s.Service == "" || s.Address == "" {
		return s, errors.New("server: no service or address")
	}
	if id == "" || s.StartedAtMS < 0 || s.Slots < 0 {
		return s, errors.Errorf("server: id %q, born %d, %d slots", id, s.StartedAtMS, s.Slots)
	}
	if err := checkAddress(s.Address); err != nil {
		return s, errors.Wrap(err, "server")
	}
	s.ID = id
	return s, nil
}

// decodeVM reads the entry of an entry VM. Its address is told to callers, so one that is
// none would send them nowhere.
func decodeVM(id string, raw []byte) (routing.VM, error) {
	var vm routing.VM
	if err := json.Unmarshal(raw, &vm); err != nil {
		return vm, errors.Wrap(err, "entry VM")
	}
	if id == "" || vm.ID != id {
		return vm, errors.Errorf("entry VM: id %q under the key of %q", vm.ID, id)
	}
	if err := checkAddress(vm.Address); err != nil {
		return vm, errors.Wrap(err, "entry VM")
	}
	if vm.PeerAddress == "" {
		return vm, nil // it answers no other daemon
	}
	return vm, errors.Wrap(checkAddress(vm.PeerAddress), "entry VM: peer")
}

// checkAddress returns an error for what is no host with a port.
func checkAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || host == "" {
		return errors.Errorf("%q is no address with a port", address)
	}
	return nil
}
