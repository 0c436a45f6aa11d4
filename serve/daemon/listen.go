package daemon

import (
	"crypto/tls"
	"net"

	"github.com/pkg/errors"

	"mallowwind.dev/control/settings"
	"mallowwind.dev/control/tlsfiles"
)

// Listen opens listeners on the addresses in the settings.
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

// Secure wraps the listeners for callers and for other entry VMs in TLS if certificates are
// configured for them.
func (l Listeners) Secure(files *tlsfiles.Files) Listeners {
	l.Callers = withTLS(l.Callers, files.CallerServer())
	l.Peers = withTLS(l.Peers, files.PeerServer())
	return l
}

func withTLS(l net.Listener, config *tls.Config) net.Listener {
	if config == nil {
		return l
	}
	return tls.NewListener(l, config)
}

// Close closes the open listeners.
func (l Listeners) Close() {
	for _, x := range []net.Listener{l.Callers, l.Peers, l.Admin} {
		if x != nil {
			_ = x.Close() // no connection was accepted on it
		}
	}
}
