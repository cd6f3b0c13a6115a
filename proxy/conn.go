package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

// InvalidResponseError says that what came in the place of an answer is none.
type InvalidResponseError struct{ Cause error }

func (e *InvalidResponseError) Error() string { return "no answer: " + e.Cause.Error() }

func (e *InvalidResponseError) Unwrap() error { return e.Cause }

// UnexpectedStatusError names a status that no answer to this request may have.
type UnexpectedStatusError struct{ Status int }

func (e *UnexpectedStatusError) Error() string { return "status " + strconv.Itoa(e.Status) }

type conn struct {
	net     net.Conn
	raw     syscall.RawConn
	key     key
	source  io.LimitedReader
	reader  *bufio.Reader
	attempt string
	used    bool
	// hadHEAD tells that a HEAD request was written: a late answer to it has a length, but no body.
	hadHEAD bool
	// usableUntil is when the connection is too old to be used, safeUntil when it is for requests that may not be repeated.
	usableUntil, safeUntil time.Time
	unacked                time.Duration
	quiet                  bool
	inspect                func(fd uintptr)
}

const (
	noBound  = 1 << 62
	maxEarly = 8
)

func newConn(nc net.Conn, k key, unacked time.Duration) (*conn, error) {
	c := &conn{net: nc, key: k, source: io.LimitedReader{R: nc, N: noBound}, unacked: unacked}
	c.reader = bufio.NewReaderSize(&c.source, 4096)
	var err error
	if c.raw, err = nc.(*net.TCPConn).SyscallConn(); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	c.inspect = func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		c.quiet = err == unix.EAGAIN
	}
	return c, nil
}

// alive tells whether the connection is neither closed nor holds bytes that nobody asked for.
func (c *conn) alive() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	c.quiet = false
	return c.raw.Control(c.inspect) == nil && c.quiet
}

// setUserTimeout lets a request that is longer than the window wait unsent for d. TCP_USER_TIMEOUT, which is to end connections to machines
// that are gone, also ends those to a live replica that does not read on.
func (c *conn) setUserTimeout(d time.Duration) {
	if d == c.unacked {
		return
	}
	c.unacked = d
	_ = c.raw.Control(func(fd uintptr) { _ = setUserTimeout(fd, d) })
}

func setUserTimeout(fd uintptr, d time.Duration) error {
	return unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
}

const joined = 64 << 10

// write sends the request; head has room after it for what is not long.
func (c *conn) write(head *buffer, body []byte) (int, error) {
	c.used = true
	var err error
	var n int
	if len(body) <= joined {
		head.b = append(head.b, body...)
		n, err = c.net.Write(head.b)
		return n, trace.Wrap(err)
	}
	bs := net.Buffers{head.b, body}
	n64, err := bs.WriteTo(c.net)
	return int(n64), trace.Wrap(err)
}

func (c *conn) read(r *http.Request, headBytes int) (*http.Response, error) {
	c.source.N = int64(headBytes)
	defer func() { c.source.N = noBound }()
	var err error
	var resp *http.Response
	for range maxEarly {
		resp, err = http.ReadResponse(c.reader, r)
		if err != nil {
			return nil, trace.Wrap(&InvalidResponseError{Cause: err})
		}
		if resp.StatusCode/100 != 1 {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	return nil, trace.Wrap(&InvalidResponseError{Cause: &UnexpectedStatusError{Status: resp.StatusCode}})
}

// setIdle says how long the connection may be idle after the answer. A replica that names no whole second may close it sooner than one.
func (c *conn) setIdle(h http.Header, set Settings) {
	idle, sure := set.IdleTimeout, set.IdleTimeoutNonIdempotent
	for _, v := range h["Keep-Alive"] {
		for part := range strings.SplitSeq(v, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
			if secs, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
				advertised := time.Duration(secs) * time.Second
				idle, sure = advertised*4/5-set.IdleMargin, advertised/2
			}
		}
	}
	now := time.Now()
	c.usableUntil, c.safeUntil = now.Add(idle), now.Add(min(idle, sure))
}
