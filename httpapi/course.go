package httpapi

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/mallowbridge/mallowbridge"
)

const headBytes = 64 << 10

type course struct {
	g      *Gate
	place  mallowbridge.Decision
	x      *Exchange
	steps  chan mallowbridge.Wire
	orders chan mallowbridge.MoveKind
	quit   chan struct{}
}

func (g *Gate) start(x *Exchange, place mallowbridge.Decision) (c *course) {
	c = &course{
		g: g, place: place, x: x, steps: make(chan mallowbridge.Wire), orders: make(chan mallowbridge.MoveKind, 2), quit: make(chan struct{}),
	}
	go c.run()
	return c
}

func (c *course) stop() { close(c.quit) }

func (c *course) give(s mallowbridge.Wire) (ok bool) {
	select {
	case c.steps <- s:
		return true
	case <-c.quit:
		return false
	}
}

func (c *course) run() {
	conn, err := net.DialTimeout("tcp", c.place.Addr, c.g.limits.Dial)
	if err != nil {
		c.give(mallowbridge.Dialed{Go: c.place.Go})
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
	if !c.give(mallowbridge.Dialed{Go: c.place.Go, OK: true}) {
		return
	}
	for {
		select {
		case m := <-c.orders:
			if m == mallowbridge.Write {
				_ = c.talk(conn)
				c.give(mallowbridge.Lost{Go: c.place.Go})
				return
			}
			if !c.give(mallowbridge.Vouched{Go: c.place.Go, How: c.g.witness(c.x.request, c.place.Spare, false)}) {
				return
			}
		case <-c.quit:
			return
		}
	}
}

func (c *course) talk(conn net.Conn) (err error) {
	_ = conn.SetWriteDeadline(time.Now().Add(c.g.limits.Write))
	req := c.request()
	if err = req.Write(conn); err != nil {
		return err
	}
	_ = conn.SetReadDeadline(time.Now().Add(c.g.limits.Head))
	src := &io.LimitedReader{R: conn, N: headBytes}
	r := bufio.NewReader(src)
	resp, err := http.ReadResponse(r, req)
	for err == nil && resp.StatusCode/100 == 1 {
		resp, err = http.ReadResponse(r, req)
	}
	if err != nil {
		return err
	}
	src.N = 1 << 62
	defer resp.Body.Close()
	replied := mallowbridge.Replied{Go: c.place.Go, Attempt: resp.Header.Get("X-Request-Attempt-Id"), Status: resp.StatusCode}
	if !c.give(replied) {
		return nil
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, 4096), c.g.limits.LineBytes)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(c.g.limits.Line))
		if !lines.Scan() {
			return lines.Err()
		}
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue
		}
		var l mallowbridge.Line
		if err = json.Unmarshal(lines.Bytes(), &l); err != nil {
			return err
		}
		if !c.give(mallowbridge.Read{Go: c.place.Go, Line: l}) {
			return nil
		}
	}
}

func (c *course) request() (req *http.Request) {
	req = &http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: c.place.Addr, Path: "/v1/run"}, Host: c.place.Addr,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}, Close: true,
		Body: io.NopCloser(bytes.NewReader(c.x.body)), ContentLength: int64(len(c.x.body)),
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Id", c.x.request)
	req.Header.Set("X-Request-Attempt-Id", c.place.Go)
	if c.x.prefix != "" {
		req.Header.Set("X-Prompt-Prefix", c.x.prefix)
	}
	if c.place.Prefill != "" {
		req.Header.Set("X-Prefill-Replica", c.place.Prefill)
	}
	return req
}
