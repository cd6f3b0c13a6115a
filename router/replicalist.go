package router

import (
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/scheduler"
)

// reuseRowAfter is how long an instance must have been off the list before its row may be used for another one.
const reuseRowAfter = 10 * time.Second

// acceptList applies the platform's list of replicas, unless a newer one is known.
func (r *Router) acceptList(now time.Duration, e ReplicaList) {
	if r.listKnown && now-e.Age < r.listReadAt {
		return
	}
	r.replicaList, r.listReadAt, r.listKnown = e, now-e.Age, true
	if r.snapshot == nil {
		return
	}
	r.applyList(now)
	r.scheduler.Recompute(now)
}

// applyList applies the latest list to the services whose replicas are discovered from the platform.
func (r *Router) applyList(now time.Duration) {
	if !r.listKnown {
		return
	}
	discovered := r.unlistDiscovered()
	for _, instance := range r.replicaList.Instances {
		if service := discovered[instance.Service]; service != nil {
			r.applyInstance(now, instance, service)
		}
	}
	for id := range r.replicas {
		r.markRemoved(now, id)
	}
}

// unlistDiscovered removes all replicas from the services whose replicas are discovered, and returns these services by name.
func (r *Router) unlistDiscovered() map[string]*config.Service {
	discovered := map[string]*config.Service{}
	for i := range r.snapshot.Config.Services {
		service := &r.snapshot.Config.Services[i]
		if !service.Discovered {
			continue
		}
		discovered[service.Name] = service
		row := &r.scheduler.Services[r.services[service.Name]]
		row.Replicas = row.Replicas[:0]
	}
	for id := range r.replicas {
		if r.replicas[id].discovered {
			r.scheduler.Replicas[id].Listed = false
		}
	}
	return discovered
}

// markRemoved marks an instance as down if it is no longer on the list, and drops its entries in the prefix index.
func (r *Router) markRemoved(now time.Duration, id int) {
	entry, row := &r.replicas[id], &r.scheduler.Replicas[id]
	if !entry.discovered || row.Listed || entry.removedSince > 0 {
		return
	}
	entry.removedSince, row.Up = max(now, 1), false
	r.scheduler.Index.Reset(id, 0)
}

// applyInstance applies one entry of the list. An instance that is new, back on the list or changed counts as up until a health check or a
// request shows otherwise.
func (r *Router) applyInstance(now time.Duration, listed Instance, settings *config.Service) {
	id, known := r.replicaIDs[listed.ID]
	if known && !r.replicas[id].discovered {
		return
	}
	if !known {
		id = r.replicaRow(now, listed.ID, settings.PrefixCacheTokens)
	}
	entry, row := &r.replicas[id], &r.scheduler.Replicas[id]
	warmup, before := listed.WarmUpRemaining, entry.listedAs
	listed.WarmUpRemaining = 0
	if !known || entry.removedSince > 0 || before != listed {
		row.Up = true
	}
	if known && (before.Model != listed.Model || before.WeightsRevision != listed.WeightsRevision) {
		r.scheduler.Index.Reset(id, 0)
	}
	entry.listedAs, entry.removedSince, entry.addr, entry.instance = listed, 0, listed.Addr, listed.ID
	row.Service, row.Role, row.Capacity = r.services[listed.Service], "both", max(listed.Capacity, 1)
	row.Listed, row.Draining, row.WeightsRevision = true, listed.Draining, listed.WeightsRevision
	row.Zone, row.SameZone = listed.Zone, listed.Zone == r.cfg.Zone
	r.scheduler.Index.SetCapacity(id, settings.PrefixCacheTokens)
	service := &r.scheduler.Services[row.Service]
	service.Replicas = append(service.Replicas, id)
	if warmup > 0 {
		r.scheduler.ExtendWarmup(id, r.listReadAt+warmup)
	}
	r.applyEvacuation(now, id, listed.Zone)
}

// replicaRow returns the row for a new instance. It reuses the row of an instance that was removed long ago if there is one.
func (r *Router) replicaRow(now time.Duration, name string, prefixCacheTokens int) int {
	added, entry := scheduler.Replica{Name: name, Warm: true}, replicaEntry{name: name, discovered: true}
	id, ok := r.freeRow(now)
	if ok {
		delete(r.replicaIDs, r.replicas[id].name)
		r.replicas[id] = entry
		r.scheduler.ReuseReplicaRow(id, added, prefixCacheTokens)
	} else {
		id = r.scheduler.AddReplica(added, prefixCacheTokens)
		r.replicas = append(r.replicas, entry)
	}
	r.replicaIDs[name] = id
	return id
}

// freeRow returns the row of an instance that was removed at least reuseRowAfter ago and has no running requests of this router.
func (r *Router) freeRow(now time.Duration) (int, bool) {
	for id := range r.replicas {
		entry := &r.replicas[id]
		removed := entry.discovered && entry.removedSince > 0 && now-entry.removedSince >= reuseRowAfter
		if removed && r.scheduler.Replicas[id].LocalRunning <= 0 {
			return id, true
		}
	}
	return 0, false
}

// applyEvacuation marks a replica as evacuated if its zone is. When the zone is restored, the replica may need to warm up again.
func (r *Router) applyEvacuation(now time.Duration, id int, zone string) {
	row, evacuated := &r.scheduler.Replicas[id], r.snapshot.Evacuated(zone)
	if row.Evacuated && !evacuated {
		r.scheduler.ExtendWarmup(id, now+r.warmupTime(row.Service))
	}
	row.Evacuated = evacuated
}

// warmupTime returns how long the replicas of a service take to warm up.
func (r *Router) warmupTime(service int) time.Duration {
	for i := range r.snapshot.Config.Services {
		if settings := &r.snapshot.Config.Services[i]; settings.Name == r.scheduler.Services[service].Name {
			return settings.WarmupTime
		}
	}
	return 0
}

// reportInstance applies a health check of an instance on the platform's list.
func (r *Router) reportInstance(now time.Duration, id int, e LoadReport) {
	row := &r.scheduler.Replicas[id]
	row.Up = !e.Down && (e.InstanceID == "" || e.InstanceID == r.replicas[id].instance)
	if !row.Up {
		return
	}
	row.Draining = e.Leaving || r.replicas[id].listedAs.Draining
	r.scheduler.ConfirmInstance(now-e.Lag, now-e.Age, id)
	r.scheduler.ReportLoad(now-e.Lag, id, e.Running)
}
