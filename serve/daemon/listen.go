package daemon

import (
	"crypto/tls"
	"net"

	"github.com/pkg/errors"

	"mallowwind.dev/control/settings"
	"mallowwind.dev/control/tlsfiles"
)

// Listen opens the addresses that the settings name.
func Listen(s *settings.Settings) (l Listeners, err error) {
	open := func(to *net.Listener, key, address string) {
		if err != nil {
			return
		}
		*to, err = net.Listen("tcp", address)
		err = errors.Wrap(err, s.Position(key))
	}
	open(&l.Callers, "listen", s.Listen)
	open(&l.Peers, "peer_listen", s.PeerListen)
	open(&l.Admin, "admin_listen", s.AdminListen)
	if err != nil {
		l.Close()
	}
	return l, err
}

// Secure puts TLS on the listeners for callers and for other entry VMs where
// certificates are set.
func (l Listeners) Secure(files *tlsfiles.Files) Listeners {
	l.Callers = secured(l.Callers, files.CallerServer())
	l.Peers = secured(l.Peers, files.PeerServer())
	return l
}

func secured(l net.Listener, config *tls.Config) net.Listener {
	if config == nil {
		return l
	}
	return tls.NewListener(l, config)
}

// Close closes the listeners that are open.
func (l Listeners) Close() {
	for _, x := range []net.Listener{l.Callers, l.Peers, l.Admin} {
		if x != nil {
			_ = x.Close() // nothing was accepted on it
		}
	}
}
