package daemon

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/mallowbridge/mallowbridge/control"
)

// disconnectWait is how long an operator request that names no version waits for the end of its client's connection. It is the minimum
// retransmission timeout of TCP, which is enough: when a partition heals, TCP delivers a request that was delayed first, and the FIN or RST
// that the client has sent meanwhile directly behind it.
const disconnectWait = 200 * time.Millisecond

// operatorConn is the connection on which an operator request arrived.
type operatorConn struct {
	// acceptedAt is when the connection was accepted, on the clock of the PauseGuard.
	acceptedAt time.Duration
	// conn is nil if the connection is not a socket of the operating system.
	conn syscall.RawConn
}

type operatorConnKey struct{}

func newOperatorConn(conn net.Conn, acceptedAt time.Duration) *operatorConn {
	c := &operatorConn{acceptedAt: acceptedAt}
	if socket, ok := conn.(syscall.Conn); ok {
		c.conn, _ = socket.SyscallConn()
	}
	return c
}

// operatorConnOf returns the connection that PauseGuard.ConnContext added to ctx, or nil if there is none.
func operatorConnOf(ctx context.Context) *operatorConn {
	c, _ := ctx.Value(operatorConnKey{}).(*operatorConn)
	return c
}

// disconnected reports whether the client has closed or reset the connection. It checks the socket, because the request's context may be
// cancelled only later.
func (c *operatorConn) disconnected() bool {
	if c == nil || c.conn == nil {
		return false
	}
	ended := false
	err := c.conn.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		ended = (err == nil && n == 0) || (err != nil && err != unix.EAGAIN && err != unix.EINTR)
	})
	return ended || err != nil
}

// awaitDisconnect waits for the given time and returns a *control.ClientDisconnectedError if the client has disconnected by then.
func awaitDisconnect(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	if ctx.Err() != nil || operatorConnOf(ctx).disconnected() {
		return &control.ClientDisconnectedError{}
	}
	return nil
}

// disconnectWaitFor returns how long an operator request waits for its client to disconnect. A request that names the version it is based on
// does not need to wait: if later requests have taken effect since it was sent, that version is no longer current and the request fails.
// A read does not need to wait either.
func disconnectWaitFor(op control.Op) time.Duration {
	switch op.(type) {
	case control.Put, control.Edit, control.Get:
		return 0
	}
	return disconnectWait
}
