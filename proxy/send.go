package proxy

import (
	"context"
	"errors"
	"net/http"
	"os"
	"strconv"
	"time"
)

// sendAndRead writes the request to the replica and reads the head of its response. If the request must not be sent twice, a response that
// belongs to an earlier request on the connection is skipped, provided that its end is certain; otherwise the attempt fails.
func (x *transfer) sendAndRead() {
	if s := x.send(); s != nil {
		x.signal(s)
		return
	}
	for range maxResponsesRead {
		resp, err := x.conn.read(x.r, x.proxy.settings.MaxResponseHeadBytes)
		if err != nil {
			x.reportReadFailure(err)
			return
		}
		x.resp = resp
		s := x.responseHead(resp)
		if !s.Mismatched || s.CloseDelimited || x.exchange.retryable || x.conn.sentHEAD || !x.discard() {
			x.signal(s)
			return
		}
	}
	x.disconnect()
	x.signal(ConnectionLost{})
}

// maxResponsesRead bounds how many responses are read while looking for the one that belongs to the request.
const maxResponsesRead = 4

// send writes the request and returns the signal to report if that failed, else nil. It reads the clock before each write, because this
// machine may have been stopped since the router permitted the request to be sent, or while a connection was being opened.
func (x *transfer) send() Signal {
	if x.reused && !x.connUsable(time.Now()) && !x.reconnect() {
		return Unwritten{}
	}
	for {
		now, expiry := time.Now(), x.expiry()
		if !expiry.IsZero() && expiry.Sub(now) < time.Millisecond {
			return DeadlinePassed{Unwritten: true}
		}
		n, err := x.write(now, expiry)
		switch {
		case err == nil:
			return nil
		case x.r.Context().Err() != nil:
			return ClientDisconnected{}
		case errors.Is(err, os.ErrDeadlineExceeded):
			return DeadlinePassed{Unwritten: n == 0}
		case n > 0:
			x.disconnect()
			return ConnectionLost{}
		case !x.reused || !x.reconnect():
			return Unwritten{}
		}
	}
}

// connUsable reports whether a reused connection may still be used: time has passed since it was taken from the pool, as the router had to
// permit sending first.
func (x *transfer) connUsable(now time.Time) bool {
	if x.exchange.retryable {
		return now.Before(x.conn.usableUntil)
	}
	return now.Before(x.conn.usableUntilNonRetryable) && x.conn.alive()
}

// write hands the request to the kernel; n is how many bytes the kernel accepted. The deadline of the connection is later than that of the
// request by the DeadlineGrace time.
func (x *transfer) write(now, expiry time.Time) (n int, err error) {
	c, connDeadline, userTimeout := x.conn, time.Time{}, x.proxy.settings.UserTimeout
	if !expiry.IsZero() {
		connDeadline = expiry.Add(x.proxy.settings.DeadlineGrace)
		if len(x.body) > x.proxy.settings.ReceiveWindow {
			userTimeout = max(userTimeout, connDeadline.Sub(now))
		}
	}
	x.stopClosingOnCancel = context.AfterFunc(x.r.Context(), func() { _ = c.net.Close() })
	_ = c.net.SetDeadline(connDeadline)
	c.lastAttemptID, c.sentHEAD = x.attemptID(), c.sentHEAD || x.r.Method == http.MethodHead
	c.setUserTimeout(userTimeout)
	overrides := x.overrides(expiry.Sub(now).Milliseconds())
	head := getBuffer()
	defer putBuffer(head)
	head.b = requestHead(head.b, x.r, len(x.body), &overrides)
	return c.write(head, x.body)
}

// reconnect replaces a reused connection that can't be written to by a new one.
func (x *transfer) reconnect() bool {
	if x.stopClosingOnCancel != nil {
		x.stopClosingOnCancel()
		x.stopClosingOnCancel = nil
	}
	old := x.conn
	x.conn, x.reused = nil, false
	c, err := x.proxy.pool.replace(x.r.Context(), old)
	if err != nil {
		x.proxy.Counters.Unwritten.Add(1)
		return false
	}
	x.conn = c
	return true
}

// overrides returns the headers that the proxy sets or removes; leftMs is the remaining time of the request in milliseconds.
func (x *transfer) overrides(leftMs int64) headerOverrides {
	names, placement := &x.proxy.headers, &x.exchange.Placement
	var overrides headerOverrides
	if names.Credential != "" {
		overrides.set(names.Credential, "")
	}
	if names.Tenant != "" {
		overrides.set(names.Tenant, placement.Tenant)
	}
	if placement.Instance != "" && names.TargetInstance != "" {
		overrides.set(names.TargetInstance, placement.Instance)
	}
	if !x.deadline.IsZero() {
		overrides.set(names.Deadline, strconv.FormatInt(leftMs, 10))
	}
	if placement.Route != nil && names.Priority != "" && x.r.Header[names.Priority] == nil {
		overrides.set(names.Priority, strconv.Itoa(placement.Priority))
	}
	if x.resumes() {
		overrides.set(lastEventIDHeader, x.events.LastID)
	}
	if version := x.expectedVersion(); version != "" {
		overrides.set(names.ExpectedVersion, version)
	}
	return overrides
}

// resumes reports whether this attempt is to continue a stream after the last event that the client has.
func (x *transfer) resumes() bool {
	return x.exchange.Placement.Resumes && x.headWritten && x.events.LastID != ""
}

// expectedVersion returns the weights version that the replica needs to continue the stream, or an empty string if any will do.
func (x *transfer) expectedVersion() string {
	if !x.resumes() || x.proxy.headers.ExpectedVersion == "" {
		return ""
	}
	return x.events.ExpectedVersion()
}
