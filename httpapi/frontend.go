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

// WitnessCheck asks the witnesses of a non-idempotent request, which remember the router that first asked about it, whether this router may send
// it. It returns "" if so, otherwise the result with which the attempt ends without being sent. spareTime is how long the witnesses may take
// without delaying the first token beyond its target. early is set for a request that has no attempt yet.
type WitnessCheck func(request string, spareTime time.Duration, early bool) router.AttemptResult

// Limits bound what clients may send and how long replicas and clients may take.
type Limits struct {
	// MaxBodyBytes is the maximum length of a request's body, MaxStreams the maximum number of concurrent requests.
	MaxBodyBytes, MaxStreams int
	// DialTimeout, ResponseHeadTimeout and ResponseLineTimeout bound the wait for a connection to a replica, for the head of its response and for
	// each line of the response's body.
	DialTimeout, ResponseHeadTimeout, ResponseLineTimeout time.Duration
	// WriteTimeout bounds each write to a replica or client.
	WriteTimeout time.Duration
	// MaxLineBytes is the maximum length of a line of a replica's response.
	MaxLineBytes int
}

// DefaultLimits returns the limits of production nodes.
func DefaultLimits(maxBody, maxStreams int) Limits {
	return Limits{
		MaxBodyBytes: maxBody, MaxStreams: maxStreams, DialTimeout: 500 * time.Millisecond, ResponseHeadTimeout: 60 * time.Second, ResponseLineTimeout: 30 * time.Second,
		WriteTimeout: 10 * time.Second, MaxLineBytes: 256 << 10,
	}
}

const (
	// maxRequestIDBytes is the maximum length of the X-Request-Id header.
	maxRequestIDBytes = 128
	// maxPrefixBytes is the maximum length of the X-Prompt-Prefix header.
	maxPrefixBytes = 16 << 10
)

// Counters count requests since the start of the process, in total and by outcome. They are published as "gate.*".
type Counters struct {
	// Repeated counts requests that were rejected because a request with the same ID is running or, if it is not idempotent, was sent before.
	Requests, Rejected, Repeated, Done, Partial, Unknown, Invalid atomic.Uint64
	// ClientDisconnects counts requests that ended because the client disconnected, except for disconnects that a failed write revealed.
	// FailedAttempts counts attempts that failed after the request was, or may have been, sent to a replica.
	ClientDisconnects, FailedAttempts atomic.Uint64
}

// Frontend serves requests to services: POST /v1/offers/:service/:class. Each request runs in its own goroutine and gets its decisions from
// the node's router through the router.Loop.
type Frontend struct {
	router         *router.Loop
	checkWitnesses WitnessCheck
	limits         Limits
	// NodeID identifies the process: the name of the node and the random boot ID of the process. Error responses carry it in the X-Node
	// header.
	NodeID string
	// slots contains one item per admitted request.
	slots chan struct{}
	// retired is set by Retire, draining by StopAdmitting.
	retired  atomic.Bool
	draining atomic.Bool
	Counters Counters
}

// New returns a frontend that admits requests.
func New(loop *router.Loop, checkWitnesses WitnessCheck, limits Limits) *Frontend {
	return &Frontend{router: loop, checkWitnesses: checkWitnesses, limits: limits, slots: make(chan struct{}, limits.MaxStreams)}
}

// StopAdmitting makes the frontend reject all new requests.
func (f *Frontend) StopAdmitting() { f.draining.Store(true) }

// Retire makes the readiness check fail, so that load balancers send clients to other nodes. Requests that still arrive are admitted.
func (f *Frontend) Retire() { f.retired.Store(true) }

// InRotation reports whether load balancers should send clients to this node.
func (f *Frontend) InRotation() bool { return !f.draining.Load() && !f.retired.Load() }

// RunningRequests returns the number of admitted requests that have not ended.
func (f *Frontend) RunningRequests() int { return len(f.slots) }

// Exchange is the state of one client request that the filters share.
type Exchange struct {
	w http.ResponseWriter
	r bunrouter.Request
	// requestID is the X-Request-Id header.
	requestID string
	// prefix is the X-Prompt-Prefix header, the part of the prompt that the prefix cache is indexed by.
	prefix string
	body   []byte
	// release frees the slot of the request, if it has one.
	release func()
}

// Filter performs one step of a request. It reports whether it has sent the response, after which no further filter runs.
type Filter func(x *Exchange) bool

// Handler returns the HTTP handler for requests to services.
func (f *Frontend) Handler() bunrouter.HandlerFunc {
	return f.chain(f.readHeaders, f.checkAdmitting, f.takeSlot, f.readBody, f.route)
}

// chain returns a handler that runs the filters in order until one of them has sent the response.
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

