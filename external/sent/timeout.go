package sent

import (
	"context"
	"net"

	"github.com/pkg/errors"
)

// IsTimeout reports whether an error is a timeout. Any other error of a connection attempt shows that
// something on the way to the server answers.
func IsTimeout(err error) bool {
	var n net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &n) && n.Timeout()
}
