package router

import (
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/scheduler"
)

const (
	// maxPredictionTTL is the longest time that a predicted cache entry may be trusted, regardless of the services' settings.
	maxPredictionTTL = 2 * time.Second
	// defaultBase and defaultPerToken are the fixed part and the part per prompt token of the estimated time to the first token, for services
	// whose settings don't contain them.
	defaultBase     = 30 * time.Millisecond
	defaultPerToken = 10 * time.Microsecond
)

// applySnapshot puts a configuration into force if it is newer than the current one. The rows of services and replicas that it does not contain
// remain, marked as not listed, because requests may still be running there.
func (r *Router) applySnapshot(now time.Duration, snapshot *config.Snapshot) {
	if snapshot == nil || (r.snapshot != nil && snapshot.Version <= r.snapshot.Version) {
		return
	}
	r.snapshot = snapshot
	r.unlistAll()
	r.services = map[string]int{}
	predictionTTL := maxPredictionTTL
	used := r.scheduler.ClassesInUse()
	for _, service := range snapshot.Config.Services {
		r.services[service.Name] = r.applyService(now, service, used)
		if service.MaxPredictionTTL > 0 {
			predictionTTL = min(predictionTTL, service.MaxPredictionTTL)
		}
	}
	r.applyTenants(snapshot)
	r.applyRoutes(snapshot, used)
	r.applyList(now)
	r.scheduler.Index.SetMaxTTL(predictionTTL)
	r.scheduler.Recompute(now)
}

// unlistAll marks all replicas as not listed and all classes as removed.
func (r *Router) unlistAll() {
	for i := range r.scheduler.Replicas {
		r.scheduler.Replicas[i].Listed = false
	}
	for i := range r.scheduler.Services {
		row := &r.scheduler.Services[i]
		row.Replicas = row.Replicas[:0]
		for class := range row.Classes {
			row.Classes[class].Removed = true
		}
	}
}

// serviceRow returns the index of a service's row, and adds a row for a new service.
func (r *Router) serviceRow(name string) int {
	for i := range r.scheduler.Services {
		if r.scheduler.Services[i].Name == name {
			return i
		}
	}
	r.classes = append(r.classes, map[classKey]int{})
	return r.scheduler.AddService(scheduler.Service{Name: name})
}

// applyService applies the settings, classes and replicas of a service and returns its index.
func (r *Router) applyService(now time.Duration, service config.Service, used map[scheduler.RequestClassID]bool) int {
	id := r.serviceRow(service.Name)
	row := &r.scheduler.Services[id]
	row.WarmupCapacity, row.SlowStart, row.WarmupRate = service.WarmupCapacity, service.SlowStart, service.WarmupRate
	row.BaseLatency, row.LatencyPerToken = service.BaseLatency, service.LatencyPerToken
	row.CrossZoneCost, row.RetryRatio, row.RetryAllowance = service.CrossZoneCost, service.RetryRatio, service.RetryAllowance
	row.Queues, row.MaxConns = service.Queues, service.MaxConns
	if service.MaxTokensPerEvent > 0 || service.Discovered {
		row.BaseLatency, row.LatencyPerToken = orElse(service.BaseLatency, defaultBase), orElse(service.LatencyPerToken, defaultPerToken)
	}
	row.SetBatching(service.MaxTokensPerEvent > 0)
	row.SplitRoles = false
	for _, k := range service.Classes {
		class := r.classRow(id, classKey{name: k.Name}, used)
		row.Classes[class] = scheduler.RequestClass{Value: k.Value, Urgency: k.Urgency, FirstTokenTarget: k.FirstTokenTarget, Idempotent: k.Idempotent}
	}
	for _, c := range service.Replicas {
		row.SplitRoles = row.SplitRoles || c.Role == "prefill"
		row.Replicas = append(row.Replicas, r.applyReplica(now, id, service.PrefixCacheTokens, c))
	}
	return id
}

// applyReplica applies a replica of the configuration document. If its address changed, it is a different replica: its instance is unknown and
// it has nothing cached.
func (r *Router) applyReplica(now time.Duration, service, prefixCacheTokens int, c config.Replica) int {
	id, ok := r.replicaIDs[c.Name]
	if !ok {
		id = r.scheduler.AddReplica(scheduler.Replica{Name: c.Name}, prefixCacheTokens)
		r.replicaIDs[c.Name] = id
		r.replicas = append(r.replicas, replicaEntry{name: c.Name})
	}
	entry, row := &r.replicas[id], &r.scheduler.Replicas[id]
	if entry.addr != "" && entry.addr != c.Addr {
		entry.instance, row.Up = "", false
		r.scheduler.Index.Reset(id, 0)
	}
	entry.addr = c.Addr
	row.Service, row.Role, row.Capacity, row.Listed = service, c.Role, c.Capacity, true
	row.Zone, row.SameZone = c.Zone, c.Zone == r.cfg.Zone
	r.applyEvacuation(now, id, c.Zone)
	r.scheduler.Index.SetCapacity(id, prefixCacheTokens)
	return id
}
