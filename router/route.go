package router

import (
	"math"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/scheduler"
)

// applyRoutes makes each route, at each priority that tenants have, a class of every service that it may go to.
func (r *Router) applyRoutes(p *config.Snapshot, used map[scheduler.RequestClassID]bool) {
	r.routesByHost = map[string][]*config.Route{}
	tenants := tenantPriorities(p)
	for i := range p.Config.Routes {
		route := &p.Config.Routes[i]
		host := hostOnly(route.Host)
		r.routesByHost[host] = append(r.routesByHost[host], route)
		priorities := routePriorities(tenants, route)
		for _, part := range route.TrafficSplit {
			service, ok := r.services[part.Service]
			if !ok {
				continue
			}
			for _, priority := range priorities {
				at := r.classRow(service, classKey{name: route.Name, route: true, priority: priority}, used)
				r.scheduler.Services[service].Classes[at] = routeClass(route, priority)
			}
		}
	}
	for _, routes := range r.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
}

func routeClass(route *config.Route, priority int) scheduler.RequestClass {
	return scheduler.RequestClass{
		Value: 1, Urgency: math.Pow(2, -float64(priority)), FirstTokenTarget: orElse(route.FirstToken, route.Timeout),
		Idempotent: route.Repeatable || route.Resumable, Resumable: route.Resumable, MaxAttempts: max(route.MaxAttempts, 1), Timeout: route.Timeout,
	}
}

func orElse(t, other time.Duration) time.Duration {
	if t > 0 {
		return t
	}
	return other
}

// classRow finds the row of a class, or takes one that nothing refers to any more.
func (r *Router) classRow(service int, key classKey, used map[scheduler.RequestClassID]bool) int {
	known, row := r.classes[service], &r.scheduler.Services[service]
	at, ok := known[key]
	if ok {
		return at
	}
	for old, i := range known {
		if row.Classes[i].Removed && !used[scheduler.RequestClassID{Service: service, Class: i}] {
			delete(known, old)
			known[key] = i
			return i
		}
	}
	known[key] = len(row.Classes)
	row.Classes = append(row.Classes, scheduler.RequestClass{})
	return known[key]
}

// hostOnly cuts off the port.
func hostOnly(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// matchRoute gives the host's route with the longest prefix of the path, or nil.
func (r *Router) matchRoute(host, path string) *config.Route {
	for _, route := range r.routesByHost[hostOnly(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// pickService splits requests over services by weight and the hash of their ids.
func pickService(route *config.Route, request string) string {
	total := 0.0
	for _, part := range route.TrafficSplit {
		total += part.Weight
	}
	point := float64(xxhash.Sum64String(route.Name+"\x00"+request)>>11) / (1 << 53) * total
	var service string
	for _, part := range route.TrafficSplit {
		if part.Weight <= 0 {
			continue
		}
		service = part.Service
		if point -= part.Weight; point < 0 {
			break
		}
	}
	return service
}
