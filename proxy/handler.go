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
	p.handlersRunning.Add(1)
	defer p.handlersRunning.Add(-1)
	x := &transfer{proxy: p, w: w, r: r, arrived: time.Now(), reserved: reservation{budget: &p.budget}, client: clientFromContext(r)}
	if x.client != nil {
		x.client.activate()
		x.arrived = x.client.takeArrivalTime()
	}
	x.exchange.Request = p.nextRequestID()
	x.events = EventStream{MaxEventBytes: p.settings.MaxEventBytes, LastID: first(r.Header, lastEventIDHeader), VersionField: strings.ToLower(p.headers.WeightsVersion)}
	defer x.cleanUp()
	arrival := p.newArrival(x)
	if err := p.shutdown.Load().admit(time.Now(), x.deadline); err != nil {
		x.rejectUnforwarded(err)
		return
	}
	if err := x.readBodyAndAdmit(); err != nil {
		x.rejectUnforwarded(err)
		return
	}
	if elapsed := time.Since(x.arrived); arrival.Timeout > 0 && elapsed > slowUpload {
		arrival.Timeout = max(arrival.Timeout-elapsed, time.Millisecond)
	}
	if !x.deadline.IsZero() && !time.Now().Before(x.deadline) {
		x.signal(DeadlinePassed{})
		return
	}
	x.run(arrival)
}

// readBodyAndAdmit reads the body of the request. If the process started to shut down meanwhile, the request is forwarded only if it is
// sure to end in time.
func (x *transfer) readBodyAndAdmit() error {
	if err := x.readBody(); err != nil || x.r.ContentLength == 0 {
		return err
	}
	return x.proxy.shutdown.Load().admit(time.Now(), x.deadline)
}

// slowUpload is the time for reading the body above which that time is subtracted from the timeout in the router.Arrival.
const slowUpload = 100 * time.Millisecond

// host returns the host of the request in lower case, without the port.
func host(r *http.Request) string {
	name := r.Host
	if strings.IndexByte(name, ':') >= 0 {
		if h, _, err := net.SplitHostPort(name); err == nil {
			name = h
		}
	}
	return strings.ToLower(name)
}

// path returns the path of the request as the client encoded it, without the query.
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

// newArrival returns what the router needs to know about the request, and sets the transfer's deadline.
func (p *Proxy) newArrival(x *transfer) router.Arrival {
	header := x.r.Header
	arrival := router.Arrival{Request: x.exchange.Request, Host: host(x.r), Path: path(x.r)}
	arrival.Prefix, arrival.Model = first(header, p.headers.Prefix), first(header, p.headers.Model)
	if v := first(header, p.headers.Tokens); v != "" && p.headers.ParseTokens != nil {
		arrival.PromptTokens, arrival.MaxOutputTokens = p.headers.ParseTokens(v)
	}
	if key := first(header, p.headers.Credential); key != "" {
		arrival.Key, arrival.HasKey = config.HashKey(key), true
	}
	if ms, err := strconv.ParseInt(first(header, p.headers.Deadline), 10, 32); err == nil && ms > 0 {
		arrival.Timeout = time.Duration(ms) * time.Millisecond
		x.deadline = x.arrived.Add(arrival.Timeout)
	}
	return arrival
}

// errorBody is the JSON body of a response that the proxy itself writes.
type errorBody struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"why,omitempty"`
}

func (x *transfer) writeResponse(status int, outcome, reason string) {
	h := x.w.Header()
	x.setConnectionHeader()
	body, _ := json.Marshal(errorBody{Outcome: outcome, Reason: reason})
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(status)
	_, _ = x.w.Write(body)
}

var connectionClose = []string{"close"}

// setConnectionHeader announces in the response whether the client's connection is closed after it, which is so if the node is shutting down
// or the limits have changed; otherwise it sets Keep-Alive to how long the connection may be idle.
func (x *transfer) setConnectionHeader() {
	h := x.w.Header()
	switch {
	case x.proxy.shutdown.Load() != nil, x.client != nil && x.client.acceptedUnderOtherLimits(x.proxy.limits()):
		h["Connection"] = connectionClose
	case x.client != nil && x.client.keepAlive != nil && !x.r.Close && h["Connection"] == nil:
		h["Keep-Alive"] = x.client.keepAlive
	}
}
