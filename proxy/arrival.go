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
	if c.look == nil {
		c.look = func(fd uintptr) {
			c.rested = 0
			if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
				c.rested = time.Duration(info.Last_data_recv) * time.Millisecond
			}
		}
	}
	if raw.Control(c.look) != nil {
		return 0
	}
	return c.rested
}

// arrival gives when the request that is being served reached this machine, once; now where its bytes came along with earlier ones.
func (c *client) arrival() time.Time {
	var at time.Time
	at, c.came = c.came, time.Time{}
	if at.IsZero() {
		return time.Now()
	}
	return at
}
