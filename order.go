package mallowbridge

import (
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/scheduler"
)

func (r *Router) order(now time.Duration, p *config.Snapshot) {
	if p == nil || (r.pic != nil && p.Mark <= r.pic.Mark) {
		return
	}
	r.pic = p
	for i := range r.m.Replicas {
		r.m.Replicas[i].Listed = false
	}
	for i := range r.m.Services {
		r.m.Services[i].Replicas = r.m.Services[i].Replicas[:0]
		for k := range r.m.Services[i].Classes {
			r.m.Services[i].Classes[k].Gone = true
		}
	}
	offers := map[string]int{}
	cap := 2 * time.Second
	used := r.m.ClassesInUse()
	for _, o := range p.Charter.Offers {
		offers[o.Name] = r.offer(now, o, used)
		if o.StaleCap > 0 {
			cap = min(cap, o.StaleCap)
		}
	}
	r.offers = offers
	r.route(p, used)
	r.list(now)
	r.m.Index.SetCap(cap)
	r.m.Recompute(now)
}

func (r *Router) offer(now time.Duration, o config.Offer, used map[scheduler.ClassID]bool) (id int) {
	id = -1
	for i := range r.m.Services {
		if r.m.Services[i].Name == o.Name {
			id = i
		}
	}
	if id < 0 {
		id = r.m.AddService(scheduler.Service{Name: o.Name})
		r.kinds = append(r.kinds, nil)
	}
	row := &r.m.Services[id]
	row.ColdRoom, row.ColdRamp, row.Base, row.PerToken = o.ColdRoom, o.ColdRamp, o.Base, o.PerToken
	row.CrossZoneCost, row.RetryShare, row.RetryAllowance = o.CrossCost, o.SecondShare, o.SecondPlus
	row.Queues, row.MaxConns, row.ColdRate = o.Queues, o.MaxConns, o.ColdRate
	if o.Stride > 0 || o.Discovered {
		row.Base, row.PerToken = orElse(o.Base, 30*time.Millisecond), orElse(o.PerToken, 10*time.Microsecond)
	}
	row.Batch(o.Stride > 0)
	row.SplitRoles = false
	if r.kinds[id] == nil {
		r.kinds[id] = map[kindKey]int{}
	}
	for _, k := range o.Kinds {
		at := r.kind(id, kindKey{name: k.Name}, used)
		row.Classes[at] = scheduler.Class{Value: k.Value, Urgency: k.Urgency, FirstTokenBound: k.FirstToken, Repeatable: k.Repeatable}
	}
	for _, c := range o.Replicas {
		row.SplitRoles = row.SplitRoles || c.Role == "prefill"
		row.Replicas = append(row.Replicas, r.replica(now, id, o.KeepTokens, c))
	}
	return id
}

func (r *Router) replica(now time.Duration, offer, keep int, c config.Replica) (id int) {
	id, ok := r.reps[c.Name]
	if !ok {
		id = r.m.AddReplica(scheduler.Replica{Name: c.Name}, keep)
		r.reps[c.Name] = id
		r.seats = append(r.seats, seat{name: c.Name})
	}
	s, row := &r.seats[id], &r.m.Replicas[id]
	if s.addr != "" && s.addr != c.Addr {
		s.instance, row.Up = "", false
		r.m.Index.Reset(id, 0)
	}
	s.addr = c.Addr
	row.Service, row.Role, row.Room, row.Listed = offer, c.Role, c.Room, true
	row.Zone, row.SameZone = c.Domain, c.Domain == r.cfg.Domain
	r.emptied(now, id, c.Domain)
	r.m.Index.SetKeep(id, keep)
	return id
}

func (r *Router) listing(now time.Duration, e Listing) {
	id, ok := r.reps[e.Replica]
	if !ok || r.seats[id].discovered {
		return
	}
	r.seats[id].listing = e.State
	row := &r.m.Replicas[id]
	row.Leaving = e.State == "leaving" || e.State == "gone"
	if e.State == "gone" {
		row.Up = false
		r.seats[id].instance = ""
		r.m.Index.Reset(id, 0)
	}
	r.m.Recompute(now)
}

func (r *Router) usage(now time.Duration, e Usage) {
	id, ok := r.reps[e.Replica]
	if !ok {
		return
	}
	if r.seats[id].discovered {
		r.seen(now, id, e)
		return
	}
	row, s := &r.m.Replicas[id], &r.seats[id]
	was := row.Up && !row.Leaving
	defer func() {
		if was != (row.Up && !row.Leaving) {
			r.m.Recompute(now)
		}
	}()
	if e.Down {
		row.Up = false
		return
	}
	back := !row.Up && s.instance != ""
	if e.InstanceID != s.instance {
		r.instance(now, id, e.InstanceID, e.Age, 0)
	} else if back {
		r.m.RestartWarmUp(now, id, e.Age)
	} else {
		seen := now - e.Lag
		if e.Own {
			seen = now
		}
		r.m.ConfirmInstance(seen, now-e.Age, id)
	}
	row.Up = true
	row.Leaving = e.Leaving || s.listing == "leaving" || s.listing == "gone"
	r.m.Report(now-e.Lag, id, e.Running)
}

func (r *Router) instance(now time.Duration, id int, inst string, age time.Duration, spared uint64) {
	s := &r.seats[id]
	if s.instance == inst {
		return
	}
	if s.instance != "" {
		r.m.Index.Reset(id, spared)
	}
	s.instance = inst
	r.m.RestartWarmUp(now, id, age)
}

func (e Routers) rows(domain string) (rs []scheduler.RouterZone) {
	for i, name := range e.Names {
		row := scheduler.RouterZone{Name: name, Zone: domain}
		if i < len(e.Domains) {
			row.Zone = e.Domains[i]
		}
		rs = append(rs, row)
	}
	return rs
}
