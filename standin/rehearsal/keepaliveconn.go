package rehearsal

import (
	"bufio"
	"math/rand/v2"
	"net"
	"time"
)

// keepAliveConn is a client's connection to one of the frontends. The client uses it until it breaks, even if a response announces that it will be
// closed.
type keepAliveConn struct {
	frontends []string
	rng       *rand.Rand
	// frontend is the address at the other end of the connection.
	frontend string
	conn     net.Conn
	in       *bufio.Reader
}

// connect connects to a random frontend and reports whether that succeeded.
func (c *keepAliveConn) connect() bool {
	c.frontend = c.frontends[c.rng.IntN(len(c.frontends))]
	conn, err := net.DialTimeout("tcp", c.frontend, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.in = conn, bufio.NewReader(conn)
	return true
}

func (c *keepAliveConn) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}
