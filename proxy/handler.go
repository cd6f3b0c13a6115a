package proxy

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/router"
)

func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.Counters.Requests.Add(1)
	p.running.Add(1)
	defer p.running.Add(-1)
	x := &transfer{proxy: p, w: w, r: r, arrived: time.Now(), memory: reservation{budget: &p.budget}, client: clientOf(r)}
	if x.client != nil {
		x.client.activate()
		x.arrived = x.client.arrival()
	}
	x.exchange.Request = p.name()
	x.events = EventStream{MaxEventBytes: p.settings.MaxEventBytes, LastID: first(r.Header, lastEvent), VersionField: strings.ToLower(p.headers.WeightsVersion)}
	defer x.free()
	a := p.arrive(x)
	if err := p.shutdown.Load().admit(time.Now(), x.deadline); err != nil {
		x.refuse(err)
		return
	}
	if err := x.takeBody(); err != nil {
		x.refuse(err)
		return
	}
	if elapsed := time.Since(x.arrived); a.Timeout > 0 && elapsed > slowUpload {
		a.Timeout = max(a.Timeout-elapsed, time.Millisecond)
	}
	if !x.deadline.IsZero() && !time.Now().Before(x.deadline) {
		x.signal(DeadlinePassed{})
		return
	}
	x.run(a)
}

// takeBody reads the request's body. A process that was told to end meanwhile passes the request on only if that surely ends in time.
func (x *transfer) takeBody() error {
	if err := x.readBody(); err != nil || x.r.ContentLength == 0 {
		return err
	}
	return x.proxy.shutdown.Load().admit(time.Now(), x.deadline)
}

// slowUpload is how long a body may take before the router is told that less time is left.
const slowUpload = 100 * time.Millisecond

func host(r *http.Request) string {
	name := r.Host
	if strings.IndexByte(name, ':') >= 0 {
		if h, _, err := net.SplitHostPort(name); err == nil {
			name = h
		}
	}
	return strings.ToLower(name)
}

func path(r *http.Request) string {
	p := r.RequestURI
	if r.URL.IsAbs() {
		_, p, _ = strings.Cut(p, "://")
		if at := strings.IndexByte(p, '/'); at >= 0 {
			p = p[at:]
		}
	}
	p, _, _ = strings.Cut(p, "?")
	return p
}

func (p *Proxy) arrive(x *transfer) router.Arrival {
	h := x.r.Header
	a := router.Arrival{Request: x.exchange.Request, Host: host(x.r), Path: path(x.r)}
	a.Prefix, a.Model = first(h, p.headers.Prefix), first(h, p.headers.Model)
	if v := first(h, p.headers.Tokens); v != "" && p.headers.ParseTokens != nil {
		a.PromptTokens, a.MaxOutputTokens = p.headers.ParseTokens(v)
	}
	if key := first(h, p.headers.Credential); key != "" {
		a.Key, a.HasKey = config.HashKey(key), true
	}
	if ms, err := strconv.ParseInt(first(h, p.headers.Deadline), 10, 32); err == nil && ms > 0 {
		a.Timeout = time.Duration(ms) * time.Millisecond
		x.deadline = x.arrived.Add(a.Timeout)
	}
	return a
}

type answer struct {
	Outcome string `json:"outcome"`
	Why     string `json:"why,omitempty"`
}

func (x *transfer) answerWith(status int, outcome, why string) {
	h := x.w.Header()
	x.connection()
	body, _ := json.Marshal(answer{Outcome: outcome, Why: why})
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(status)
	_, _ = x.w.Write(body)
}

var closes = []string{"close"}

// connection says what becomes of the client's connection: it ends when this node is leaving or the limits have changed, and is kept as long as idle
// ones are.
func (x *transfer) connection() {
	h := x.w.Header()
	switch {
	case x.proxy.shutdown.Load() != nil, x.client != nil && x.client.outdated(x.proxy.limits()):
		h["Connection"] = closes
	case x.client != nil && x.client.keepAlive != nil && !x.r.Close && h["Connection"] == nil:
		h["Keep-Alive"] = x.client.keepAlive
	}
}
