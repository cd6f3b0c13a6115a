package scheduler

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"
	"strings"
	"time"
)

// divisionGrace is how long a division is in force beside the one that follows it, until all routers know of the change.
const divisionGrace = 2 * time.Second

// zoneFractions says which fraction of a zone's capacity the routers of a zone have, by the replicas' zone, then the routers'.
type zoneFractions map[string]map[string]float64

// A division says how the replicas' room is divided among the zones of routers: their own zone's capacity first, then what others have
// to spare. While several are in force a router takes the least of them.
type division struct {
	at      time.Duration
	basis   string
	zones   []string
	routers map[string][]string
	members []string
	// fractions are by service.
	fractions map[int]zoneFractions
}

// RouterZone is a router and the zone that it runs in.
type RouterZone struct{ Name, Zone string }

// SetRouters says which routers share the replicas from now on.
func (s *Scheduler) SetRouters(now time.Duration, routers []RouterZone) {
	s.routers = nil
	s.routerZones = routers
	for _, r := range routers {
		s.routers = append(s.routers, r.Name)
	}
	s.Recompute(now)
}

func (s *Scheduler) redivide(now time.Duration) {
	basis := s.divisionBasis()
	if n := len(s.divisions); n > 0 && s.divisions[n-1].basis == basis {
		return
	}
	d := division{at: now, basis: basis, routers: map[string][]string{}, members: s.routers, fractions: map[int]zoneFractions{}}
	for _, r := range s.routerZones {
		if d.routers[r.Zone] == nil {
			d.zones = append(d.zones, r.Zone)
		}
		d.routers[r.Zone] = append(d.routers[r.Zone], r.Name)
	}
	sort.Strings(d.zones)
	for i := range s.Services {
		if !s.Services[i].Queues {
			d.fractions[i] = s.divideService(i, &d)
		}
	}
	s.divisions = append(s.divisions, d)
	s.pruneDivisions(now)
	s.forgetQuotas()
}

// divisionBasis names all that a division depends on.
func (s *Scheduler) divisionBasis() string {
	var b strings.Builder
	for _, r := range s.routerZones {
		b.WriteString(r.Name + "@" + r.Zone + ",")
	}
	for i := range s.Replicas {
		if r := &s.Replicas[i]; r.open() && !s.Services[r.Service].Queues {
			fmt.Fprintf(&b, "%d:%d:%s:%d,", i, r.Service, r.Zone, r.Capacity)
		}
	}
	return b.String()
}

// capacityByZone adds up the capacity of a service's open replicas.
func (s *Scheduler) capacityByZone(service int) (map[string]float64, float64) {
	capacities := map[string]float64{}
	var total float64
	for _, id := range s.Services[service].Replicas {
		if r := &s.Replicas[id]; r.open() {
			capacities[r.Zone] += float64(r.Capacity)
			total += float64(r.Capacity)
		}
	}
	return capacities, total
}

func (s *Scheduler) divideService(service int, d *division) zoneFractions {
	capacities, total := s.capacityByZone(service)
	headroom := maps.Clone(capacities)
	fractions := zoneFractions{}
	for zone := range capacities {
		fractions[zone] = map[string]float64{}
	}
	lack, lacking := map[string]float64{}, 0.0
	for _, zone := range d.zones {
		need := total * float64(len(d.routers[zone])) / float64(max(len(s.routerZones), 1))
		local := min(need, capacities[zone])
		if local > 0 {
			fractions[zone][zone] = local / capacities[zone]
			headroom[zone] -= local
		}
		lack[zone] = need - local
		lacking += need - local
	}
	for from := range capacities {
		for _, to := range d.zones {
			if lacking > 1e-9 && lack[to] > 0 {
				fractions[from][to] += headroom[from] * lack[to] / lacking / capacities[from]
			}
		}
	}
	return fractions
}

// quotaOf is how much of a replica's capacity one router has. Rounding goes by weighted rendezvous, whose keys all builds agree on.
func (d *division) quotaOf(r *Replica, capacity int, self RouterZone) int {
	fractions := d.fractions[r.Service][r.Zone]
	left := capacity
	quota, rest := map[string]int{}, map[string]float64{}
	for _, zone := range d.zones {
		exact := fractions[zone] * float64(capacity)
		quota[zone] = int(exact + 1e-9)
		rest[zone] = exact - float64(quota[zone])
		left -= quota[zone]
	}
	for _, zone := range d.byWeight(r.Name, rest) {
		if left > 0 && rest[zone] > 1e-9 {
			quota[zone]++
			left--
		}
	}
	return EvenShare("room/"+r.Name, quota[self.Zone], d.routers[self.Zone], self.Name)
}

// byWeight sorts the zones so that each comes first as often as its rest is large.
func (d *division) byWeight(replica string, rest map[string]float64) []string {
	weight := func(zone string) float64 {
		u := (float64(RendezvousWeight(replica, "domain/"+zone)>>11) + 1) / (1 << 53)
		return max(rest[zone], 0) / -math.Log(u*0.999999)
	}
	zones := slices.Clone(d.zones)
	sort.SliceStable(zones, func(i, j int) bool { return weight(zones[i]) > weight(zones[j]) })
	return zones
}

func (s *Scheduler) quotaOf(now time.Duration, r *Replica, capacity int) int {
	if len(s.divisions) == 0 || s.divisions[0].at > now-divisionGrace {
		return 0
	}
	n := capacity
	self := RouterZone{Name: s.cfg.Self, Zone: s.cfg.Zone}
	for i := range s.divisions {
		n = min(n, s.divisions[i].quotaOf(r, capacity, self))
	}
	return n
}

// ageDivisions drops divisions that are no longer in force, and has the quotas reckoned anew when that changes them.
func (s *Scheduler) ageDivisions(now time.Duration) {
	old := len(s.divisions)
	s.pruneDivisions(now)
	inForce := len(s.divisions) == 1 && s.divisions[0].at <= now-divisionGrace
	if old == len(s.divisions) && inForce == s.divisionInForce {
		return
	}
	s.divisionInForce = inForce
	s.forgetQuotas()
}

func (s *Scheduler) forgetQuotas() {
	for i := range s.Replicas {
		s.Replicas[i].effectiveSlots, s.Replicas[i].warmupQuotaKnown = -1, false
	}
}

func (s *Scheduler) pruneDivisions(now time.Duration) {
	for len(s.divisions) > 1 && s.divisions[1].at <= now-divisionGrace {
		s.divisions = s.divisions[1:]
	}
}
