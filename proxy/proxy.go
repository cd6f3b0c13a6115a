package proxy

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/router"
)

// Router decides where requests are sent; *router.Loop implements it.
type Router interface {
	Submit(a router.Arrival) <-chan router.Decision
	Notify(ev router.Event)
}

// Headers names the headers that clients and replicas use, and the functions that parse their values. A header whose name is empty is not
// used.
type Headers struct {
	// AttemptID identifies a request, so that a response can be matched to it. The client sets it, and the replica copies it into the
	// response.
	AttemptID string
	// TargetInstance names the only replica instance that may run the request.
	TargetInstance string
	// NotExecuted in a response states that the replica did not and will not run the request.
	NotExecuted string
	// Load in a response is the load of the replica.
	Load string
	// Deadline is how many milliseconds the client waits for the response.
	Deadline string
	// Prefix describes the prefix blocks of the prompt, Model names the requested model, and Tokens contains the token counts that
	// ParseTokens reads.
	Prefix string
	Model  string
	Tokens string
	// Seal is present in every successful response of a replica; one without it is not forwarded. Its value is not checked.
	Seal string
	// Instance in a response names the replica instance that sent it.
	Instance string
	// Priority is the priority value for the replica; a value from the client is kept.
	Priority string
	// Credential contains the client's key and nothing else; it is not passed on to replicas. They receive the key's tenant in Tenant
	// instead, which replaces any value from the client.
	Credential, Tenant string
	// WeightsVersion in a response is the version of the weights that generate it, a whole number. An event of a stream may begin with a
	// field of this name in lower case, which changes the version from that event on.
	WeightsVersion string
	// ExpectedVersion names the weights version that a replica needs to continue a stream; a replica with another version responds with
	// 421.
	ExpectedVersion string

	// ParseTokens returns the number of prompt tokens and the maximum number of output tokens from the value of Tokens.
	ParseTokens func(value string) (prompt, maxOutput int)
	// ParseLoad parses the value of Load, leaving the replica empty. It returns false if the value is invalid.
	ParseLoad func(value string) (router.ReplicaLoad, bool)
}

// canonical returns h with all names in the canonical form that http.Header uses.
func (h Headers) canonical() Headers {
	for _, name := range []*string{
		&h.AttemptID, &h.TargetInstance, &h.NotExecuted, &h.Load, &h.Deadline, &h.Prefix, &h.Model, &h.Tokens, &h.Seal, &h.Instance, &h.Priority, &h.WeightsVersion, &h.ExpectedVersion,
		&h.Credential, &h.Tenant,
	} {
		*name = http.CanonicalHeaderKey(*name)
	}
	return h
}

// Settings are timeouts and size limits of the data path.
type Settings struct {
	// DialTimeout bounds how long opening a connection to a replica may take.
	DialTimeout time.Duration
	// IdleTimeout is how long a connection to a replica may be idle and still be reused if the replica names no Keep-Alive timeout.
	IdleTimeout time.Duration
	// IdleMargin shortens the reuse of a connection if the replica names a Keep-Alive timeout: the connection is reused for four fifths of
	// that timeout less IdleMargin.
	IdleMargin time.Duration
	// IdleTimeoutNonRetryable replaces IdleTimeout for requests that must not be sent twice.
	IdleTimeoutNonRetryable time.Duration
	// UserTimeout bounds how long bytes sent to a replica may stay unacknowledged (TCP_USER_TIMEOUT).
	UserTimeout time.Duration
	// ReceiveWindow is the longest request body, in bytes, that the kernel of any replica accepts before the replica reads it. A longer one
	// may stay unacknowledged until the deadline.
	ReceiveWindow int
	// DeadlineGrace is how much longer than the request's deadline the proxy waits for a replica to report that the deadline has passed.
	DeadlineGrace time.Duration
	// StallTimeout is the period after which a write to a client is checked for progress. The write fails after two such periods in a row in
	// which the client accepted no bytes.
	StallTimeout time.Duration
	// UploadTimeout bounds how long receiving the body of a request may take in total; an earlier deadline of the client takes precedence.
	UploadTimeout time.Duration
	// ShutdownLinger is how long idle client connections stay open after the call of Shutdown.
	ShutdownLinger time.Duration
	// MaxBufferedResponseBytes is how much of a response that is not a stream is buffered before it is forwarded.
	MaxBufferedResponseBytes int
	// MaxEventBytes is the maximum size of one event of a stream.
	MaxEventBytes int
	// MaxResponseHeadBytes is the maximum size of the head of a response, and MaxBodyBytes that of a request body unless the configuration
	// sets another limit.
	MaxResponseHeadBytes int
	MaxBodyBytes         int
	// BudgetBytes bounds the memory for bodies and buffered responses of all requests; requests beyond it are rejected without reading
	// their body. 0 means no bound.
	BudgetBytes int
}

