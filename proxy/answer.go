package proxy

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"
)

func (x *transfer) replied(resp *http.Response) ResponseHeadRead {
	h, place := &x.proxy.headers, &x.exchange.Placement
	var s ResponseHeadRead
	s.Status = resp.StatusCode
	s.CloseDelimited = resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
	if first(resp.Header, h.AttemptID) != x.attempt() {
		x.proxy.Counters.Surplus.Add(1)
		s.Mismatched = true
		return s
	}
	s.NotExecuted = h.NotExecuted != "" && resp.Header[h.NotExecuted] != nil
	s.Unsealed = h.Seal != "" && resp.Header[h.Seal] == nil
	if h.Instance != "" {
		s.Instance = first(resp.Header, h.Instance)
	}
	s.Stream = place.Route != nil && place.Route.Streaming && isEventStream(resp)
	x.stream = s.Stream
	s.VersionRequested = x.expectedVersion() != ""
	s.VersionMismatch = x.headed && h.WeightsVersion != "" && !x.events.AcceptsVersion(first(resp.Header, h.WeightsVersion))
	if v := first(resp.Header, h.Load); v != "" && h.ParseLoad != nil {
		if load, ok := h.ParseLoad(v); ok {
			load.Replica = place.Replica
			s.Load = &load
		}
	}
	return s
}

// recycleConnection ends the use of a connection whose answer was read whole.
func (x *transfer) recycleConnection() {
	c := x.conn
	if c == nil {
		return
	}
	sound := x.release()
	x.release = nil
	if c.reader.Buffered() > 0 {
		x.proxy.Counters.Surplus.Add(1)
		sound = false
	}
	if !sound || x.resp.Close || x.nameless() {
		x.disconnect()
		return
	}
	c.setIdle(x.resp.Header, x.proxy.settings)
	x.releaseConnection()
}

const drained = 64 << 10

// discard reads over an answer that nobody gets, as long as it is not too long.
func (x *transfer) discard() bool {
	n, err := io.Copy(io.Discard, io.LimitReader(x.resp.Body, drained))
	return err == nil && n < drained
}

func (x *transfer) discardAnswer() {
	if x.discard() {
		x.recycleConnection()
	} else {
		x.disconnect()
	}
	x.signal(ResponseEnded{})
}

// connectionLost tells why a connection failed after the request was written to it.
func (x *transfer) connectionLost(err error) {
	switch {
	case x.r.Context().Err() != nil:
		x.signal(ClientDisconnected{})
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.signal(DeadlinePassed{})
	default:
		x.disconnect()
		x.signal(ConnectionLost{})
	}
}

func (x *transfer) head() {
	if x.headed {
		return
	}
	x.headed = true
	copyHead(x.w.Header(), x.resp.Header)
	x.connection()
	x.w.WriteHeader(x.resp.StatusCode)
}

// retryAfter tells the client when to come back.
func (x *transfer) retryAfter(d time.Duration) {
	x.w.Header().Set("Retry-After", strconv.FormatFloat(d.Seconds(), 'f', -1, 64))
}

// Values of SO_LINGER: closing resets the connection, or sends what is left as usual.
const (
	lingerReset = 0
	lingerUsual = -1
)

// linger says how the connection of a client before HTTP/1.1 ends. There the end of the connection is the end of the answer, so until an
// answer is complete its connection must end in a reset, also when this process is killed.
func (x *transfer) linger(seconds int) {
	if x.client != nil && !x.r.ProtoAtLeast(1, 1) {
		_ = x.client.SetLinger(seconds)
	}
}

var outcomes = map[Outcome]struct {
	name   string
	status int
}{
	Rejected: {"denied", http.StatusServiceUnavailable}, NotFound: {"not found", http.StatusNotFound},
	Unauthorized: {"unauthorized", http.StatusUnauthorized}, OverQuota: {"over quota", http.StatusTooManyRequests},
	Unknown: {"unknown", http.StatusBadGateway}, Expired: {"expired", http.StatusGatewayTimeout},
}

func (x *transfer) finish(m Action) {
	n := &x.proxy.Counters
	switch m.Outcome {
	case Completed:
		n.Done.Add(1)
		x.linger(lingerUsual)
		return
	case AbandonedByClient:
		n.Hangups.Add(1)
		panic(http.ErrAbortHandler)
	case Aborted:
		n.Aborted.Add(1)
		panic(http.ErrAbortHandler)
	case Rejected:
		n.Denied.Add(1)
	case NotFound:
		n.NotFound.Add(1)
	case OverQuota:
		n.OverQuota.Add(1)
	case Unauthorized:
		n.Unauthorized.Add(1)
	case Unknown:
		n.Unknown.Add(1)
	case Expired:
		n.Expired.Add(1)
	}
	if m.RetryAfter > 0 {
		x.retryAfter(m.RetryAfter)
	}
	o := outcomes[m.Outcome]
	x.answerWith(o.status, o.name, m.Reason)
}
