package proxy

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"
)

// responseHead returns the signal that describes the head of a response.
func (x *transfer) responseHead(resp *http.Response) ResponseHeadRead {
	names, placement := &x.proxy.headers, &x.exchange.Placement
	var signal ResponseHeadRead
	signal.Status = resp.StatusCode
	signal.CloseDelimited = resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
	if first(resp.Header, names.AttemptID) != x.attemptID() {
		x.proxy.Counters.Surplus.Add(1)
		signal.Mismatched = true
		return signal
	}
	signal.NotExecuted = names.NotExecuted != "" && resp.Header[names.NotExecuted] != nil
	signal.Unsealed = names.Seal != "" && resp.Header[names.Seal] == nil
	if names.Instance != "" {
		signal.Instance = first(resp.Header, names.Instance)
	}
	signal.Stream = placement.Route != nil && placement.Route.Streaming && isEventStream(resp)
	x.stream = signal.Stream
	signal.VersionRequested = x.expectedVersion() != ""
	signal.VersionMismatch = x.headWritten && names.WeightsVersion != "" && !x.events.AcceptsVersion(first(resp.Header, names.WeightsVersion))
	if v := first(resp.Header, names.Load); v != "" && names.ParseLoad != nil {
		if load, ok := names.ParseLoad(v); ok {
			load.Replica = placement.Replica
			signal.Load = &load
		}
	}
	return signal
}

// recycleConnection returns a connection whose response was read completely to the pool, or closes it if it can't be reused.
func (x *transfer) recycleConnection() {
	c := x.conn
	if c == nil {
		return
	}
	reusable := x.stopClosingOnCancel()
	x.stopClosingOnCancel = nil
	if c.reader.Buffered() > 0 {
		x.proxy.Counters.Surplus.Add(1)
		reusable = false
	}
	if !reusable || x.resp.Close || x.lacksAttemptID() {
		x.disconnect()
		return
	}
	c.setIdleLimits(x.resp.Header, x.proxy.settings)
	x.releaseConnection()
}

// maxDiscardBytes bounds how much of a response that is not forwarded is read in order to reuse its connection.
const maxDiscardBytes = 64 << 10

// discard reads the rest of a response that is not forwarded. It returns false if the response breaks off or is too long.
func (x *transfer) discard() bool {
	n, err := io.Copy(io.Discard, io.LimitReader(x.resp.Body, maxDiscardBytes))
	return err == nil && n < maxDiscardBytes
}

func (x *transfer) discardResponse() {
	if x.discard() {
		x.recycleConnection()
	} else {
		x.disconnect()
	}
	x.signal(ResponseEnded{})
}

// reportReadFailure signals why the connection to the replica failed after the request had been written to it.
func (x *transfer) reportReadFailure(err error) {
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

// writeHead sends the head of the response to the client, unless an earlier attempt already did.
func (x *transfer) writeHead() {
	if x.headWritten {
		return
	}
	x.headWritten = true
	copyResponseHeaders(x.w.Header(), x.resp.Header)
	x.setConnectionHeader()
	x.w.WriteHeader(x.resp.StatusCode)
}

// setRetryAfter sets the Retry-After header, in seconds that may have a fraction.
func (x *transfer) setRetryAfter(d time.Duration) {
	x.w.Header().Set("Retry-After", strconv.FormatFloat(d.Seconds(), 'f', -1, 64))
}

// Values for the socket option SO_LINGER.
const (
	// lingerReset makes closing the connection reset it; lingerDefault makes it send the remaining bytes first.
	lingerReset   = 0
	lingerDefault = -1
)

// setLinger sets how the connection to a client older than HTTP/1.1 ends. For such a client the end of the connection is the end of the
// response, so until the response is complete, closing the connection must reset it, even if this process is killed.
func (x *transfer) setLinger(seconds int) {
	if x.client != nil && !x.r.ProtoAtLeast(1, 1) {
		_ = x.client.SetLinger(seconds)
	}
}

// outcomes maps the outcomes for which the proxy itself writes the response to the name in the body and the status.
var outcomes = map[Outcome]struct {
	name   string
	status int
}{
	Rejected: {"denied", http.StatusServiceUnavailable}, NotFound: {"not found", http.StatusNotFound},
	Unauthorized: {"unauthorized", http.StatusUnauthorized}, OverQuota: {"over quota", http.StatusTooManyRequests},
	Unknown: {"unknown", http.StatusBadGateway}, Expired: {"expired", http.StatusGatewayTimeout},
}

// finish counts the outcome of the exchange and writes a response if the client has not received one from a replica.
func (x *transfer) finish(action Action) {
	counters := &x.proxy.Counters
	switch action.Outcome {
	case Completed:
		counters.Done.Add(1)
		x.setLinger(lingerDefault)
		return
	case AbandonedByClient:
		counters.Hangups.Add(1)
		panic(http.ErrAbortHandler)
	case Aborted:
		counters.Aborted.Add(1)
		panic(http.ErrAbortHandler)
	case Rejected:
		counters.Denied.Add(1)
	case NotFound:
		counters.NotFound.Add(1)
	case OverQuota:
		counters.OverQuota.Add(1)
	case Unauthorized:
		counters.Unauthorized.Add(1)
	case Unknown:
		counters.Unknown.Add(1)
	case Expired:
		counters.Expired.Add(1)
	}
	if action.RetryAfter > 0 {
		x.setRetryAfter(action.RetryAfter)
	}
	outcome := outcomes[action.Outcome]
	x.writeResponse(outcome.status, outcome.name, action.Reason)
}