// Defaults returns the settings that the daemon uses.
func Defaults() Settings {
	return Settings{
		DialTimeout: 400 * time.Millisecond, IdleTimeout: 4 * time.Second, IdleMargin: 200 * time.Millisecond, IdleTimeoutNonRetryable: 500 * time.Millisecond,
		UserTimeout: 1500 * time.Millisecond, ReceiveWindow: 8 << 10, DeadlineGrace: 250 * time.Millisecond, StallTimeout: 5 * time.Second, UploadTimeout: time.Minute,
		ShutdownLinger: 500 * time.Millisecond, MaxBufferedResponseBytes: 256 << 10, MaxEventBytes: 1 << 20, MaxResponseHeadBytes: 64 << 10, MaxBodyBytes: 16 << 20, BudgetBytes: 32 << 20,
	}
}

// Counters count requests by outcome, and events on connections, since the process started.
type Counters struct {
	// Requests counts all requests. They end as Done (complete response of a replica), Denied (503), NotFound (404), Unknown (502: the
	// request may have run), Bad (the body could not be read or was too large), Full (503: no memory budget), Hangups (the client
	// disconnected), Aborted (the response was cut off) or Expired (504: the deadline passed), or in one of the ways below.
	Requests, Done, Denied, NotFound, Unknown, Bad, Full, Hangups, Aborted, Expired atomic.Uint64
	// Unauthorized counts requests whose key belongs to no tenant, OverQuota requests beyond the quota of their tenant.
	Unauthorized, OverQuota atomic.Uint64
	// ShuttingDown counts requests that were rejected because the process is shutting down.
	ShuttingDown atomic.Uint64
	// Dials counts attempts to open a connection to a replica, DialFails those that failed, and Capped requests that failed at the
	// connection limit. Reused counts uses of idle connections, Stale idle connections that were no longer usable, and Unwritten requests
	// that could not be written because a new connection failed too.
	Dials, DialFails, Capped, Reused, Stale, Unwritten atomic.Uint64
	// Broken counts attempts that failed, Refused those that the replica or the connection limit refused, and Misplaced 421 responses from
	// a wrong instance. Surplus counts unexpected responses, and Resumed streams that were continued at another replica.
	Broken, Refused, Misplaced, Surplus, Resumed atomic.Uint64
}

// Proxy forwards requests for any host and path to the replicas that the router chooses.
type Proxy struct {
	router   Router
	headers  Headers
	settings Settings
	limits   func() config.Limits
	pool     *Pool
	budget   Budget
	// requestIDPrefix and seq form the IDs of requests for the router.
	requestIDPrefix string
	seq             atomic.Uint64
	// handlersRunning counts requests that are being served, and activeClients connections from the first byte of a request to the last
	// byte of its response.
	handlersRunning atomic.Int64
	activeClients   atomic.Int64
	// shutdown is nil until Shutdown is called. closing is set when idle connections are to be closed.
	shutdown atomic.Pointer[shutdown]
	closing  atomic.Bool
	// clients is the set of open client connections. A goroutine that receives it owns it until it sends it back.
	clients  chan map[*client]struct{}
	Counters Counters
}

// New returns a proxy. The function limits returns the limits in force and must be safe for concurrent use. The incarnation distinguishes
// this run of the process from other runs on the same node.
func New(decisions Router, headers Headers, settings Settings, limits func() config.Limits, incarnation string) *Proxy {
	p := &Proxy{router: decisions, headers: headers.canonical(), settings: settings, limits: limits, requestIDPrefix: incarnation + "/"}
	p.pool, p.budget.Limit = NewPool(settings, &p.Counters), int64(settings.BudgetBytes)
	p.clients = make(chan map[*client]struct{}, 1)
	p.clients <- map[*client]struct{}{}
	return p
}

func (p *Proxy) nextRequestID() string {
	return p.requestIDPrefix + strconv.FormatUint(p.seq.Add(1), 36)
}
