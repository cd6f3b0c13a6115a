package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// attempts numbers the tries of all clients.
var attempts atomic.Uint64

// request is what a client sends.
type request struct {
	path     string
	headers  map[string]string
	body     []byte
	deadline time.Duration
	// pace is how many bytes of the body are sent in a tenth of a second; 0: all at once.
	pace int
}

// outcome is what a client got. Status is 0 where no answer came; broke says why an answer is not whole.
type outcome struct {
	attempt, front string
	sent, lastByte time.Time
	ended          time.Time
	status         int
	body           string
	broke          error
	closed         bool
}

// client keeps one connection to a node.
type client struct {
	record *record
	front  string
	conn   net.Conn
	in     *bufio.Reader
}

func (c *client) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.front, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.in = conn, bufio.NewReader(conn)
	return nil
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// ask sends a request on the kept connection, or on a new one, and reads the whole answer.
func (c *client) ask(q request) outcome {
	o := outcome{attempt: fmt.Sprintf("%016x", attempts.Add(1)), front: c.front, sent: time.Now()}
	if o.broke = c.connect(); o.broke == nil {
		_ = c.conn.SetDeadline(o.sent.Add(q.deadline))
		o.broke = c.exchange(q, &o)
	}
	o.ended = time.Now()
	if o.broke != nil || o.closed {
		c.close()
	}
	c.record.say("client: %s POST %s (%d bytes) to %s: %d, %d bytes, broke: %v", o.attempt, q.path, len(q.body), c.front, o.status, len(o.body), o.broke)
	return o
}

func (c *client) exchange(q request, o *outcome) error {
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n",
		q.path, host, o.attempt, q.deadline.Milliseconds(), len(q.body))
	for name, value := range q.headers {
		head += name + ": " + value + "\r\n"
	}
	if _, err := io.WriteString(c.conn, head+"\r\n"); err != nil {
		return err
	}
	for rest := q.body; len(rest) > 0; {
		n := len(rest)
		if q.pace > 0 {
			n = min(n, q.pace)
			time.Sleep(100 * time.Millisecond)
		}
		// A node may answer, and close, before it has the whole body; the answer is read all the same.
		if _, err := c.conn.Write(rest[:n]); err != nil {
			break
		}
		rest = rest[n:]
	}
	o.lastByte = time.Now()
	resp, err := http.ReadResponse(c.in, &http.Request{Method: http.MethodPost})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	o.status, o.closed = resp.StatusCode, resp.Close
	raw, err := io.ReadAll(resp.Body)
	o.body = string(raw)
	return err
}
