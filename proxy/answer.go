package proxy

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/mallowbridge/mallowbridge"
)

func (x *transfer) replied(resp *http.Response) Replied {
	h, place := &x.p.headers, &x.ex.Place
	var s Replied
	s.Status = resp.StatusCode
	s.Open = resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
	if first(resp.Header, h.Attempt) != x.attempt() {
		x.p.N.Surplus.Add(1)
		s.Foreign = true
		return s
	}
	s.NotRun = h.NotRun != "" && resp.Header[h.NotRun] != nil
	s.Bare = h.Seal != "" && resp.Header[h.Seal] == nil
	if h.Instance != "" {
		s.Instance = first(resp.Header, h.Instance)
	}
	s.Stream = place.Route != nil && place.Route.Streaming && isEventStream(resp)
	x.stream = s.Stream
	if v := first(resp.Header, h.Load); v != "" && h.ParseLoad != nil {
		if running, waiting, slots, ok := h.ParseLoad(v); ok {
			s.Load = &mallowbridge.Load{Replica: place.Replica, Running: running, Waiting: waiting, Slots: slots}
		}
	}
	return s
}

// settle ends the use of a connection whose answer was read whole.
func (x *transfer) settle() {
	c := x.conn
	if c == nil {
		return
	}
	sound := x.release()
	x.release = nil
	if c.r.Buffered() > 0 {
		x.p.N.Surplus.Add(1)
		sound = false
	}
	if !sound || x.resp.Close || x.nameless() {
		x.drop()
		return
	}
	c.setIdle(x.resp.Header, x.p.set)
	x.park()
}

const drained = 64 << 10

// discard reads over an answer that nobody gets, as long as it is not too long.
func (x *transfer) discard() bool {
	n, err := io.Copy(io.Discard, io.LimitReader(x.resp.Body, drained))
	return err == nil && n < drained
}

func (x *transfer) drain() {
	if x.discard() {
		x.settle()
	} else {
		x.drop()
	}
	x.happened(Ended{})
}

// lost tells why a connection failed after the request was written to it.
func (x *transfer) lost(err error) {
	switch {
	case x.r.Context().Err() != nil:
		x.happened(HungUp{})
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.happened(Overdue{})
	default:
		x.drop()
		x.happened(Lost{})
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

// resetOldClient has the connection end in a reset where its end is the end of the answer: a cut answer must not look whole.
func (x *transfer) resetOldClient() {
	if x.client != nil && !x.r.ProtoAtLeast(1, 1) {
		_ = x.client.SetLinger(0)
	}
}

var outcomes = map[Outcome]struct {
	name   string
	status int
}{
	Denied: {"denied", http.StatusServiceUnavailable}, NotFound: {"not found", http.StatusNotFound},
	Unknown: {"unknown", http.StatusBadGateway}, Expired: {"expired", http.StatusGatewayTimeout},
}

func (x *transfer) finish(m Move) {
	n := &x.p.N
	switch m.Outcome {
	case Done:
		n.Done.Add(1)
		return
	case Gone:
		n.Hangups.Add(1)
		panic(http.ErrAbortHandler)
	case Aborted:
		n.Aborted.Add(1)
		x.resetOldClient()
		panic(http.ErrAbortHandler)
	case Denied:
		n.Denied.Add(1)
	case NotFound:
		n.NotFound.Add(1)
	case Unknown:
		n.Unknown.Add(1)
	case Expired:
		n.Expired.Add(1)
	}
	if m.After > 0 {
		x.retryAfter(m.After)
	}
	o := outcomes[m.Outcome]
	x.say(o.status, o.name, m.Why)
}
