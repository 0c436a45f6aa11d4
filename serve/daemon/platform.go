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

// platformTimeout bounds one question to the VM list or the weight store.
const platformTimeout = 2 * time.Second

// maxAnswerBytes bounds the answer of a plain service, in bytes.
const maxAnswerBytes = 16 << 20

// Connect returns the platform that the settings name, over its wire forms.
func Connect(s *settings.Settings) (Platform, error) {
	kv, err := store.NewEtcdClient(s.Store, nil)
	if err != nil {
		return Platform{}, errors.Wrap(err, "store")
	}
	plainHTTP := &http.Client{Timeout: platformTimeout}
	p := Platform{
		Store:  kv,
		VMs:    vmlist.NewClient(s.VMList, plainHTTP),
		Engine: func(address string) engine.Engine { return engine.NewClient("http://"+address, nil) },
		Plain:  plain.NewClient(nil, maxAnswerBytes),
	}
	if s.Weights != "" {
		p.Weights = weights.NewClient(s.Weights, plainHTTP)
	}
	return p, nil
}
