package mallowbridge

import (
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/scheduler"
)

// forgotten is how long an instance has been gone when its row may go to another.
const forgotten = 10 * time.Second

// roll takes in the platform's list, unless a newer one is known.
func (r *Router) roll(now time.Duration, e Roster) {
	if r.listed && now-e.Age < r.read {
		return
	}
	r.roster, r.read, r.listed = e, now-e.Age, true
	if r.pic == nil {
		return
	}
	r.list(now)
	r.m.Recompute(now)
}

// list applies the last roster to the offers whose replicas are discovered.
func (r *Router) list(now time.Duration) {
	if !r.listed {
		return
	}
	known := map[string]int{}
	for i := range r.pic.Charter.Offers {
		if o := &r.pic.Charter.Offers[i]; o.Discovered {
			known[o.Name] = i
			r.m.Services[r.offers[o.Name]].Replicas = r.m.Services[r.offers[o.Name]].Replicas[:0]
		}
	}
	for id := range r.seats {
		if r.seats[id].discovered {
			r.m.Replicas[id].Listed = false
		}
	}
	for _, row := range r.roster.Rows {
		if at, ok := known[row.Offer]; ok {
			r.enlist(now, row, &r.pic.Charter.Offers[at])
		}
	}
	for id := range r.seats {
		s, rep := &r.seats[id], &r.m.Replicas[id]
		if !s.discovered || rep.Listed || s.gone > 0 {
			continue
		}
		s.gone, rep.Up = max(now, 1), false
		r.m.Index.Reset(id, 0)
	}
}

func (r *Router) enlist(now time.Duration, row Instance, o *config.Offer) {
	id, ok := r.reps[row.ID]
	if ok && !r.seats[id].discovered {
		return
	}
	if !ok {
		id = r.vacancy(now, row.ID, o.KeepTokens)
	}
	s, rep := &r.seats[id], &r.m.Replicas[id]
	cold := row.Cold
	row.Cold = 0
	old := s.row
	if !ok || s.gone > 0 || old != row {
		rep.Up = true
	}
	if ok && (old.Model != row.Model || old.Weights != row.Weights) {
		r.m.Index.Reset(id, 0)
	}
	s.row, s.gone, s.addr, s.instance = row, 0, row.Addr, row.ID
	rep.Service, rep.Role, rep.Room, rep.Listed, rep.Leaving = r.offers[row.Offer], "both", max(row.Room, 1), true, row.Leaving
	rep.Zone, rep.SameZone = row.Domain, row.Domain == r.cfg.Domain
	r.m.Index.SetKeep(id, o.KeepTokens)
	r.m.Services[rep.Service].Replicas = append(r.m.Services[rep.Service].Replicas, id)
	if cold > 0 {
		r.m.KeepCold(id, r.read+cold)
	}
	r.emptied(now, id, row.Domain)
}

// vacancy gives a new instance a row, that of one long gone where there is one.
func (r *Router) vacancy(now time.Duration, name string, keep int) (id int) {
	fresh := scheduler.Replica{Name: name, Warm: true}
	for id = range r.seats {
		s := &r.seats[id]
		if !s.discovered || s.gone == 0 || now-s.gone < forgotten || r.m.Replicas[id].OwnRunning > 0 {
			continue
		}
		delete(r.reps, s.name)
		*s = seat{name: name, discovered: true}
		r.m.Renew(id, fresh, keep)
		r.reps[name] = id
		return id
	}
	id = r.m.AddReplica(fresh, keep)
	r.seats = append(r.seats, seat{name: name, discovered: true})
	r.reps[name] = id
	return id
}

// emptied closes replicas of an emptied domain; taken back, they may have turned cold.
func (r *Router) emptied(now time.Duration, id int, domain string) {
	rep, is := &r.m.Replicas[id], r.pic.Evacuated(domain)
	if rep.Evacuated && !is {
		r.m.KeepCold(id, now+r.coldFor(rep.Service))
	}
	rep.Evacuated = is
}

func (r *Router) coldFor(offer int) (t time.Duration) {
	for i := range r.pic.Charter.Offers {
		if o := &r.pic.Charter.Offers[i]; o.Name == r.m.Services[offer].Name {
			return o.ColdFor
		}
	}
	return 0
}

// seen takes in what a look at a listed instance showed.
func (r *Router) seen(now time.Duration, id int, e Usage) {
	rep := &r.m.Replicas[id]
	rep.Up = !e.Down && (e.InstanceID == "" || e.InstanceID == r.seats[id].instance)
	if !rep.Up {
		return
	}
	rep.Leaving = e.Leaving || r.seats[id].row.Leaving
	r.m.ConfirmInstance(now-e.Lag, now-e.Age, id)
	r.m.Report(now-e.Lag, id, e.Running)
}
