package proxy

import (
	"io"
	"net/http"
)

func (x *transfer) passAnswer() {
	if !x.exchange.repeatable {
		x.memory.give(len(x.body))
		x.body = nil
	}
	if x.buf == nil {
		x.buf = getBuffer()
	}
	if x.stream {
		x.passStream()
	} else {
		x.passBuffered()
	}
}

// passBuffered holds an answer back until it is whole, so that a broken one may be asked for again; only a very long one, or one for
// which there is no room, goes on at once.
func (x *transfer) passBuffered() {
	b := x.buf.b[:0:min(cap(x.buf.b), x.proxy.settings.MaxBufferedResponseBytes)]
	for {
		if len(b) == cap(b) {
			var ok bool
			if b, ok = x.widen(b); !ok {
				x.passLong(b)
				return
			}
		}
		n, err := x.resp.Body.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if err == io.EOF {
			break
		}
		if err != nil {
			x.connectionLost(err)
			return
		}
	}
	x.recycleConnection()
	x.signal(ResponseEnded{})
	x.head()
	_, _ = x.w.Write(b)
}

func (x *transfer) widen(b []byte) ([]byte, bool) {
	capacity := 2 * cap(b)
	if n := x.resp.ContentLength; n >= 0 {
		capacity = int(n) + 1
	}
	capacity = min(capacity, x.proxy.settings.MaxBufferedResponseBytes)
	if capacity <= cap(b) || !x.memory.take(capacity-cap(b)) {
		return b, false
	}
	wide := append(make([]byte, 0, capacity), b...)
	x.buf.b = wide
	return wide, true
}

func (x *transfer) passLong(reserved []byte) {
	x.signal(ResponseStarted{})
	x.bound()
	x.linger(lingerReset)
	x.head()
	_, err := x.w.Write(reserved)
	buf := reserved[:cap(reserved)]
	for err == nil {
		n, readErr := x.resp.Body.Read(buf)
		if n > 0 {
			_, err = x.w.Write(buf[:n])
		}
		if readErr == io.EOF && err == nil {
			x.recycleConnection()
			x.signal(ResponseEnded{})
			return
		}
		if readErr != nil && readErr != io.EOF {
			x.connectionLost(readErr)
			return
		}
	}
	x.signal(ClientDisconnected{})
}

// bound keeps a client that reads ever so slowly from holding a replica's place for longer than the request lives.
func (x *transfer) bound() {
	if at := x.expiry(); !at.IsZero() && !x.bounded {
		x.bounded = true
		_ = http.NewResponseController(x.w).SetWriteDeadline(at.Add(x.proxy.settings.StallTimeout))
	}
}

// passStream passes each event on as it comes.
func (x *transfer) passStream() {
	if x.headed {
		x.proxy.Counters.Resumed.Add(1)
	}
	x.events.StartResponse(first(x.resp.Header, x.proxy.headers.WeightsVersion))
	x.bound()
	x.linger(lingerReset)
	buf := x.buf.b[:cap(x.buf.b)]
	for begun := false; ; {
		n, readErr := x.resp.Body.Read(buf)
		complete, feedErr := x.feed(buf[:n])
		if readErr == io.EOF && x.events.HasPartialEvent() {
			readErr = io.ErrUnexpectedEOF
		}
		ended := feedErr == nil && readErr == io.EOF
		if ended {
			complete = append(complete[:len(complete):len(complete)], x.events.Remaining()...)
		}
		if len(complete) > 0 && !begun {
			begun = true
			x.signal(ResponseStarted{})
		}
		if err := x.passEvents(complete, ended); err != nil {
			x.signal(ClientDisconnected{})
			return
		}
		switch {
		case ended:
			x.head()
			x.recycleConnection()
			x.signal(ResponseEnded{})
			return
		case feedErr != nil:
			x.connectionLost(feedErr)
			return
		case readErr != nil:
			x.connectionLost(readErr)
			return
		}
	}
}

// passEvents writes events to the client at once, the last ones with the end of the answer.
func (x *transfer) passEvents(complete []byte, last bool) error {
	if len(complete) == 0 {
		return nil
	}
	x.head()
	x.exchange.CannotResume = x.events.CannotResume || x.w.Header().Get("Content-Length") != ""
	if _, err := x.w.Write(complete); err != nil || last {
		return err
	}
	return http.NewResponseController(x.w).Flush()
}

// feed counts the bytes that a long event takes.
func (x *transfer) feed(p []byte) ([]byte, error) {
	before := cap(x.events.buf)
	complete, err := x.events.Feed(p)
	if grown := cap(x.events.buf) - before; err == nil && grown > 0 && cap(x.events.buf) > bufferBytes && !x.memory.take(grown) {
		return complete, &EventTooLongError{Bytes: len(x.events.buf)}
	}
	return complete, err
}
