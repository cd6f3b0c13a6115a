package proxy

import (
	"time"

	"golang.org/x/sys/unix"
)

// timeSinceReceive returns how long ago the kernel received the newest bytes from the client. The time is long when this process or its
// machine was stopped while the bytes waited in the socket buffer. It is 0 when the kernel does not report it.
func (c *client) timeSinceReceive() time.Duration {
	raw, err := c.TCPConn.SyscallConn()
	if err != nil {
		return 0
	}
	if c.readTCPInfo == nil {
		c.readTCPInfo = func(fd uintptr) {
			c.sinceLastBytes = 0
			if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
				c.sinceLastBytes = time.Duration(info.Last_data_recv) * time.Millisecond
			}
		}
	}
	if raw.Control(c.readTCPInfo) != nil {
		return 0
	}
	return c.sinceLastBytes
}

// takeArrivalTime returns when the first bytes of the current request reached this machine and clears that time. It returns the current
// time if those bytes were read together with the previous request.
func (c *client) takeArrivalTime() time.Time {
	var at time.Time
	at, c.firstByteAt = c.firstByteAt, time.Time{}
	if at.IsZero() {
		return time.Now()
	}
	return at
}
