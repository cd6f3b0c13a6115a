package ferry

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

// AnswerError says that what came in the place of an answer is none.
type AnswerError struct{ Cause error }

func (e *AnswerError) Error() (text string) { return "no answer: " + e.Cause.Error() }

func (e *AnswerError) Unwrap() (err error) { return e.Cause }

// StatusError names a status that no answer to this request may have.
type StatusError struct{ Status int }

func (e *StatusError) Error() (text string) { return "status " + strconv.Itoa(e.Status) }

type conn struct {
	nc      net.Conn
	raw     syscall.RawConn
	key     key
	src     io.LimitedReader
	r       *bufio.Reader
	attempt string
	used    bool
	until   time.Time
	quiet   bool
	look    func(fd uintptr)
}

const (
	noBound  = 1 << 62
	maxEarly = 8
)

func newConn(nc net.Conn, k key) (c *conn, err error) {
	c = &conn{nc: nc, key: k, src: io.LimitedReader{R: nc, N: noBound}}
	c.r = bufio.NewReaderSize(&c.src, 4096)
	if c.raw, err = nc.(*net.TCPConn).SyscallConn(); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	c.look = func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		c.quiet = err == unix.EAGAIN
	}
	return c, nil
}

// fresh tells whether the connection is neither closed nor holds bytes that nobody asked for.
func (c *conn) fresh() (yes bool) {
	if c.r.Buffered() > 0 || !time.Now().Before(c.until) {
		return false
	}
	c.quiet = false
	return c.raw.Control(c.look) == nil && c.quiet
}

const joined = 64 << 10

func (c *conn) write(head, body []byte) (err error) {
	c.used = true
	if len(body) <= joined {
		_, err = c.nc.Write(append(head, body...))
	} else {
		bs := net.Buffers{head, body}
		_, err = bs.WriteTo(c.nc)
	}
	return trace.Wrap(err)
}

func (c *conn) read(r *http.Request, headBytes int) (resp *http.Response, err error) {
	c.src.N = int64(headBytes)
	defer func() { c.src.N = noBound }()
	for range maxEarly {
		resp, err = http.ReadResponse(c.r, r)
		if err != nil {
			return nil, trace.Wrap(&AnswerError{Cause: err})
		}
		if resp.StatusCode/100 != 1 {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	return nil, trace.Wrap(&AnswerError{Cause: &StatusError{Status: resp.StatusCode}})
}

// rest is how long the connection may be kept idle after the answer.
func (c *conn) rest(h http.Header, set Settings) (d time.Duration) {
	for _, v := range h["Keep-Alive"] {
		for part := range strings.SplitSeq(v, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
			if secs, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
				return time.Duration(secs)*time.Second*4/5 - set.IdleMargin
			}
		}
	}
	return set.Idle
}
