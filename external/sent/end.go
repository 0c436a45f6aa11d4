package sent

import (
	"io"
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// errUnknownReset means that a connection is closed and no call has reported why.
var errUnknownReset = errors.Wrap(syscall.ECONNRESET, "sent: the connection did not end in order")

// Read implements net.Conn. It returns io.EOF only if the server has ended the connection in order, and
// ErrInvalidResponse after bytes that cannot be the head of an expected response.
//
// It guards against a reset that looks like an end in order. The system reports the error of a connection to
// one call only, and while a request is being written that is often the write; the next read then returns
// io.EOF, and a response that ends with its connection would look complete.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if invalid := c.checkHead(p[:n]); invalid != nil {
		return 0, invalid
	}
	if err == io.EOF {
		err = c.endError()
	}
	return n, err
}

// endError returns the error of reads at the end of the connection: io.EOF after an end in order. Where the
// state of the connection cannot be asked, the writes up to now tell.
func (c *Conn) endError() error {
	err := c.firstWriteError()
	if socket, ok := c.Conn.(syscall.Conn); ok && isClosed(socket) {
		err = c.closeCause(socket)
	}
	if err == nil || errors.Is(err, syscall.EPIPE) { // EPIPE: it was reset after its end
		return io.EOF
	}
	return err
}

// closeCause returns why a socket is closed: the error that a write took, or the one that no call has taken.
func (c *Conn) closeCause(socket syscall.Conn) error {
	c.writing.Lock() // a write in progress ends at once: the socket takes no more bytes
	defer c.writing.Unlock()
	if err := c.firstWriteError(); err != nil {
		return err
	}
	if err := pendingError(socket); err != nil {
		return err
	}
	return errUnknownReset
}

// recordWriteError records the error with which the system failed a write.
func (c *Conn) recordWriteError(err error) {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeErr == nil {
		c.writeErr = err
	}
}

func (c *Conn) firstWriteError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeErr
}

// isClosed reports whether a socket is closed in both directions, as it is after a reset, and not only its
// peer's sending side. Nothing else lasts of a reset whose error was reported.
func isClosed(socket syscall.Conn) bool {
	err := withDescriptor(socket, func(fd int) error {
		_, err := syscall.Getpeername(fd)
		return err
	})
	return errors.Is(err, syscall.ENOTCONN) || errors.Is(err, net.ErrClosed)
}

// pendingError returns the error of a socket that no call has reported yet, or why it cannot be read.
func pendingError(socket syscall.Conn) error {
	return withDescriptor(socket, func(fd int) error {
		errno, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ERROR)
		if err == nil && errno != 0 {
			err = syscall.Errno(errno)
		}
		return err
	})
}

// withDescriptor calls f with the descriptor of a socket. It returns net.ErrClosed if this side has closed it.
func withDescriptor(socket syscall.Conn, f func(fd int) error) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var result error
	if err := raw.Control(func(fd uintptr) { result = f(int(fd)) }); err != nil {
		return err
	}
	return result
}
