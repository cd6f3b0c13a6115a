package ferry

import (
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/mallowbridge/mallowbridge"
)

func (x *transfer) replied(resp *http.Response) (s Replied) {
	h, place := &x.p.headers, &x.ex.Place
	s.Status = resp.StatusCode
	if id := x.attempt(); id != "" && resp.Header.Get(h.Attempt) != id {
		x.p.N.Surplus.Add(1)
		s.Foreign = true
		return s
	}
	s.NotRun = h.NotRun != "" && resp.Header[h.NotRun] != nil
	s.Open = resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
	s.Bare = h.Seal != "" && resp.Header[h.Seal] == nil
	if h.Instance != "" {
		s.Instance = resp.Header.Get(h.Instance)
	}
	s.Stream = place.Route != nil && place.Route.Streaming && eventStream(resp)
	if v := resp.Header.Get(h.Load); v != "" && h.ParseLoad != nil {
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
	if !sound || x.resp.Close {
		x.drop()
		return
	}
	c.until = time.Now().Add(c.rest(x.resp.Header, x.p.set))
	x.park()
}

const drained = 64 << 10

func (x *transfer) drain() {
	n, err := io.Copy(io.Discard, io.LimitReader(x.resp.Body, drained))
	if err != nil || n == drained {
		x.drop()
	} else {
		x.settle()
	}
	x.happened(Ended{})
}

func eventStream(resp *http.Response) (yes bool) {
	kind, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream" && resp.StatusCode == http.StatusOK
}

func (x *transfer) pass() {
	if route := x.ex.Place.Route; route != nil && route.Streaming && eventStream(x.resp) {
		x.passStream()
		return
	}
	x.passWhole()
}

// passWhole holds an answer back until it is whole, so that a broken one may be asked for again; only a very long one goes on at once.
func (x *transfer) passWhole() {
	buf := make([]byte, 0, min(max(int(x.resp.ContentLength)+1, 512), x.p.set.Hold))
	for {
		if len(buf) == cap(buf) {
			if len(buf) >= x.p.set.Hold {
				x.passLong(buf)
				return
			}
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := x.resp.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err == io.EOF {
			break
		}
		if err != nil {
			x.lost(err)
			return
		}
	}
	x.settle()
	x.happened(Ended{})
	x.head()
	_, _ = x.w.Write(buf)
}

func (x *transfer) passLong(held []byte) {
	x.happened(Begun{})
	x.head()
	_, err := x.w.Write(held)
	buf := held[:cap(held)]
	for err == nil {
		n, readErr := x.resp.Body.Read(buf)
		if n > 0 {
			_, err = x.w.Write(buf[:n])
		}
		if readErr == io.EOF && err == nil {
			x.settle()
			x.happened(Ended{})
			return
		}
		if readErr != nil && readErr != io.EOF {
			x.lost(readErr)
			return
		}
	}
	x.happened(HungUp{})
}

func (x *transfer) head() {
	if x.headed {
		return
	}
	x.headed = true
	copyHead(x.w.Header(), x.resp.Header)
	x.p.retire(x.w)
	x.w.WriteHeader(x.resp.StatusCode)
}

const streamBuffer = 4 << 10

func (x *transfer) passStream() {
	if x.headed {
		x.p.N.Resumed.Add(1)
		x.events.Resume()
	}
	ctl := http.NewResponseController(x.w)
	buf := make([]byte, streamBuffer)
	for begun := false; ; {
		n, readErr := x.resp.Body.Read(buf)
		whole, err := x.events.Feed(buf[:n])
		if err != nil {
			x.lost(err)
			return
		}
		ended := readErr == io.EOF
		if ended {
			whole = append(whole[:len(whole):len(whole)], x.events.Rest()...)
		}
		if len(whole) > 0 {
			if !begun {
				begun = true
				x.happened(Begun{})
			}
			x.head()
			x.ex.Stuck = x.events.Plain || x.w.Header().Get("Content-Length") != ""
			_, err = x.w.Write(whole)
			if err == nil && !ended {
				err = ctl.Flush()
			}
			if err != nil {
				x.happened(HungUp{})
				return
			}
		}
		if ended {
			x.head()
			x.settle()
			x.happened(Ended{})
			return
		}
		if readErr != nil {
			x.lost(readErr)
			return
		}
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
		panic(http.ErrAbortHandler)
	case Denied:
		n.Denied.Add(1)
		if m.After > 0 {
			x.w.Header().Set("Retry-After", strconv.FormatFloat(m.After.Seconds(), 'f', -1, 64))
		}
	case NotFound:
		n.NotFound.Add(1)
	case Unknown:
		n.Unknown.Add(1)
	case Expired:
		n.Expired.Add(1)
	}
	o := outcomes[m.Outcome]
	x.p.say(x.w, o.status, o.name, m.Why)
}
