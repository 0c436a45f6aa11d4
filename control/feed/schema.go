package feed

import (
	"encoding/json"
	"net"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"mallowwind.dev/control/routing"
)

// Keys of OwnSchema. They share OwnPrefix with the keys under which entry VMs register.
const (
	OwnPrefix       = "mallowwind/"
	OwnConfigKey    = OwnPrefix + "config"
	OwnServerPrefix = OwnPrefix + "server/"
)

// OwnSchema is the layout that this project defines for stores whose layout is not prescribed: the
// configuration in the form that routing.Decode reads, and each backend server as routing.Server in
// JSON.
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
		return s, errors.New("server: service or address is missing")
	}
	if id == "" || s.StartedAtMS < 0 || s.Slots < 0 {
		return s, errors.Errorf("server: invalid id %q, born %d or slots %d", id, s.StartedAtMS, s.Slots)
	}
	if err := checkAddress(s.Address); err != nil {
		return s, errors.Wrap(err, "server")
	}
	s.ID = id
	return s, nil
}

// encodeVM encodes the entry of an entry VM.
func encodeVM(vm routing.VM) ([]byte, error) {
	raw, err := json.Marshal(vm)
	return raw, errors.Wrap(err, "encode entry VM")
}

// decodeVM decodes the entry of an entry VM. It rejects invalid addresses because callers are sent
// to the address.
func decodeVM(id string, raw []byte) (routing.VM, error) {
	var vm routing.VM
	if err := json.Unmarshal(raw, &vm); err != nil {
		return vm, errors.Wrap(err, "entry VM")
	}
	if id == "" || vm.ID != id {
		return vm, errors.Errorf("entry VM: id %q does not match the key of VM %q", vm.ID, id)
	}
	if err := checkAddress(vm.Address); err != nil {
		return vm, errors.Wrap(err, "entry VM")
	}
	if vm.PeerAddress == "" {
		return vm, nil // it serves no peers
	}
	return vm, errors.Wrap(checkAddress(vm.PeerAddress), "entry VM: peer")
}

// checkAddress returns an error unless address is a host with a port.
func checkAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || host == "" {
		return errors.Errorf("%q is not a host:port address", address)
	}
	return nil
}
