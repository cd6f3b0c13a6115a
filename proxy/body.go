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

// BudgetExhaustedError reports that a request does not fit into the memory budget next to the bodies and responses of other requests.
type BudgetExhaustedError struct{ Reserved int64 }

func (e *BudgetExhaustedError) Error() string {
	return "memory budget exhausted: " + strconv.FormatInt(e.Reserved, 10) + " bytes are reserved by other requests"
}

// maxBodyBytes returns the limit of request bodies from the configuration or, if it sets none, from the settings.
func (x *transfer) maxBodyBytes() int64 {
	if n := int64(x.proxy.limits().BodyBytes); n > 0 {
		return n
	}
	return int64(x.proxy.settings.MaxBodyBytes)
}

// readBody reads the whole body of the request into memory. It fails when the client stops sending, sends for too long, or sends more than
// the limit, and when the budget is exhausted.
func (x *transfer) readBody() (err error) {
	if !x.reserved.reserve(requestOverheadBytes) {
		return trace.Wrap(&BudgetExhaustedError{Reserved: x.proxy.budget.Reserved()})
	}
	if x.r.ContentLength == 0 {
		return nil
	}
	limit := x.maxBodyBytes()
	if x.r.ContentLength > limit {
		return &http.MaxBytesError{Limit: limit}
	}
	defer func() {
		if err == nil {
			x.setReadDeadline(time.Time{})
		}
	}()
	if x.r.ContentLength < 0 {
		return x.readChunked(limit)
	}
	return x.readSized()
}

// nextUploadDeadline returns when the next bytes of the body must have arrived: one header timeout from now, but no later than the end of
// the whole upload.
func (x *transfer) nextUploadDeadline() time.Time {
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

func (x *transfer) setReadDeadline(at time.Time) {
	if x.client != nil {
		_ = x.client.SetReadDeadline(at)
	} else {
		_ = http.NewResponseController(x.w).SetReadDeadline(at)
	}
}

func (x *transfer) readSized() error {
	size := int(x.r.ContentLength)
	if !x.reserved.reserve(size) {
		return trace.Wrap(&BudgetExhaustedError{Reserved: x.proxy.budget.Reserved()})
	}
	body := make([]byte, size)
	for received := 0; received < size; {
		x.setReadDeadline(x.nextUploadDeadline())
		n, err := x.r.Body.Read(body[received:])
		if received += n; err != nil && received < size {
			return err
		}
	}
	x.body = body
	return nil
}

func (x *transfer) readChunked(limit int64) error {
	var body bytes.Buffer
	in := http.MaxBytesReader(x.w, x.r.Body, limit)
	var err error
	for err == nil {
		if before := body.Cap(); body.Available() < bytes.MinRead {
			body.Grow(max(bytes.MinRead, before))
			if !x.reserved.reserve(body.Cap() - before) {
				return trace.Wrap(&BudgetExhaustedError{Reserved: x.proxy.budget.Reserved()})
			}
		}
		x.setReadDeadline(x.nextUploadDeadline())
		var n int
		spare := body.AvailableBuffer()
		n, err = in.Read(spare[:cap(spare)])
		body.Write(spare[:n])
	}
	if err != io.EOF {
		return err
	}
	x.body = body.Bytes()
	return nil
}

// rejectUnforwarded responds to a request that was never forwarded, because its body could not be read or the process is shutting down. It
// closes the connection and bounds how long the rest of the body is read: net/http reads the remaining body before it responds if the
// connection is to be kept, and for a while after the response if not.
func (x *transfer) rejectUnforwarded(err error) {
	x.w.Header().Set("Connection", "close")
	x.setReadDeadline(time.Now().Add(rejectedBodyReadTime))
	var tooLong *http.MaxBytesError
	var exhausted *BudgetExhaustedError
	var shuttingDown *ShuttingDownError
	status := http.StatusBadRequest
	switch {
	case errors.As(err, &exhausted):
		x.proxy.Counters.Full.Add(1)
		x.setRetryAfter(retryElsewhere)
		x.writeResponse(http.StatusServiceUnavailable, "denied", err.Error())
		return
	case errors.As(err, &shuttingDown):
		x.proxy.Counters.ShuttingDown.Add(1)
		x.setRetryAfter(retryElsewhere)
		x.writeResponse(http.StatusServiceUnavailable, "denied", err.Error())
		return
	case errors.As(err, &tooLong):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
		x.setRetryAfter(retryElsewhere)
	}
	x.proxy.Counters.Bad.Add(1)
	x.writeResponse(status, "bad", err.Error())
}

const (
	// requestOverheadBytes is reserved for each request in addition to its body: for connections, goroutines and headers.
	requestOverheadBytes = 8 << 10
	// rejectedBodyReadTime bounds how long the rest of a rejected body is read. Without reading on, a TCP reset could reach the client
	// before the response.
	rejectedBodyReadTime = time.Second
)
