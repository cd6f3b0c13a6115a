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

// maxResponseHeadBytes is the maximum length of the head of a replica's response.
const maxResponseHeadBytes = 64 << 10

// replicaConn is one attempt of a request. It has its own connection to a replica and its own goroutine, which reports the events on the
// connection to the session.
type replicaConn struct {
	frontend  *Frontend
	placement router.Decision
	exchange  *Exchange
	// events contains the events for the session.
	events chan router.ConnectionEvent
	// actions contains the session's actions for this connection: router.AskWitnesses and router.Write.
	actions chan router.ActionKind
	// stopped is closed by stop.
	stopped chan struct{}
}

// connect starts an attempt, which runs until it ends or stop is called.
func (f *Frontend) connect(x *Exchange, place router.Decision) *replicaConn {
	c := &replicaConn{
		frontend: f, placement: place, exchange: x, events: make(chan router.ConnectionEvent), actions: make(chan router.ActionKind, 2), stopped: make(chan struct{}),
	}
	go c.run()
	return c
}

// stop ends the attempt at once and closes its connection.
func (c *replicaConn) stop() { close(c.stopped) }

// report passes an event to the session. It returns false if the attempt was stopped.
func (c *replicaConn) report(event router.ConnectionEvent) bool {
	select {
	case c.events <- event:
		return true
	case <-c.stopped:
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
		case <-c.stopped:
		case <-done:
		}
		_ = conn.Close()
	}()
	if !c.report(router.ConnectResult{AttemptID: c.placement.AttemptID, OK: true}) {
		return
	}
	c.perform(conn)
}

// perform performs the session's actions, asking the witnesses and sending the request, until the response ends or the attempt is stopped.
func (c *replicaConn) perform(conn net.Conn) {
	for {
		select {
		case action := <-c.actions:
			if action == router.Write {
				_ = c.sendAndRead(conn)
				c.report(router.ConnectionLost{AttemptID: c.placement.AttemptID})
				return
			}
			result := c.frontend.checkWitnesses(c.exchange.requestID, c.placement.SpareTime, false)
			if !c.report(router.WitnessesAnswered{AttemptID: c.placement.AttemptID, Result: result}) {
				return
			}
		case <-c.stopped:
			return
		}
	}
}

// sendAndRead sends the request and reports the head and the lines of the response until it ends or fails.
func (c *replicaConn) sendAndRead(conn net.Conn) error {
	_ = conn.SetWriteDeadline(time.Now().Add(c.frontend.limits.WriteTimeout))
	req := c.newRequest()
	var err error
	if err = req.Write(conn); err != nil {
		return err
	}
	_ = conn.SetReadDeadline(time.Now().Add(c.frontend.limits.ResponseHeadTimeout))
	resp, err := readResponseHead(conn, req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	head := router.ResponseHeadRead{AttemptID: c.placement.AttemptID, EchoedAttemptID: resp.Header.Get("X-Request-Attempt-Id"), Status: resp.StatusCode}
	if !c.report(head) {
		return nil
	}
	return c.readLines(conn, resp.Body)
}

// readResponseHead reads the head of a response, at most maxResponseHeadBytes. It skips interim (1xx) responses.
func readResponseHead(conn net.Conn, req *http.Request) (*http.Response, error) {
	src := &io.LimitedReader{R: conn, N: maxResponseHeadBytes}
	r := bufio.NewReader(src)
	resp, err := http.ReadResponse(r, req)
	for err == nil && resp.StatusCode/100 == 1 {
		resp, err = http.ReadResponse(r, req)
	}
	src.N = math.MaxInt64
	return resp, err
}

// readLines reports the lines of a response's body, each of which is a JSON object. Blank lines are skipped.
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

// newRequest returns the HTTP request for the replica.
func (c *replicaConn) newRequest() *http.Request {
	req := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: c.placement.Addr, Path: "/v1/run"}, Host: c.placement.Addr,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}, Close: true,
		Body: io.NopCloser(bytes.NewReader(c.exchange.body)), ContentLength: int64(len(c.exchange.body)),
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Id", c.exchange.requestID)
	req.Header.Set("X-Request-Attempt-Id", c.placement.AttemptID)
	if c.exchange.prefix != "" {
		req.Header.Set("X-Prompt-Prefix", c.exchange.prefix)
	}
	if c.placement.Prefill != "" {
		req.Header.Set("X-Prefill-Replica", c.placement.Prefill)
	}
	return req
}
