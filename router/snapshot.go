package router

import (
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/scheduler"
)

const (
	// maxStaleCap is the longest that a predicted holding may be trusted, whatever the services say.
	maxStaleCap = 2 * time.Second
	// routedBase and routedPerToken estimate the time to the first token where the document does not.
	routedBase     = 30 * time.Millisecond
	routedPerToken = 10 * time.Microsecond
)

// applySnapshot puts a configuration into force, unless the one in force is as new. Rows of services and replicas that it leaves out
// stay, unlisted, for the requests that run there.
func (r *Router) applySnapshot(now time.Duration, p *config.Snapshot) {
	if p == nil || (r.snapshot != nil && p.Version <= r.snapshot.Version) {
		return
	}
	r.snapshot = p
	r.unlistAll()
	r.services = map[string]int{}
	staleCap := maxStaleCap
	used := r.scheduler.ClassesInUse()
	for _, o := range p.Config.Services {
		r.services[o.Name] = r.applyService(now, o, used)
		if o.StaleCap > 0 {
			staleCap = min(staleCap, o.StaleCap)
		}
	}
	r.applyTenants(p)
	r.applyRoutes(p, used)
	r.applyList(now)
	r.scheduler.Index.SetMaxTTL(staleCap)
	r.scheduler.Recompute(now)
}

func (r *Router) unlistAll() {
	for i := range r.scheduler.Replicas {
		r.scheduler.Replicas[i].Listed = false
	}
	for i := range r.scheduler.Services {
		row := &r.scheduler.Services[i]
		row.Replicas = row.Replicas[:0]
		for k := range row.Classes {
			row.Classes[k].Removed = true
		}
	}
}

// serviceRow finds the row of a service, or adds one.
func (r *Router) serviceRow(name string) int {
	for i := range r.scheduler.Services {
		if r.scheduler.Services[i].Name == name {
			return i
		}
	}
	r.classes = append(r.classes, map[classKey]int{})
	return r.scheduler.AddService(scheduler.Service{Name: name})
}

func (r *Router) applyService(now time.Duration, o config.Service, used map[scheduler.RequestClassID]bool) int {
	id := r.serviceRow(o.Name)
	row := &r.scheduler.Services[id]
	row.WarmupCapacity, row.SlowStart, row.WarmupRate = o.WarmupCapacity, o.SlowStart, o.WarmupRate
	row.BaseLatency, row.LatencyPerToken = o.Base, o.PerToken
	row.CrossZoneCost, row.RetryRatio, row.RetryAllowance = o.CrossCost, o.RetryRatio, o.RetryExtra
	row.Queues, row.MaxConns = o.Queues, o.MaxConns
	if o.Stride > 0 || o.Discovered {
		row.BaseLatency, row.LatencyPerToken = orElse(o.Base, routedBase), orElse(o.PerToken, routedPerToken)
	}
	row.SetBatching(o.Stride > 0)
	row.SplitRoles = false
	for _, k := range o.Classes {
		at := r.classRow(id, classKey{name: k.Name}, used)
		row.Classes[at] = scheduler.RequestClass{Value: k.Value, Urgency: k.Urgency, FirstTokenTarget: k.FirstToken, Idempotent: k.Repeatable}
	}
	for _, c := range o.Replicas {
		row.SplitRoles = row.SplitRoles || c.Role == "prefill"
		row.Replicas = append(row.Replicas, r.applyReplica(now, id, o.KeepTokens, c))
	}
	return id
}

// applyReplica lists a replica of the document. Another address means another replica, of which nothing is known.
func (r *Router) applyReplica(now time.Duration, service, keepTokens int, c config.Replica) int {
	id, ok := r.replicaIDs[c.Name]
	if !ok {
		id = r.scheduler.AddReplica(scheduler.Replica{Name: c.Name}, keepTokens)
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
	r.scheduler.Index.SetCapacity(id, keepTokens)
	return id
}
