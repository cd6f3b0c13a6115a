package gate

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

type step struct {
	line  mallowbridge.Line
	end   mallowbridge.How
	leave bool
	cause error
}

type course struct {
	g      *Gate
	place  mallowbridge.Decision
	x      *Exchange
	steps  chan step
	permit chan bool
	quit   chan struct{}
}

func (g *Gate) start(x *Exchange, place mallowbridge.Decision) (c *course) {
	c = &course{g: g, place: place, x: x, steps: make(chan step), permit: make(chan bool, 1), quit: make(chan struct{})}
	go c.run()
	return c
}

func (c *course) stop() { close(c.quit) }

func (c *course) give(s step) (ok bool) {
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
		c.give(step{end: mallowbridge.Unreached, cause: err})
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
	if !c.give(step{leave: true}) {
		return
	}
	select {
	case ok := <-c.permit:
		if !ok {
			return
		}
	case <-c.quit:
		return
	}
	if c.place.Once && !c.g.witness(c.x.request) {
		c.give(step{end: mallowbridge.Withheld})
		return
	}
	how, err := c.talk(conn)
	c.give(step{end: how, cause: err})
}

func (c *course) talk(conn net.Conn) (how mallowbridge.How, err error) {
	_ = conn.SetWriteDeadline(time.Now().Add(c.g.limits.Write))
	req := c.request()
	if err = req.Write(conn); err != nil {
		return mallowbridge.Broken, err
	}
	_ = conn.SetReadDeadline(time.Now().Add(c.g.limits.Head))
	src := &io.LimitedReader{R: conn, N: headBytes}
	r := bufio.NewReader(src)
	resp, err := http.ReadResponse(r, req)
	for err == nil && resp.StatusCode/100 == 1 {
		resp, err = http.ReadResponse(r, req)
	}
	if err != nil {
		return mallowbridge.Broken, err
	}
	src.N = 1 << 62
	defer resp.Body.Close()
	if got := resp.Header.Get("X-Request-Attempt-Id"); got != c.place.Go {
		return mallowbridge.Broken, &mallowbridge.StrandError{Field: "X-Request-Attempt-Id", Got: got, Want: c.place.Go}
	}
	if resp.StatusCode == http.StatusTooManyRequests {
		return mallowbridge.Refused, nil
	}
	if resp.StatusCode != http.StatusOK {
		return mallowbridge.Broken, &mallowbridge.StrandError{Field: "status", Got: resp.Status, Want: "200 OK"}
	}
	return c.stream(conn, resp.Body)
}

func (c *course) stream(conn net.Conn, body io.Reader) (how mallowbridge.How, err error) {
	strand := mallowbridge.Strand{Go: c.place.Go}
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), c.g.limits.LineBytes)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(c.g.limits.Line))
		if !lines.Scan() {
			if err = lines.Err(); err == nil {
				err = io.ErrUnexpectedEOF
			}
			return mallowbridge.Broken, err
		}
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue
		}
		var l mallowbridge.Line
		if err = json.Unmarshal(lines.Bytes(), &l); err != nil {
			return mallowbridge.Broken, err
		}
		if err = strand.Take(l); err != nil {
			return mallowbridge.Broken, err
		}
		if !c.give(step{line: l}) {
			return mallowbridge.Broken, nil
		}
		if strand.Ended() {
			return mallowbridge.Whole, nil
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
