package router

import (
	"github.com/mallowbridge/mallowbridge/config"
)

// applyTenants follows the tenants of a configuration. Requests that were let in with a key that is gone since run on.
func (r *Router) applyTenants(p *config.Snapshot) {
	r.tenantsByKey = map[config.KeyHash]*config.Tenant{}
	limited := map[string]bool{}
	for i := range p.Config.Tenants {
		tenant := &p.Config.Tenants[i]
		for _, key := range tenant.Keys {
			r.tenantsByKey[key] = tenant
		}
		limited[tenant.Name] = tenant.Rate > 0
	}
	r.quotas.limited = limited
}

// authorize gives the tenant of a request, nil where it needs none, and whether the route takes the request.
func (r *Router) authorize(e *Arrival, route *config.Route) (*config.Tenant, bool) {
	var tenant *config.Tenant
	if e.HasKey {
		tenant = r.tenantsByKey[e.Key]
	}
	return tenant, tenant != nil || route.Public || len(r.snapshot.Config.Tenants) == 0
}

// tenantPriorities are the distinct priorities that tenants have of their own.
func tenantPriorities(p *config.Snapshot) []int {
	var distinct []int
	seen := map[int]bool{}
	for i := range p.Config.Tenants {
		tenant := &p.Config.Tenants[i]
		if tenant.Prioritized && !seen[tenant.Priority] {
			seen[tenant.Priority] = true
			distinct = append(distinct, tenant.Priority)
		}
	}
	return distinct
}

// routePriorities are all that requests on a route may have.
func routePriorities(tenants []int, route *config.Route) []int {
	all := []int{route.Priority}
	for _, priority := range tenants {
		if priority != route.Priority {
			all = append(all, priority)
		}
	}
	return all
}
