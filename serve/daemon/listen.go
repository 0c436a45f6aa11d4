package daemon

import (
	"net"

	"github.com/pkg/errors"

	"mallowwind.dev/control/settings"
)

// Listen opens the addresses that the settings name.
func Listen(s *settings.Settings) (l Listeners, err error) {
	open := func(to *net.Listener, what, address string) {
		if err != nil {
			return
		}
		*to, err = net.Listen("tcp", address)
		err = errors.Wrapf(err, "cannot listen for %s", what)
	}
	open(&l.Callers, "callers", s.Listen)
	open(&l.Peers, "other entry VMs", s.PeerListen)
	open(&l.Admin, "operators", s.AdminListen)
	if err != nil {
		l.Close()
	}
	return l, err
}

// Close closes the listeners that are open.
func (l Listeners) Close() {
	for _, x := range []net.Listener{l.Callers, l.Peers, l.Admin} {
		if x != nil {
			_ = x.Close() // nothing was accepted on it
		}
	}
}
