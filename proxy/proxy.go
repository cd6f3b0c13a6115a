package proxy

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/router"
)

// Router decides where requests go. *router.Loop is one.
type Router interface {
	Submit(a router.Arrival) <-chan router.Decision
	Notify(ev router.Event)
}

// Headers are the names that clients and replicas use, and how to read their values. An empty name is not used.
type Headers struct {
	// AttemptID is the client's id of a request; answers carry it back.
	AttemptID string
	// TargetInstance names the instance that alone may run the request.
	TargetInstance string
	// NotExecuted in an answer says that the replica did not and will not run the request.
	NotExecuted string
	Load        string
	// Deadline holds how many milliseconds the client will wait.
	Deadline string
	Prefix   string
	Model    string
	Tokens   string
	// Seal marks every success of a replica.
	Seal string
	// Instance in an answer names the instance that gave it.
	Instance string
	// Priority tells the replica how urgent the request is; one that the client sent stays.
	Priority string
	// Credential holds a client's key and nothing else; replicas don't see it. Tenant tells them the key's tenant instead, whatever the
	// client sent.
	Credential, Tenant string
	// WeightsVersion in an answer is the version of the weights that it is made with, a whole number. An event of a stream may begin with a
	// line of this name in lower case: the version from there on.
	WeightsVersion string
	// ExpectedVersion names the weights' version with which alone a replica may go on with a stream; one of another version answers 421.
	ExpectedVersion string

	ParseTokens func(value string) (prompt, most int)
	// ParseLoad reads the value of Load; the replica stays empty. Not ok where it cannot be read.
	ParseLoad func(value string) (router.ReplicaLoad, bool)
}

func (h Headers) canonical() Headers {
	for _, name := range []*string{
		&h.AttemptID, &h.TargetInstance, &h.NotExecuted, &h.Load, &h.Deadline, &h.Prefix, &h.Model, &h.Tokens, &h.Seal, &h.Instance, &h.Priority, &h.WeightsVersion, &h.ExpectedVersion,
		&h.Credential, &h.Tenant,
	} {
		*name = http.CanonicalHeaderKey(*name)
	}
	return h
}

// Settings are the bounds of the data path.
type Settings struct {
	// DialTimeout bounds how long opening a connection to a replica may take.
	DialTimeout time.Duration
	// IdleTimeout is how long a kept connection may rest where the replica does not say.
	IdleTimeout time.Duration
	// IdleMargin is taken off the time that a replica does say, besides a fifth of it.
	IdleMargin time.Duration
	// IdleTimeoutNonIdempotent is how long a connection may rest, where the replica does not say, before requests that may not be repeated shun it.
	IdleTimeoutNonIdempotent time.Duration
	// UserTimeout bounds how long sent bytes may stay unacknowledged (TCP_USER_TIMEOUT).
	UserTimeout time.Duration
	// ReceiveWindow is the longest request that any replica takes in without reading it; a longer one may wait unsent.
	ReceiveWindow int
	// DeadlineGrace is how much longer than the request's deadline a replica may take to say that it is over.
	DeadlineGrace time.Duration
	// StallTimeout is a time in which a client that reads at all takes some bytes; see quietWindows.
	StallTimeout time.Duration
	// UploadTimeout bounds how long a request's body may take as a whole where the client's own deadline does not.
	UploadTimeout time.Duration
	// ShutdownLinger is how long idle clients' connections outlive the call of Shutdown.
	ShutdownLinger time.Duration
	// MaxBufferedResponseBytes is how much of an answer that is no stream is held back until it is whole.
	MaxBufferedResponseBytes int
	// MaxEventBytes bounds one event of a stream.
	MaxEventBytes      int
	MaxResponseHeadBytes int
	MaxBodyBytes       int
	// BudgetBytes bounds the bytes of bodies and held answers in all; beyond it requests are refused unread. 0: no bound.
	BudgetBytes int
}

// Defaults gives the settings that the daemon uses.
func Defaults() Settings {
	return Settings{
		DialTimeout: 400 * time.Millisecond, IdleTimeout: 4 * time.Second, IdleMargin: 200 * time.Millisecond, IdleTimeoutNonIdempotent: 500 * time.Millisecond,
		UserTimeout: 1500 * time.Millisecond, ReceiveWindow: 8 << 10, DeadlineGrace: 250 * time.Millisecond, StallTimeout: 5 * time.Second, UploadTimeout: time.Minute,
		ShutdownLinger: 500 * time.Millisecond, MaxBufferedResponseBytes: 256 << 10, MaxEventBytes: 1 << 20, MaxResponseHeadBytes: 64 << 10, MaxBodyBytes: 16 << 20, BudgetBytes: 32 << 20,
	}
}

// Counters count requests by their outcome, and what connections and replicas did, since the start.
type Counters struct {
	Requests, Done, Denied, NotFound, Unknown, Bad, Full, Hangups, Aborted, Expired atomic.Uint64
	// Unauthorized counts requests whose key no tenant has, OverQuota those beyond their tenant's quota.
	Unauthorized, OverQuota atomic.Uint64
	// ShuttingDown counts requests that were refused because the process was told to end.
	ShuttingDown                                       atomic.Uint64
	Dials, DialFails, Capped, Reused, Stale, Unwritten atomic.Uint64
	Broken, Refused, Misplaced, Surplus, Resumed       atomic.Uint64
}

// Proxy passes requests of any host and path to the replicas that the router chooses.
type Proxy struct {
	router   Router
	headers  Headers
	settings Settings
	limits   func() config.Limits
	pool     *Pool
	budget   Budget
	front    string
	seq      atomic.Uint64
	running  atomic.Int64
	active   atomic.Int64
	// shutdown is nil until the process is told to end.
	shutdown atomic.Pointer[shutdown]
	closing  atomic.Bool
	clients  chan map[*client]struct{}
	Counters Counters
}

// New makes a proxy; boot tells this incarnation of the process from others of the node.
func New(market Router, headers Headers, set Settings, limits func() config.Limits, boot string) *Proxy {
	p := &Proxy{router: market, headers: headers.canonical(), settings: set, limits: limits, front: boot + "/"}
	p.pool, p.budget.Limit = NewPool(set, &p.Counters), int64(set.BudgetBytes)
	p.clients = make(chan map[*client]struct{}, 1)
	p.clients <- map[*client]struct{}{}
	return p
}

func (p *Proxy) name() string {
	return p.front + strconv.FormatUint(p.seq.Add(1), 36)
}
