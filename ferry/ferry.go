package ferry

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/mallowbridge/mallowbridge"
	"github.com/mallowbridge/mallowbridge/charter"
)

// Market decides where requests go. *mallowbridge.Desk is one.
type Market interface {
	Submit(a mallowbridge.Arrive) (decisions <-chan mallowbridge.Decision)
	Tell(ev mallowbridge.Event)
}

// Headers are the names that user agents and replicas use, and how to read their values. An empty name is not used.
type Headers struct {
	// Attempt is the user agent's id of a request; answers carry it back.
	Attempt string
	// Target names the instance that alone may run the request.
	Target string
	// NotRun in an answer says that the replica did not and will not run the request.
	NotRun string
	Load   string
	// Deadline holds how many milliseconds the user agent will wait.
	Deadline string
	Prefix   string
	Model    string
	Tokens   string
	// Seal marks every success of a replica.
	Seal string
	// Instance in an answer names the instance that gave it.
	Instance string
	// Rank tells the replica how urgent the request is; one that the user agent sent stays.
	Rank string

	ParseTokens func(value string) (prompt, most int)
	ParseLoad   func(value string) (running, waiting, slots int, ok bool)
}

func (h Headers) canonical() (out Headers) {
	for _, name := range []*string{
		&h.Attempt, &h.Target, &h.NotRun, &h.Load, &h.Deadline, &h.Prefix, &h.Model, &h.Tokens, &h.Seal, &h.Instance, &h.Rank,
	} {
		*name = http.CanonicalHeaderKey(*name)
	}
	return h
}

type Settings struct {
	Dial time.Duration
	// Idle is how long a kept connection may rest where the replica does not say.
	Idle time.Duration
	// IdleMargin is taken off the time that a replica does say, besides a fifth of it.
	IdleMargin time.Duration
	// UserTimeout bounds how long sent bytes may stay unacknowledged (TCP_USER_TIMEOUT).
	UserTimeout time.Duration
	// Grace is how much longer than the request's deadline a replica may take to say that it is over.
	Grace time.Duration
	// Hold is how much of an answer that is no stream is held back until it is whole.
	Hold int
	// Event bounds one event of a stream.
	Event     int
	HeadBytes int
	BodyBytes int
}

func Defaults() (s Settings) {
	return Settings{
		Dial: 400 * time.Millisecond, Idle: 4 * time.Second, IdleMargin: 200 * time.Millisecond, UserTimeout: 1500 * time.Millisecond,
		Grace: 250 * time.Millisecond, Hold: 256 << 10, Event: 1 << 20, HeadBytes: 64 << 10, BodyBytes: 16 << 20,
	}
}

type Counters struct {
	Requests, Done, Denied, NotFound, Unknown, Bad, Hangups, Aborted, Expired atomic.Uint64
	Dials, DialFails, Capped, Reused, Stale                                   atomic.Uint64
	Broken, Refused, Misplaced, Surplus, Resumed                              atomic.Uint64
}

// Proxy passes requests of any host and path to the replicas that the market chooses.
type Proxy struct {
	market  Market
	headers Headers
	set     Settings
	limits  func() charter.Limits
	pool    *Pool
	front   string
	seq     atomic.Uint64
	running atomic.Int64
	retired atomic.Bool
	N       Counters
}

// New makes a proxy; boot tells this life of the process from others of the node.
func New(market Market, headers Headers, set Settings, limits func() charter.Limits, boot string) (p *Proxy) {
	p = &Proxy{market: market, headers: headers.canonical(), set: set, limits: limits, front: boot + "/"}
	p.pool = NewPool(set, &p.N)
	return p
}

// Retire lets user agents take their next requests elsewhere; who comes all the same is still served.
func (p *Proxy) Retire() { p.retired.Store(true) }

func (p *Proxy) Running() (n int) { return int(p.running.Load()) }

func (p *Proxy) name() (request string) {
	return p.front + strconv.FormatUint(p.seq.Add(1), 36)
}