// ErrorResponse is the body of the response to a request that ended before any line of a replica's response was forwarded. The JSON names are
// part of the public interface.
type ErrorResponse struct {
	// Request is the ID of the request, Attempt that of its last attempt.
	Request string `json:"request,omitempty"`
	// Outcome is one of router.OutcomeInvalid, router.OutcomeRepeat, router.OutcomeRejected and router.OutcomeUnknown.
	Outcome      string `json:"outcome"`
	Attempt      string `json:"go,omitempty"`
	Reason       string `json:"why"`
	RetryAfterMs int64  `json:"retryAfterMs,omitempty"`
}

// respondError sends an ErrorResponse. If retryAfter is positive, the response states how long the client should wait before it retries: in
// the body, and rounded up to whole seconds in the Retry-After header.
func (f *Frontend) respondError(x *Exchange, status int, response ErrorResponse, retryAfter time.Duration) {
	if retryAfter > 0 {
		secs := int64((retryAfter + time.Second - 1) / time.Second)
		x.w.Header().Set("Retry-After", strconv.FormatInt(secs, 10))
		response.RetryAfterMs = retryAfter.Milliseconds()
	}
	response.Request = x.requestID
	x.w.Header().Set("X-Node", f.NodeID)
	x.w.Header().Set("Content-Type", "application/json")
	x.w.Header().Set("X-Outcome", response.Outcome)
	x.w.WriteHeader(status)
	_ = json.NewEncoder(x.w).Encode(response)
}

func (f *Frontend) respondInvalid(x *Exchange, status int, reason string) bool {
	f.Counters.Invalid.Add(1)
	f.respondError(x, status, ErrorResponse{Outcome: router.OutcomeInvalid, Reason: reason}, 0)
	return true
}

func (f *Frontend) reject(x *Exchange, reason string, retryAfter time.Duration) bool {
	f.Counters.Rejected.Add(1)
	f.respondError(x, http.StatusServiceUnavailable, ErrorResponse{Outcome: router.OutcomeRejected, Reason: reason}, retryAfter)
	return true
}

func (f *Frontend) rejectRepeated(x *Exchange, reason string) bool {
	f.Counters.Repeated.Add(1)
	f.respondError(x, http.StatusConflict, ErrorResponse{Outcome: router.OutcomeRepeat, Reason: reason}, 0)
	return true
}

// rejectUnrouted rejects a request that was not passed to the router. If a request with the same ID is running on this node or, if it is not
// idempotent, was sent by this node before, it is rejected as repeated instead.
func (f *Frontend) rejectUnrouted(x *Exchange, reason string) bool {
	repeatedReason := ""
	f.router.Inspect(func(r *router.Router) {
		repeatedReason = r.AlreadyRan(x.r.Param("offer"), x.r.Param("kind"), x.requestID)
	})
	if repeatedReason != "" {
		return f.rejectRepeated(x, repeatedReason)
	}
	return f.reject(x, reason, time.Second)
}

func (f *Frontend) checkAdmitting(x *Exchange) bool {
	if f.draining.Load() {
		return f.rejectUnrouted(x, "draining")
	}
	return false
}

// validID reports whether an ID has 1 to maxBytes bytes, all of them printable ASCII other than space, double quote and backslash.
func validID(s string, maxBytes int) bool {
	if s == "" || len(s) > maxBytes {
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
	x.requestID = x.r.Header.Get("X-Request-Id")
	if !validID(x.requestID, maxRequestIDBytes) {
		x.requestID = ""
		return f.respondInvalid(x, http.StatusBadRequest, "X-Request-Id: must be 1 to 128 printable bytes without quotes")
	}
	x.prefix = x.r.Header.Get("X-Prompt-Prefix")
	if len(x.prefix) > maxPrefixBytes {
		return f.respondInvalid(x, http.StatusRequestHeaderFieldsTooLarge, "X-Prompt-Prefix: must be at most 16384 bytes")
	}
	return false
}

func (f *Frontend) readBody(x *Exchange) bool {
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, int64(f.limits.MaxBodyBytes)))
	if _, tooLarge := err.(*http.MaxBytesError); tooLarge {
		return f.respondInvalid(x, http.StatusRequestEntityTooLarge, "body: must be at most "+strconv.Itoa(f.limits.MaxBodyBytes)+" bytes")
	}
	if err != nil {
		return f.respondInvalid(x, http.StatusBadRequest, "body: "+err.Error())
	}
	if !json.Valid(body) {
		return f.respondInvalid(x, http.StatusBadRequest, "body: must be JSON")
	}
	x.body = body
	// The server's read deadline would cancel a stream that outlasts it.
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Time{})
	return false
}

func (f *Frontend) takeSlot(x *Exchange) bool {
	select {
	case f.slots <- struct{}{}:
		x.release = func() { <-f.slots }
		return false
	default:
		return f.rejectUnrouted(x, "too many streams here")
	}
}
