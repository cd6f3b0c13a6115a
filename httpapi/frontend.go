package httpapi

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/mallowbridge/mallowbridge/router"
)

// WitnessCheck tells how an attempt ends before it is sent, or "" when it may be sent. spare is how long the witnesses may take
// without harm; poll asks early, for a request that has no attempt yet.
type WitnessCheck func(request string, margin time.Duration, poll bool) router.AttemptResult

// Limits bound what clients may send and how long replicas and clients may take.
type Limits struct {
	// MaxBodyBytes is in bytes, MaxStreams the most requests at once.
	MaxBodyBytes, MaxStreams int
	// DialTimeout, ResponseHeadTimeout and ResponseLineTimeout bound the wait for a connection to a replica, for the head of its answer and for each line, Write each
	// write to a replica or client.
	DialTimeout, ResponseHeadTimeout, ResponseLineTimeout time.Duration
	WriteTimeout                                          time.Duration
	// MaxLineBytes is the longest line of an answer.
	MaxLineBytes int
}

// DefaultLimits are the limits of production nodes.
func DefaultLimits(maxBody, maxStreams int) Limits {
	return Limits{
		MaxBodyBytes: maxBody, MaxStreams: maxStreams, DialTimeout: 500 * time.Millisecond, ResponseHeadTimeout: 60 * time.Second, ResponseLineTimeout: 30 * time.Second,
		WriteTimeout: 10 * time.Second, MaxLineBytes: 256 << 10,
	}
}

const (
	maxID     = 128
	maxPrefix = 16 << 10
)

// Counters count requests by outcome since the start; they are published as "gate.*".
type Counters struct {
	Requests, Rejected, Repeated, Done, Partial, Unknown, Invalid, ClientDisconnects, FailedAttempts atomic.Uint64
}

// Frontend serves requests to services: POST /v1/offers/:service/:class. Each request runs in its own goroutine and asks the node's router
// through its router.Loop.
type Frontend struct {
	router  *router.Loop
	witness WitnessCheck
	limits  Limits
	// NodeID is the node's name and boot, which answers carry in X-Node.
	NodeID   string
	slots    chan struct{}
	retired  atomic.Bool
	closed   atomic.Bool
	Counters Counters
}

// New gives a frontend that is open.
func New(loop *router.Loop, witness WitnessCheck, limits Limits) *Frontend {
	return &Frontend{router: loop, witness: witness, limits: limits, slots: make(chan struct{}, limits.MaxStreams)}
}

// StopAdmitting has new requests rejected from now on.
func (f *Frontend) StopAdmitting() { f.closed.Store(true) }

// Retire tells the platform to send clients elsewhere; who comes all the same is still admitted.
func (f *Frontend) Retire() { f.retired.Store(true) }

// InRotation tells whether clients should be sent here.
func (f *Frontend) InRotation() bool { return !f.closed.Load() && !f.retired.Load() }

// RunningRequests counts the requests under way.
func (f *Frontend) RunningRequests() int { return len(f.slots) }

// Exchange is one request of a client as it goes through the filters.
type Exchange struct {
	w       http.ResponseWriter
	r       bunrouter.Request
	request string
	prefix  string
	body    []byte
	release func()
}

// Filter does one step of a request and tells whether it has answered it.
type Filter func(x *Exchange) bool

// Handler serves one request.
func (f *Frontend) Handler() bunrouter.HandlerFunc {
	return f.chain(f.readHeaders, f.checkOpen, f.takeSlot, f.readBody, f.route)
}

func (f *Frontend) chain(filters ...Filter) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		x := &Exchange{w: w, r: r, release: func() {}}
		_ = http.NewResponseController(w).EnableFullDuplex()
		defer func() { x.release() }()
		f.Counters.Requests.Add(1)
		for _, filter := range filters {
			if filter(x) {
				return nil
			}
		}
		return nil
	}
}

