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

// InvalidResponseError reports that the replica sent something that is not a valid HTTP response.
type InvalidResponseError struct{ Cause error }

func (e *InvalidResponseError) Error() string { return "invalid response: " + e.Cause.Error() }

func (e *InvalidResponseError) Unwrap() error { return e.Cause }

// UnexpectedStatusError reports a status that is not allowed in the response to this request.
type UnexpectedStatusError struct{ Status int }

func (e *UnexpectedStatusError) Error() string { return "unexpected status " + strconv.Itoa(e.Status) }

// conn is a connection to a replica.
type conn struct {
	net     net.Conn
	raw     syscall.RawConn
	replica poolKey
	source  io.LimitedReader
	reader  *bufio.Reader
	// lastAttemptID is the attempt ID of the last request written; written is set once any request has been.
	lastAttemptID string
	written       bool
	// sentHEAD is set once a HEAD request was written. A late or duplicate response to it has a Content-Length but no body, so it can't be skipped.
	sentHEAD bool
	// usableUntil is when the connection becomes too old to be reused; usableUntilNonRetryable is the same, usually earlier, time for
	// requests that must not be sent twice. Both are zero until the connection has been idle.
	usableUntil, usableUntilNonRetryable time.Time
	// userTimeout is the current TCP_USER_TIMEOUT of the socket.
	userTimeout time.Duration
	// noneReadable is set by peek if the socket is open and has no bytes to read.
	noneReadable bool
	peek         func(fd uintptr)
}

const (
	// unlimited is the read limit while no response head is being read.
	unlimited = 1 << 62
	// maxInformational bounds how many informational responses (1xx) may precede the final one.
	maxInformational = 8
)

func newConn(tcp net.Conn, replica poolKey, userTimeout time.Duration) (*conn, error) {
	c := &conn{net: tcp, replica: replica, source: io.LimitedReader{R: tcp, N: unlimited}, userTimeout: userTimeout}
	c.reader = bufio.NewReaderSize(&c.source, 4096)
	var err error
	if c.raw, err = tcp.(*net.TCPConn).SyscallConn(); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	c.peek = func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		c.noneReadable = err == unix.EAGAIN
	}
	return c, nil
}

// alive reports whether the connection is open and has no unread bytes. Between requests any received byte is unexpected, and such a
// connection must not be reused.
func (c *conn) alive() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	c.noneReadable = false
	return c.raw.Control(c.peek) == nil && c.noneReadable
}

// setUserTimeout changes TCP_USER_TIMEOUT, so that a request that is longer than the receive window may stay unacknowledged for d. The
// option is meant to end connections to machines that are gone, but it also ends those to a live replica that stops reading for a while.
func (c *conn) setUserTimeout(d time.Duration) {
	if d == c.userTimeout {
		return
	}
	c.userTimeout = d
	_ = c.raw.Control(func(fd uintptr) { _ = setUserTimeout(fd, d) })
}

func setUserTimeout(fd uintptr, d time.Duration) error {
	return unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
}

// maxJoinedBodyBytes is the longest body that is copied behind the request head and sent with a single write.
const maxJoinedBodyBytes = 64 << 10

// write sends the request and returns how many bytes the kernel accepted. It appends short bodies to head.
func (c *conn) write(head *buffer, body []byte) (int, error) {
	c.written = true
	var err error
	var n int
	if len(body) <= maxJoinedBodyBytes {
		head.b = append(head.b, body...)
		n, err = c.net.Write(head.b)
		return n, trace.Wrap(err)
	}
	bs := net.Buffers{head.b, body}
	n64, err := bs.WriteTo(c.net)
	return int(n64), trace.Wrap(err)
}

// read reads the head of the final response, which may have at most headBytes including the informational responses before it.
func (c *conn) read(r *http.Request, headBytes int) (*http.Response, error) {
	c.source.N = int64(headBytes)
	defer func() { c.source.N = unlimited }()
	var err error
	var resp *http.Response
	for range maxInformational {
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

// setIdleLimits sets how long the connection may be idle after a response with header h. A Keep-Alive timeout from the replica takes
// precedence over the settings: the connection is reused for four fifths of it less IdleMargin, and for half of it by requests that must
// not be sent twice. A replica that names 0 seconds may close the connection at any time within the first second, so that connection is not
// reused.
func (c *conn) setIdleLimits(h http.Header, settings Settings) {
	idle, nonRetryable := settings.IdleTimeout, settings.IdleTimeoutNonRetryable
	for _, v := range h["Keep-Alive"] {
		for part := range strings.SplitSeq(v, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
			if secs, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
				advertised := time.Duration(secs) * time.Second
				idle, nonRetryable = advertised*4/5-settings.IdleMargin, advertised/2
			}
		}
	}
	now := time.Now()
	c.usableUntil, c.usableUntilNonRetryable = now.Add(idle), now.Add(min(idle, nonRetryable))
}
