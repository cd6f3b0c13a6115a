package rehearsal

import (
	"bufio"
	"math/rand/v2"
	"net"
	"time"
)

// keptConnection is a client's connection to one of the fronts. It is used until it breaks, whatever the answers say of it.
type keptConnection struct {
	fronts []string
	rng    *rand.Rand
	// front is that of the connection.
	front string
	conn  net.Conn
	in    *bufio.Reader
}

func (c *keptConnection) connect() bool {
	c.front = c.fronts[c.rng.IntN(len(c.fronts))]
	conn, err := net.DialTimeout("tcp", c.front, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.in = conn, bufio.NewReader(conn)
	return true
}

func (c *keptConnection) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}
