package sent

import (
	"context"
	"net/http"
)

// IsCloseDelimited reports whether only the end of the connection shows where the body of a response
// ends (RFC 9112, section 6.3). The connection of a server that dies ends in the same way as that of
// one that has sent the whole body.
func IsCloseDelimited(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// ServerState is the state of the server process at an address.
type ServerState uint8

// The states.
const (
	ServerUnknown ServerState = iota // the connection attempt timed out
	ServerRuns                       // a process accepts connections
	ServerExited                     // none does
)

// ProbeServer connects to an address and closes the connection.
func ProbeServer(ctx context.Context, dial DialFunc, address string) ServerState {
	conn, err := dial(ctx, "tcp", address)
	switch {
	case err == nil:
		_ = conn.Close() // nothing was written
		return ServerRuns
	case IsTimeout(err) || ctx.Err() != nil:
		return ServerUnknown
	}
	return ServerExited
}
