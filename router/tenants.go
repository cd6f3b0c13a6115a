package router

import (
	"github.com/mallowbridge/mallowbridge/config"
)

// applyTenants applies the tenants of a configuration. Requests that were accepted with a key that has since been removed continue.
func (r *Router) applyTenants(snapshot *config.Snapshot) {
	r.tenantsByKey = map[config.KeyHash]*config.Tenant{}
	limited := map[string]bool{}
	for i := range snapshot.Config.Tenants {
		tenant := &snapshot.Config.Tenants[i]
		for _, key := range tenant.Keys {
			r.tenantsByKey[key] = tenant
		}
		limited[tenant.Name] = tenant.Rate > 0
	}
	r.quotas.limited = limited
}

// authorize returns the tenant whose key the request has, nil if there is none, and whether the route accepts the request. A request without
// a tenant is accepted if the route is public or the configuration has no tenants.
func (r *Router) authorize(e *Arrival, route *config.Route) (*config.Tenant, bool) {
	var tenant *config.Tenant
	if e.HasKey {
		tenant = r.tenantsByKey[e.Key]
	}
	return tenant, tenant != nil || route.Public || len(r.snapshot.Config.Tenants) == 0
}

// tenantPriorities returns the distinct priorities that are set for tenants.
func tenantPriorities(snapshot *config.Snapshot) []int {
	var distinct []int
	seen := map[int]bool{}
	for i := range snapshot.Config.Tenants {
		tenant := &snapshot.Config.Tenants[i]
		if tenant.HasPriority && !seen[tenant.Priority] {
			seen[tenant.Priority] = true
			distinct = append(distinct, tenant.Priority)
		}
	}
	return distinct
}

// routePriorities returns all priorities that requests on a route can have: the route's own and those of tenants.
func routePriorities(tenants []int, route *config.Route) []int {
	all := []int{route.Priority}
	for _, priority := range tenants {
		if priority != route.Priority {
			all = append(all, priority)
		}
	}
	return all
}
