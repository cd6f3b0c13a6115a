package ferry

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/mallowbridge/mallowbridge"
)

func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	p.N.Requests.Add(1)
	p.running.Add(1)
	defer p.running.Add(-1)
	body, err := p.body(w, r)
	if err != nil {
		p.N.Bad.Add(1)
		status := http.StatusBadRequest
		var long *http.MaxBytesError
		if errors.As(err, &long) {
			status = http.StatusRequestEntityTooLarge
		}
		p.say(w, status, "bad", err.Error())
		return
	}
	x := &transfer{p: p, w: w, r: r, body: body, arrived: arrived, ex: Exchange{Request: p.name()}}
	x.events = Events{Bound: p.set.Event, Last: r.Header.Get(lastEvent)}
	defer x.drop()
	x.run(p.arrive(x))
}

func (p *Proxy) body(w http.ResponseWriter, r *http.Request) (body []byte, err error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	most := int64(p.set.BodyBytes)
	if n := p.limits().BodyBytes; n > 0 {
		most = int64(n)
	}
	if r.ContentLength > most {
		w.Header().Set("Connection", "close")
		return nil, &http.MaxBytesError{Limit: most}
	}
	if r.ContentLength < 0 {
		return io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	}
	body = make([]byte, r.ContentLength)
	if _, err = io.ReadFull(r.Body, body); err != nil {
		return nil, err
	}
	_, _ = r.Body.Read(make([]byte, 1))
	return body, nil
}

func host(r *http.Request) (name string) {
	name = r.Host
	if h, _, err := net.SplitHostPort(name); err == nil {
		name = h
	}
	return strings.ToLower(name)
}

func path(r *http.Request) (p string) {
	p = r.RequestURI
	if r.URL.IsAbs() {
		_, p, _ = strings.Cut(p, "://")
		if at := strings.IndexByte(p, '/'); at >= 0 {
			p = p[at:]
		}
	}
	p, _, _ = strings.Cut(p, "?")
	return p
}

func (p *Proxy) arrive(x *transfer) (a mallowbridge.Arrive) {
	h := x.r.Header
	a = mallowbridge.Arrive{Request: x.ex.Request, Host: host(x.r), Path: path(x.r)}
	if p.headers.Prefix != "" {
		a.Prefix = h.Get(p.headers.Prefix)
	}
	if p.headers.Model != "" {
		a.Model = h.Get(p.headers.Model)
	}
	if v := h.Get(p.headers.Tokens); v != "" && p.headers.ParseTokens != nil {
		a.Tokens, a.Most = p.headers.ParseTokens(v)
	}
	if ms, err := strconv.ParseInt(h.Get(p.headers.Deadline), 10, 32); err == nil && ms > 0 {
		a.Patience = time.Duration(ms) * time.Millisecond
		x.deadline = x.arrived.Add(a.Patience)
	}
	return a
}

type answer struct {
	Outcome string `json:"outcome"`
	Why     string `json:"why,omitempty"`
}

func (p *Proxy) say(w http.ResponseWriter, status int, outcome, why string) {
	p.retire(w)
	body, _ := json.Marshal(answer{Outcome: outcome, Why: why})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (p *Proxy) retire(w http.ResponseWriter) {
	if p.retired.Load() {
		w.Header().Set("Connection", "close")
	}
}
