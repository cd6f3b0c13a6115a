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

// applyRoutes adds the routes of a configuration. Each route becomes a request class of each service in its traffic split, one for each priority
// that its requests can have.
func (r *Router) applyRoutes(snapshot *config.Snapshot, used map[scheduler.RequestClassID]bool) {
	r.routesByHost = map[string][]*config.Route{}
	tenants := tenantPriorities(snapshot)
	for i := range snapshot.Config.Routes {
		route := &snapshot.Config.Routes[i]
		host := hostOnly(route.Host)
		r.routesByHost[host] = append(r.routesByHost[host], route)
		priorities := routePriorities(tenants, route)
		for _, part := range route.TrafficSplit {
			service, ok := r.services[part.Service]
			if !ok {
				continue
			}
			for _, priority := range priorities {
				class := r.classRow(service, classKey{name: route.Name, route: true, priority: priority}, used)
				r.scheduler.Services[service].Classes[class] = routeClass(route, priority)
			}
		}
	}
	for _, routes := range r.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
}

func routeClass(route *config.Route, priority int) scheduler.RequestClass {
	return scheduler.RequestClass{
		Value: 1, Urgency: math.Pow(2, -float64(priority)), FirstTokenTarget: orElse(route.FirstTokenTarget, route.Timeout),
		Idempotent: route.Idempotent || route.Resumable, Resumable: route.Resumable, MaxAttempts: max(route.MaxAttempts, 1), Timeout: route.Timeout, SilenceTimeout: route.SilenceTimeout(),
	}
}

// orElse returns t if it is positive, otherwise other.
func orElse(t, other time.Duration) time.Duration {
	if t > 0 {
		return t
	}
	return other
}

// classRow returns the index of a class within a service. For a new class it reuses the row of a removed class that no request uses any more,
// or adds a row.
func (r *Router) classRow(service int, key classKey, used map[scheduler.RequestClassID]bool) int {
	known, row := r.classes[service], &r.scheduler.Services[service]
	class, ok := known[key]
	if ok {
		return class
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

// hostOnly returns the host in lower case and without its port.
func hostOnly(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// matchRoute returns the host's route with the longest prefix that matches the path, or nil.
func (r *Router) matchRoute(host, path string) *config.Route {
	for _, route := range r.routesByHost[hostOnly(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// pickService chooses a service from the route's traffic split by weight. The choice depends only on the route's name and the request ID.
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