// ErrorResponse is the body of an answer that is no stream. Its JSON names are published: go is the id of the attempt.
type ErrorResponse struct {
	Request      string `json:"request,omitempty"`
	Outcome      string `json:"outcome"`
	Attempt      string `json:"go,omitempty"`
	Reason       string `json:"why"`
	RetryAfterMs int64  `json:"retryAfterMs,omitempty"`
}

func (f *Frontend) answer(x *Exchange, status int, a ErrorResponse, after time.Duration) {
	if after > 0 {
		secs := int64((after + time.Second - 1) / time.Second)
		x.w.Header().Set("Retry-After", strconv.FormatInt(secs, 10))
		a.RetryAfterMs = after.Milliseconds()
	}
	a.Request = x.request
	x.w.Header().Set("X-Node", f.NodeID)
	x.w.Header().Set("Content-Type", "application/json")
	x.w.Header().Set("X-Outcome", a.Outcome)
	x.w.WriteHeader(status)
	_ = json.NewEncoder(x.w).Encode(a)
}

func (f *Frontend) bad(x *Exchange, status int, why string) bool {
	f.Counters.Invalid.Add(1)
	f.answer(x, status, ErrorResponse{Outcome: router.OutcomeInvalid, Reason: why}, 0)
	return true
}

func (f *Frontend) reject(x *Exchange, why string, after time.Duration) bool {
	f.Counters.Rejected.Add(1)
	f.answer(x, http.StatusServiceUnavailable, ErrorResponse{Outcome: router.OutcomeRejected, Reason: why}, after)
	return true
}

func (f *Frontend) rejectRepeated(x *Exchange, why string) bool {
	f.Counters.Repeated.Add(1)
	f.answer(x, http.StatusConflict, ErrorResponse{Outcome: router.OutcomeRepeat, Reason: why}, 0)
	return true
}

// turnAway rejects a request that was not passed to the router, unless this node sent it before.
func (f *Frontend) turnAway(x *Exchange, why string) bool {
	had := ""
	f.router.Inspect(func(r *router.Router) { had = r.AlreadyRan(x.r.Param("offer"), x.r.Param("kind"), x.request) })
	if had != "" {
		return f.rejectRepeated(x, had)
	}
	return f.reject(x, why, time.Second)
}

func (f *Frontend) checkOpen(x *Exchange) bool {
	if f.closed.Load() {
		return f.turnAway(x, "draining")
	}
	return false
}

// clean tells whether an id is 1 to max printable bytes without quotes.
func clean(s string, limit int) bool {
	if s == "" || len(s) > limit {
		return false
	}
	for _, c := range []byte(s) {
		if c <= ' ' || c > '~' || c == '"' || c == '\\' {
			return false
		}
	}
	return true
}

func (f *Frontend) readHeaders(x *Exchange) bool {
	x.request = x.r.Header.Get("X-Request-Id")
	if !clean(x.request, maxID) {
		x.request = ""
		return f.bad(x, http.StatusBadRequest, "X-Request-Id: must be 1 to 128 printable bytes without quotes")
	}
	x.prefix = x.r.Header.Get("X-Prompt-Prefix")
	if len(x.prefix) > maxPrefix {
		return f.bad(x, http.StatusRequestHeaderFieldsTooLarge, "X-Prompt-Prefix: must be at most 16384 bytes")
	}
	return false
}

func (f *Frontend) readBody(x *Exchange) bool {
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, int64(f.limits.MaxBodyBytes)))
	if _, long := err.(*http.MaxBytesError); long {
		return f.bad(x, http.StatusRequestEntityTooLarge, "body: must be at most "+strconv.Itoa(f.limits.MaxBodyBytes)+" bytes")
	}
	if err != nil {
		return f.bad(x, http.StatusBadRequest, "body: "+err.Error())
	}
	if !json.Valid(body) {
		return f.bad(x, http.StatusBadRequest, "body: must be JSON")
	}
	x.body = body
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Time{})
	return false
}

func (f *Frontend) takeSlot(x *Exchange) bool {
	select {
	case f.slots <- struct{}{}:
		x.release = func() { <-f.slots }
		return false
	default:
		return f.turnAway(x, "too many streams here")
	}
}
