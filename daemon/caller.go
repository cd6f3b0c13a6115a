package daemon

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/mallowbridge/mallowbridge/control"
)

// callerWait is how long an order that names no version waits for the end of its caller's connection: the shortest retransmission time-out of
// TCP. What a partition held up comes at once when it heals, the order first, and the end that its caller sent since right behind it.
const callerWait = 200 * time.Millisecond

// caller is who waits for the answer to a request: the connection that it came on, and when that was accepted.
type caller struct {
	acceptedAt time.Duration
	// conn is nil where the connection is none of the operating system's.
	conn syscall.RawConn
}

type callerKey struct{}

func newCaller(conn net.Conn, acceptedAt time.Duration) *caller {
	c := &caller{acceptedAt: acceptedAt}
	if socket, ok := conn.(syscall.Conn); ok {
		c.conn, _ = socket.SyscallConn()
	}
	return c
}

// callerOf gives the caller of a request, nil where nobody noted it.
func callerOf(ctx context.Context) *caller {
	c, _ := ctx.Value(callerKey{}).(*caller)
	return c
}

// left tells whether the caller has closed or reset the connection. It asks the socket: the request's context may learn of it later.
func (c *caller) left() bool {
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

// awaitCaller waits for so long and fails with a control.CallerLeftError if the request's caller leaves meanwhile or has left.
func awaitCaller(ctx context.Context, wait time.Duration) error {
	passed := time.NewTimer(wait)
	defer passed.Stop()
	select {
	case <-ctx.Done():
	case <-passed.C:
	}
	if ctx.Err() != nil || callerOf(ctx).left() {
		return &control.ClientDisconnectedError{}
	}
	return nil
}

// waitFor is how long an order waits for its caller to leave. One that names the version it builds on needs no wait: later orders have
// changed that version.
func waitFor(op control.Op) time.Duration {
	switch op.(type) {
	case control.Put, control.Edit, control.Get:
		return 0
	}
	return callerWait
}
