package httpapi

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/mallowbridge/mallowbridge/router"
)

// headBytes bounds the head of a replica's answer.
const headBytes = 64 << 10

// replicaConn is one attempt at a replica: a connection of its own, whose goroutine reports to the session what happens on it.
type replicaConn struct {
	frontend  *Frontend
	placement router.Decision
	exchange  *Exchange
	events    chan router.ConnectionEvent
	orders    chan router.ActionKind
	quit      chan struct{}
}

// connect starts an attempt; stop ends it at once.
func (f *Frontend) connect(x *Exchange, place router.Decision) *replicaConn {
	c := &replicaConn{
		frontend: f, placement: place, exchange: x, events: make(chan router.ConnectionEvent), orders: make(chan router.ActionKind, 2), quit: make(chan struct{}),
	}
	go c.run()
	return c
}

func (c *replicaConn) stop() { close(c.quit) }

// report gives the session an event; it is not ok once the attempt was stopped.
func (c *replicaConn) report(s router.ConnectionEvent) bool {
	select {
	case c.events <- s:
		return true
	case <-c.quit:
		return false
	}
}

func (c *replicaConn) run() {
	conn, err := net.DialTimeout("tcp", c.placement.Addr, c.frontend.limits.DialTimeout)
	if err != nil {
		c.report(router.ConnectResult{AttemptID: c.placement.AttemptID})
		return
	}
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-c.quit:
		case <-done:
		}
		_ = conn.Close()
	}()
	if !c.report(router.ConnectResult{AttemptID: c.placement.AttemptID, OK: true}) {
		return
	}
	c.perform(conn)
}

// perform asks the witnesses and sends the request as the session orders, and ends with the answer.
func (c *replicaConn) perform(conn net.Conn) {
	for {
		select {
		case order := <-c.orders:
			if order == router.Write {
				_ = c.sendAndRead(conn)
				c.report(router.ConnectionLost{AttemptID: c.placement.AttemptID})
				return
			}
			how := c.frontend.witness(c.exchange.request, c.placement.SpareTime, false)
			if !c.report(router.WitnessesAnswered{AttemptID: c.placement.AttemptID, Result: how}) {
				return
			}
		case <-c.quit:
			return
		}
	}
}

// sendAndRead sends the request and reports the answer's head and lines until it ends or fails.
func (c *replicaConn) sendAndRead(conn net.Conn) error {
	_ = conn.SetWriteDeadline(time.Now().Add(c.frontend.limits.WriteTimeout))
	req := c.request()
	var err error
	if err = req.Write(conn); err != nil {
		return err
	}
	_ = conn.SetReadDeadline(time.Now().Add(c.frontend.limits.ResponseHeadTimeout))
	resp, err := readHead(conn, req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	replied := router.ResponseHeadRead{AttemptID: c.placement.AttemptID, EchoedAttemptID: resp.Header.Get("X-Request-Attempt-Id"), Status: resp.StatusCode}
	if !c.report(replied) {
		return nil
	}
	return c.readLines(conn, resp.Body)
}

// readHead reads the head of an answer, of bounded length, and passes over interim ones.
func readHead(conn net.Conn, req *http.Request) (*http.Response, error) {
	src := &io.LimitedReader{R: conn, N: headBytes}
	r := bufio.NewReader(src)
	resp, err := http.ReadResponse(r, req)
	for err == nil && resp.StatusCode/100 == 1 {
		resp, err = http.ReadResponse(r, req)
	}
	src.N = math.MaxInt64
	return resp, err
}

func (c *replicaConn) readLines(conn net.Conn, body io.Reader) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), c.frontend.limits.MaxLineBytes)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(c.frontend.limits.ResponseLineTimeout))
		if !lines.Scan() {
			return lines.Err()
		}
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue
		}
		var l router.ResponseLine
		if err := json.Unmarshal(lines.Bytes(), &l); err != nil {
			return err
		}
		if !c.report(router.ResponseLineRead{AttemptID: c.placement.AttemptID, Line: l}) {
			return nil
		}
	}
}

func (c *replicaConn) request() *http.Request {
	req := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: c.placement.Addr, Path: "/v1/run"}, Host: c.placement.Addr,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}, Close: true,
		Body: io.NopCloser(bytes.NewReader(c.exchange.body)), ContentLength: int64(len(c.exchange.body)),
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Id", c.exchange.request)
	req.Header.Set("X-Request-Attempt-Id", c.placement.AttemptID)
	if c.exchange.prefix != "" {
		req.Header.Set("X-Prompt-Prefix", c.exchange.prefix)
	}
	if c.placement.Prefill != "" {
		req.Header.Set("X-Prefill-Replica", c.placement.Prefill)
	}
	return req
}
