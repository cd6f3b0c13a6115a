package mallowbridge

import (
	"math"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/prefixindex"
	"github.com/mallowbridge/mallowbridge/scheduler"
)

// route makes each route a kind of every offer that it may go to.
func (r *Router) route(p *config.Snapshot, used map[scheduler.ClassID]bool) {
	r.hosts = map[string][]*config.Route{}
	for i := range p.Charter.Routes {
		rt := &p.Charter.Routes[i]
		host := hostOnly(rt.Host)
		r.hosts[host] = append(r.hosts[host], rt)
		for _, s := range rt.Split {
			offer, ok := r.offers[s.Offer]
			if !ok {
				continue
			}
			at := r.kind(offer, kindKey{name: rt.Name, route: true}, used)
			r.m.Services[offer].Classes[at] = routeKind(rt)
		}
	}
	for _, rs := range r.hosts {
		sort.SliceStable(rs, func(i, j int) bool { return len(rs[i].Prefix) > len(rs[j].Prefix) })
	}
}

func routeKind(rt *config.Route) (k scheduler.Class) {
	return scheduler.Class{
		Value: 1, Urgency: math.Pow(2, -float64(rt.Rank)), FirstTokenBound: orElse(rt.FirstToken, rt.Timeout),
		Repeatable: rt.Repeatable || rt.Resumable, Resumable: rt.Resumable, Attempts: max(rt.Attempts, 1), Timeout: rt.Timeout,
	}
}

func orElse(t, other time.Duration) (chosen time.Duration) {
	if t > 0 {
		return t
	}
	return other
}

// kind finds the row of a kind, or takes one that nothing refers to any more.
func (r *Router) kind(offer int, key kindKey, used map[scheduler.ClassID]bool) (at int) {
	known, row := r.kinds[offer], &r.m.Services[offer]
	at, ok := known[key]
	if ok {
		return at
	}
	for old, i := range known {
		if row.Classes[i].Gone && !used[scheduler.ClassID{Service: offer, Class: i}] {
			delete(known, old)
			known[key] = i
			return i
		}
	}
	known[key] = len(row.Classes)
	row.Classes = append(row.Classes, scheduler.Class{})
	return known[key]
}

func hostOnly(host string) (name string) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

func (r *Router) match(host, path string) (rt *config.Route) {
	for _, rt := range r.hosts[hostOnly(host)] {
		if strings.HasPrefix(path, rt.Prefix) {
			return rt
		}
	}
	return nil
}

// pick splits requests over offers by weight and the hash of their ids.
func pick(rt *config.Route, request string) (offer string) {
	total := 0.0
	for _, s := range rt.Split {
		total += s.Weight
	}
	point := float64(xxhash.Sum64String(rt.Name+"\x00"+request)>>11) / (1 << 53) * total
	for _, s := range rt.Split {
		if s.Weight <= 0 {
			continue
		}
		offer = s.Offer
		if point -= s.Weight; point < 0 {
			break
		}
	}
	return offer
}

func (r *Router) arriveRouted(now time.Duration, e Arrive) (d Decision, answered bool) {
	bad := func(why string) (Decision, bool) {
		return Decision{Verdict: Deny, Request: e.Request, Why: why, Bad: true}, true
	}
	rt := r.match(e.Host, e.Path)
	if rt == nil {
		return bad("no such route")
	}
	name := pick(rt, e.Request)
	offer, ok := r.offers[name]
	if !ok {
		return bad("no such offer")
	}
	model := e.Model
	if model == "" {
		model = r.model(name)
	}
	parts, err := prefixindex.Parse(model, e.Prefix)
	if err != nil {
		parts = nil
	}
	kind := r.kinds[offer][kindKey{name: rt.Name, route: true}]
	id := r.m.Arrive(now, scheduler.Request{Service: offer, Class: kind, Parts: parts, Tail: e.tail(parts), Patience: e.Patience})
	r.asks[e.Request], r.names[id] = id, asked{request: e.Request, route: rt}
	return d, false
}

func (e Arrive) tail(parts []prefixindex.Part) (tokens int) {
	if e.Tokens == 0 {
		return e.Tail
	}
	return max(e.Tokens-prefixindex.Tokens(parts), 0)
}
