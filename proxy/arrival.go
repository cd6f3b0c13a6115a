package proxy

import (
	"time"

	"golang.org/x/sys/unix"
)

// age is for how long the newest bytes have lain in the socket: long, where this process or its machine stood still.
func (c *client) age() time.Duration {
	raw, err := c.TCPConn.SyscallConn()
	if err != nil {
		return 0
	}
	if c.inspect == nil {
		c.inspect = func(fd uintptr) {
			c.sinceLastBytes = 0
			if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
				c.sinceLastBytes = time.Duration(info.Last_data_recv) * time.Millisecond
			}
		}
	}
	if raw.Control(c.inspect) != nil {
		return 0
	}
	return c.sinceLastBytes
}

// arrival gives when the request that is being served reached this machine, once; now where its bytes came along with earlier ones.
func (c *client) arrival() time.Time {
	var at time.Time
	at, c.firstByteAt = c.firstByteAt, time.Time{}
	if at.IsZero() {
		return time.Now()
	}
	return at
}
