// Package tunnel carries a connection to a backend server over another daemon, which connects to the
// server and passes on the bytes of both directions. The daemon that opens the tunnel keeps all
// decisions about the request; the other one knows nothing of it.
//
// A tunnel is an upgraded HTTP/1.1 request. The bytes towards the server follow as they are. Those
// of the server follow in chunks: a last chunk tells the clean end of the server's connection from a
// connection that broke, at the server or at the other daemon. Without that, an answer that ends
// with its connection would look complete after the death of the other daemon.
//
// A server that was connected to has received nothing before the tunnel is open, so a failure to
// open a tunnel proves that nothing was sent.
package tunnel

import (
	"time"

	"github.com/pkg/errors"
)

// Path is the path of the HTTP endpoint of a daemon that opens tunnels.
const Path = "/tunnel"

// protocol is the value of the Upgrade header.
const protocol = "mallowwind-tunnel/1"

// Headers of the request and of its response.
const (
	headerServer  = "Tunnel-Server"  // id of the server
	headerWait    = "Tunnel-Wait-Ms" // how long the connection to the server may take
	headerRequest = "Tunnel-Request" // id of the request for which the tunnel is opened; for logs
	headerCaller  = "Tunnel-Caller"  // id of the daemon that opens it; for logs
	headerStream  = "Tunnel-Stream"  // "1" if the tunnel carries a stream, which may last as long as a graceful shutdown
	headerRefusal = "Tunnel-Refusal" // why no tunnel was opened
)

// MaxWait bounds the time that a daemon takes to connect to a server for another one. It is many
// times a round trip between zones.
const MaxWait = 100 * time.Millisecond

// Refusal says why a daemon opened no tunnel.
type Refusal string

// The refusals.
const (
	ServerRefused Refusal = "server_refused" // the server refused the connection
	ServerSilent  Refusal = "server_silent"  // the connection was not established in time
	Abandoned     Refusal = "abandoned"      // the caller left before the server was reached
	PathLost      Refusal = "path_lost"      // the daemon has no path to servers itself
	Busy          Refusal = "busy"           // the daemon carries as many tunnels as it may
	Leaving       Refusal = "leaving"        // the daemon is shutting down
	UnknownServer Refusal = "unknown_server" // the daemon knows no server with that id
	Invalid       Refusal = "invalid"        // the request is not one for a tunnel
)

// Error is a refusal by a daemon.
type Error struct{ Refusal Refusal }

// Error implements error.
func (e *Error) Error() string { return "tunnel: " + string(e.Refusal) }

// errNotUpgraded means that a daemon answered without opening a tunnel or refusing it, as one of a
// release without tunnels does.
var errNotUpgraded = errors.New("tunnel: not supported by the other daemon")
