package proxy

import (
	"bytes"
	"cmp"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/gravitational/trace"
)

// BudgetExhaustedError says that the bodies and answers of other requests use up the budget.
type BudgetExhaustedError struct{ Reserved int64 }

func (e *BudgetExhaustedError) Error() string {
	return "the " + strconv.FormatInt(e.Reserved, 10) + " bytes of other requests leave no room"
}

func (x *transfer) mostBody() int64 {
	if n := int64(x.proxy.limits().BodyBytes); n > 0 {
		return n
	}
	return int64(x.proxy.settings.MaxBodyBytes)
}

// readBody reads the request's body whole; a client that stops sending, or sends for too long, is waited for no longer.
func (x *transfer) readBody() (err error) {
	if !x.memory.take(requestOverheadBytes) {
		return trace.Wrap(&BudgetExhaustedError{Reserved: x.proxy.budget.Reserved()})
	}
	if x.r.ContentLength == 0 {
		return nil
	}
	most := x.mostBody()
	if x.r.ContentLength > most {
		return &http.MaxBytesError{Limit: most}
	}
	defer func() {
		if err == nil {
			x.readUntil(time.Time{})
		}
	}()
	if x.r.ContentLength < 0 {
		return x.readChunked(most)
	}
	return x.readSized()
}

// uploadLimit is when more of the body must have come.
func (x *transfer) uploadLimit() time.Time {
	at := time.Now().Add(cmp.Or(x.proxy.limits().Header, defaultHeaderTimeout))
	end := x.arrived.Add(x.proxy.settings.UploadTimeout)
	if !x.deadline.IsZero() && x.deadline.Before(end) {
		end = x.deadline
	}
	if end.Before(at) {
		at = end
	}
	return at
}

func (x *transfer) readUntil(at time.Time) {
	if x.client != nil {
		_ = x.client.SetReadDeadline(at)
	} else {
		_ = http.NewResponseController(x.w).SetReadDeadline(at)
	}
}

func (x *transfer) readSized() error {
	size := int(x.r.ContentLength)
	if !x.memory.take(size) {
		return trace.Wrap(&BudgetExhaustedError{Reserved: x.proxy.budget.Reserved()})
	}
	body := make([]byte, size)
	for got := 0; got < size; {
		x.readUntil(x.uploadLimit())
		n, err := x.r.Body.Read(body[got:])
		if got += n; err != nil && got < size {
			return err
		}
	}
	x.body = body
	return nil
}

func (x *transfer) readChunked(most int64) error {
	var body bytes.Buffer
	in := http.MaxBytesReader(x.w, x.r.Body, most)
	var err error
	for err == nil {
		if before := body.Cap(); body.Available() < bytes.MinRead {
			body.Grow(max(bytes.MinRead, before))
			if !x.memory.take(body.Cap() - before) {
				return trace.Wrap(&BudgetExhaustedError{Reserved: x.proxy.budget.Reserved()})
			}
		}
		x.readUntil(x.uploadLimit())
		var n int
		capacity := body.AvailableBuffer()
		n, err = in.Read(capacity[:cap(capacity)])
		body.Write(capacity[:n])
	}
	if err != io.EOF {
		return err
	}
	x.body = body.Bytes()
	return nil
}

// refuse answers a request whose body could not be taken; it did not run. The answer does not wait for the rest of the body: net/http
// reads on before it replies where the connection is to be kept, and for a while after it has replied where not.
func (x *transfer) refuse(err error) {
	x.w.Header().Set("Connection", "close")
	x.readUntil(time.Now().Add(afterRefusal))
	var long *http.MaxBytesError
	var full *BudgetExhaustedError
	var ending *ShuttingDownError
	status := http.StatusBadRequest
	switch {
	case errors.As(err, &full):
		x.proxy.Counters.Full.Add(1)
		x.retryAfter(defaultRetryAfter)
		x.answerWith(http.StatusServiceUnavailable, "denied", err.Error())
		return
	case errors.As(err, &ending):
		x.proxy.Counters.ShuttingDown.Add(1)
		x.retryAfter(shutdownRetryAfter)
		x.answerWith(http.StatusServiceUnavailable, "denied", err.Error())
		return
	case errors.As(err, &long):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
		x.retryAfter(defaultRetryAfter)
	}
	x.proxy.Counters.Bad.Add(1)
	x.answerWith(status, "bad", err.Error())
}

const (
	// requestOverheadBytes is counted for each request besides its body: connections, goroutines, headers.
	requestOverheadBytes = 8 << 10
	// afterRefusal is how long the rest of a refused body is read, so that a reset does not overtake the answer.
	afterRefusal = time.Second
)
