package daemon

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/settings"
	"mallowwind.dev/external/engine"
	"mallowwind.dev/external/plain"
	"mallowwind.dev/external/store"
	"mallowwind.dev/external/vmlist"
	"mallowwind.dev/external/weights"
)

// platformTimeout bounds one request to the VM list or the weight store.
const platformTimeout = 2 * time.Second

// Connect returns clients of the platform's services at the addresses in the settings.
func Connect(s *settings.Settings) (Platform, error) {
	kv, err := store.NewEtcdClient(s.Store, nil)
	if err != nil {
		return Platform{}, errors.Wrap(err, "store")
	}
	plainHTTP := &http.Client{Timeout: platformTimeout, Transport: vmlist.NewTransport()}
	p := Platform{
		Store:  kv,
		VMs:    vmlist.NewClient(s.VMList, plainHTTP),
		Engine: func(address string) engine.Engine { return engine.NewClient("http://"+address, nil) },
		Plain:  plain.NewClient(nil, plain.DefaultMaxResponseBytes),
	}
	if s.Weights != "" {
		p.Weights = weights.NewClient(s.Weights, plainHTTP)
	}
	return p, nil
}
