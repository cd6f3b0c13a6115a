package proxy

import (
	"io"
	"net/http"
)

// forwardResponse sends the response to the client. The request's body is released first if it can't be needed for a retry.
func (x *transfer) forwardResponse() {
	if !x.exchange.retryable {
		x.reserved.release(len(x.body))
		x.body = nil
	}
	if x.responseBuffer == nil {
		x.responseBuffer = getBuffer()
	}
	if x.stream {
		x.forwardStream()
	} else {
		x.forwardBuffered()
	}
}

// forwardBuffered reads the whole response before it sends the first byte to the client, so that a request whose response breaks off can be
// sent again. A response that is longer than MaxBufferedResponseBytes, or for which the budget has no room, is forwarded as it arrives.
func (x *transfer) forwardBuffered() {
	buffered := x.responseBuffer.b[:0:min(cap(x.responseBuffer.b), x.proxy.settings.MaxBufferedResponseBytes)]
	for {
		if len(buffered) == cap(buffered) {
			var ok bool
			if buffered, ok = x.growBuffer(buffered); !ok {
				x.forwardUnbuffered(buffered)
				return
			}
		}
		n, err := x.resp.Body.Read(buffered[len(buffered):cap(buffered)])
		buffered = buffered[:len(buffered)+n]
		if err == io.EOF {
			break
		}
		if err != nil {
			x.reportReadFailure(err)
			return
		}
	}
	x.recycleConnection()
	x.signal(ResponseEnded{})
	x.writeHead()
	_, _ = x.w.Write(buffered)
}

// growBuffer returns a larger copy of buffered: of the length of the response if that is known, else twice as large. It returns false if
// the buffer may not grow any further.
func (x *transfer) growBuffer(buffered []byte) ([]byte, bool) {
	capacity := 2 * cap(buffered)
	if n := x.resp.ContentLength; n >= 0 {
		capacity = int(n) + 1
	}
	capacity = min(capacity, x.proxy.settings.MaxBufferedResponseBytes)
	if capacity <= cap(buffered) || !x.reserved.reserve(capacity-cap(buffered)) {
		return buffered, false
	}
	grown := append(make([]byte, 0, capacity), buffered...)
	x.responseBuffer.b = grown
	return grown, true
}

// forwardUnbuffered sends the buffered first part of a response to the client, and the rest as it arrives.
func (x *transfer) forwardUnbuffered(buffered []byte) {
	x.signal(ResponseStarted{})
	x.boundWrites()
	x.setLinger(lingerReset)
	x.writeHead()
	_, err := x.w.Write(buffered)
	buf := buffered[:cap(buffered)]
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
			x.reportReadFailure(readErr)
			return
		}
	}
	x.signal(ClientDisconnected{})
}

// boundWrites sets the final deadline for writes to the client, so that a client that reads very slowly doesn't occupy a slot of the
// replica for longer than the request may take.
func (x *transfer) boundWrites() {
	if at := x.expiry(); !at.IsZero() && !x.writesBounded {
		x.writesBounded = true
		_ = http.NewResponseController(x.w).SetWriteDeadline(at.Add(x.proxy.settings.StallTimeout))
	}
}

// forwardStream sends each event to the client as soon as it is complete.
func (x *transfer) forwardStream() {
	if x.headWritten {
		x.proxy.Counters.Resumed.Add(1)
	}
	x.events.StartResponse(first(x.resp.Header, x.proxy.headers.WeightsVersion))
	x.boundWrites()
	x.setLinger(lingerReset)
	buf := x.responseBuffer.b[:cap(x.responseBuffer.b)]
	for started := false; ; {
		n, readErr := x.resp.Body.Read(buf)
		events, feedErr := x.feedEvents(buf[:n])
		if readErr == io.EOF && x.events.HasPartialEvent() {
			readErr = io.ErrUnexpectedEOF
		}
		ended := feedErr == nil && readErr == io.EOF
		if ended {
			events = append(events[:len(events):len(events)], x.events.Remaining()...)
		}
		if len(events) > 0 && !started {
			started = true
			x.signal(ResponseStarted{})
		}
		if err := x.forwardEvents(events, ended); err != nil {
			x.signal(ClientDisconnected{})
			return
		}
		switch {
		case ended:
			x.writeHead()
			x.recycleConnection()
			x.signal(ResponseEnded{})
			return
		case feedErr != nil:
			x.reportReadFailure(feedErr)
			return
		case readErr != nil:
			x.reportReadFailure(readErr)
			return
		}
	}
}

// forwardEvents writes complete events to the client and flushes them, except the last ones, which are sent together with the end of the
// response.
func (x *transfer) forwardEvents(events []byte, last bool) error {
	if len(events) == 0 {
		return nil
	}
	x.writeHead()
	x.exchange.CannotResume = x.events.CannotResume || x.w.Header().Get("Content-Length") != ""
	if _, err := x.w.Write(events); err != nil || last {
		return err
	}
	return http.NewResponseController(x.w).Flush()
}

// feedEvents passes bytes of the response to the event stream, and reserves budget if a long event made its buffer grow.
func (x *transfer) feedEvents(p []byte) ([]byte, error) {
	before := cap(x.events.buf)
	events, err := x.events.Feed(p)
	if grown := cap(x.events.buf) - before; err == nil && grown > 0 && cap(x.events.buf) > bufferBytes && !x.reserved.reserve(grown) {
		return events, &EventTooLongError{Bytes: len(x.events.buf)}
	}
	return events, err
}
