package httpapi

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/mallowbridge/mallowbridge"
)

// Witness tells how a go ends before it began, or nothing when it may leave.
type Witness func(request string, spare time.Duration, peek bool) (how mallowbridge.How)

type Limits struct {
	MaxBody, MaxStreams int
	Dial, Head, Line    time.Duration
	Write               time.Duration
	LineBytes           int
}

func Bounds(maxBody, maxStreams int) (l Limits) {
	return Limits{
		MaxBody: maxBody, MaxStreams: maxStreams, Dial: 500 * time.Millisecond, Head: 60 * time.Second, Line: 30 * time.Second,
		Write: 10 * time.Second, LineBytes: 256 << 10,
	}
}

type Counters struct {
	Requests, Denied, Repeats, Done, Partial, Unknown, Bad, Hangups, Breaks atomic.Uint64
}

type Gate struct {
	desk    *mallowbridge.Desk
	witness Witness
	limits  Limits
	Front   string
	room    chan struct{}
	retired atomic.Bool
	shut    atomic.Bool
	N       Counters
}

func New(desk *mallowbridge.Desk, witness Witness, limits Limits) (g *Gate) {
	return &Gate{desk: desk, witness: witness, limits: limits, room: make(chan struct{}, limits.MaxStreams)}
}

func (g *Gate) Shut() { g.shut.Store(true) }

// Retire tells the platform to send agents elsewhere; who comes all the same is still let in.
func (g *Gate) Retire() { g.retired.Store(true) }

func (g *Gate) Open() (yes bool) { return !g.shut.Load() && !g.retired.Load() }

func (g *Gate) Running() (n int) { return len(g.room) }

type Exchange struct {
	w       http.ResponseWriter
	r       bunrouter.Request
	request string
	prefix  string
	body    []byte
	release func()
}

type Filter func(x *Exchange) (answered bool)

func (g *Gate) Handler() (h bunrouter.HandlerFunc) {
	return g.chain(g.name, g.ready, g.admit, g.read, g.trade)
}

func (g *Gate) chain(fs ...Filter) (h bunrouter.HandlerFunc) {
	return func(w http.ResponseWriter, r bunrouter.Request) (err error) {
		x := &Exchange{w: w, r: r, release: func() {}}
		_ = http.NewResponseController(w).EnableFullDuplex()
		defer func() { x.release() }()
		g.N.Requests.Add(1)
		for _, f := range fs {
			if f(x) {
				return nil
			}
		}
		return nil
	}
}

type Outcome struct {
	Request string `json:"request,omitempty"`
	Outcome string `json:"outcome"`
	Go      string `json:"go,omitempty"`
	Why     string `json:"why"`
	AfterMs int64  `json:"retryAfterMs,omitempty"`
}

func (g *Gate) say(x *Exchange, status int, o Outcome, after time.Duration) {
	if after > 0 {
		secs := int64((after + time.Second - 1) / time.Second)
		x.w.Header().Set("Retry-After", strconv.FormatInt(secs, 10))
		o.AfterMs = after.Milliseconds()
	}
	o.Request = x.request
	x.w.Header().Set("X-Node", g.Front)
	x.w.Header().Set("Content-Type", "application/json")
	x.w.Header().Set("X-Outcome", o.Outcome)
	x.w.WriteHeader(status)
	_ = json.NewEncoder(x.w).Encode(o)
}

func (g *Gate) bad(x *Exchange, status int, why string) (answered bool) {
	g.N.Bad.Add(1)
	g.say(x, status, Outcome{Outcome: "bad", Why: why}, 0)
	return true
}

func (g *Gate) deny(x *Exchange, why string, after time.Duration) (answered bool) {
	g.N.Denied.Add(1)
	g.say(x, http.StatusServiceUnavailable, Outcome{Outcome: "denied", Why: why}, after)
	return true
}

func (g *Gate) repeat(x *Exchange, why string) (answered bool) {
	g.N.Repeats.Add(1)
	g.say(x, http.StatusConflict, Outcome{Outcome: "repeat", Why: why}, 0)
	return true
}

// away denies at the door, unless this node gave the request its one go before.
func (g *Gate) away(x *Exchange, why string) (answered bool) {
	had := ""
	g.desk.Look(func(r *mallowbridge.Router) { had = r.AlreadyRan(x.r.Param("offer"), x.r.Param("kind"), x.request) })
	if had != "" {
		return g.repeat(x, had)
	}
	return g.deny(x, why, time.Second)
}

func (g *Gate) ready(x *Exchange) (answered bool) {
	if g.shut.Load() {
		return g.away(x, "draining")
	}
	return false
}

func clean(s string, max int) (ok bool) {
	if s == "" || len(s) > max {
		return false
	}
	for _, c := range []byte(s) {
		if c <= ' ' || c > '~' || c == '"' || c == '\\' {
			return false
		}
	}
	return true
}

func (g *Gate) name(x *Exchange) (answered bool) {
	x.request = x.r.Header.Get("X-Request-Id")
	if !clean(x.request, 128) {
		x.request = ""
		return g.bad(x, http.StatusBadRequest, "X-Request-Id: must be 1 to 128 printable bytes without quotes")
	}
	x.prefix = x.r.Header.Get("X-Prompt-Prefix")
	if len(x.prefix) > 16<<10 {
		return g.bad(x, http.StatusRequestHeaderFieldsTooLarge, "X-Prompt-Prefix: must be at most 16384 bytes")
	}
	return false
}

func (g *Gate) read(x *Exchange) (answered bool) {
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, int64(g.limits.MaxBody)))
	if _, long := err.(*http.MaxBytesError); long {
		return g.bad(x, http.StatusRequestEntityTooLarge, "body: must be at most "+strconv.Itoa(g.limits.MaxBody)+" bytes")
	}
	if err != nil {
		return g.bad(x, http.StatusBadRequest, "body: "+err.Error())
	}
	if !json.Valid(body) {
		return g.bad(x, http.StatusBadRequest, "body: must be JSON")
	}
	x.body = body
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Time{})
	return false
}

func (g *Gate) admit(x *Exchange) (answered bool) {
	select {
	case g.room <- struct{}{}:
		x.release = func() { <-g.room }
		return false
	default:
		return g.away(x, "too many streams here")
	}
}
