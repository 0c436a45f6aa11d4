package feed

import (
	"encoding/json"
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
type OwnSchema struct{}

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
	s.ID = id
	return s, nil
}
