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

// divisionGrace is how long a division stays in force after its successor was computed, so that all routers know of the
// change by then.
const divisionGrace = 2 * time.Second

// zoneFractions maps the zone of replicas and the zone of routers to the fraction of the replicas' capacity that these
// routers have together.
type zoneFractions map[string]map[string]float64

// division describes how the replicas' capacity is divided among the zones of routers. A zone's routers get the capacity
// of their own zone first, then what other zones can spare. While several divisions are in force, a router uses the
// smallest share that it has in any of them.
type division struct {
	// at is when the division was computed, inputs what it was computed from.
	at     time.Duration
	inputs string
	// zones holds the sorted zones of routers, routers their names by zone, and members all their names.
	zones   []string
	routers map[string][]string
	members []string
	// fractions is indexed by service.
	fractions map[int]zoneFractions
}

// RouterZone is a router's name and the zone that it runs in.
type RouterZone struct{ Name, Zone string }

// SetRouters sets the routers that share the replicas from now on.
func (s *Scheduler) SetRouters(now time.Duration, routers []RouterZone) {
	s.routers = nil
	s.routerZones = routers
	for _, r := range routers {
		s.routers = append(s.routers, r.Name)
	}
	s.Recompute(now)
}

func (s *Scheduler) redivide(now time.Duration) {
	inputs := s.divisionInputs()
	if n := len(s.divisions); n > 0 && s.divisions[n-1].inputs == inputs {
		return
	}
	d := division{at: now, inputs: inputs, routers: map[string][]string{}, members: s.routers, fractions: map[int]zoneFractions{}}
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
	s.invalidateShares()
}

// divisionInputs encodes everything that a division depends on, to detect changes.
func (s *Scheduler) divisionInputs() string {
	var b strings.Builder
	for _, r := range s.routerZones {
		b.WriteString(r.Name + "@" + r.Zone + ",")
	}
	for i := range s.Replicas {
		if r := &s.Replicas[i]; r.eligible() && !s.Services[r.Service].Queues {
			fmt.Fprintf(&b, "%d:%d:%s:%d,", i, r.Service, r.Zone, r.Capacity)
		}
	}
	return b.String()
}

// capacityByZone returns the capacity of a service's eligible replicas by zone and in total.
func (s *Scheduler) capacityByZone(service int) (map[string]float64, float64) {
	capacities := map[string]float64{}
	var total float64
	for _, id := range s.Services[service].Replicas {
		if r := &s.Replicas[id]; r.eligible() {
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
	missing, totalMissing := map[string]float64{}, 0.0
	for _, zone := range d.zones {
		need := total * float64(len(d.routers[zone])) / float64(max(len(s.routerZones), 1))
		local := min(need, capacities[zone])
		if local > 0 {
			fractions[zone][zone] = local / capacities[zone]
			headroom[zone] -= local
		}
		missing[zone] = need - local
		totalMissing += need - local
	}
	for from := range capacities {
		for _, to := range d.zones {
			if totalMissing > 1e-9 && missing[to] > 0 {
				fractions[from][to] += headroom[from] * missing[to] / totalMissing / capacities[from]
			}
		}
	}
	return fractions
}

// shareOf returns how much of a replica's capacity one router has. Rounding uses weighted rendezvous hashing, whose keys
// must be the same in all builds.
func (d *division) shareOf(r *Replica, capacity int, self RouterZone) int {
	fractions := d.fractions[r.Service][r.Zone]
	left := capacity
	shares, remainder := map[string]int{}, map[string]float64{}
	for _, zone := range d.zones {
		exact := fractions[zone] * float64(capacity)
		shares[zone] = int(exact + 1e-9)
		remainder[zone] = exact - float64(shares[zone])
		left -= shares[zone]
	}
	for _, zone := range d.byWeight(r.Name, remainder) {
		if left > 0 && remainder[zone] > 1e-9 {
			shares[zone]++
			left--
		}
	}
	return EvenShare("room/"+r.Name, shares[self.Zone], d.routers[self.Zone], self.Name)
}

// byWeight sorts the zones by weighted rendezvous hashing: over many replicas, each zone comes first in proportion to
// its remainder.
func (d *division) byWeight(replica string, remainder map[string]float64) []string {
	weight := func(zone string) float64 {
		u := (float64(RendezvousWeight(replica, "domain/"+zone)>>11) + 1) / (1 << 53)
		return max(remainder[zone], 0) / -math.Log(u*0.999999)
	}
	zones := slices.Clone(d.zones)
	sort.SliceStable(zones, func(i, j int) bool { return weight(zones[i]) > weight(zones[j]) })
	return zones
}

func (s *Scheduler) shareOf(now time.Duration, r *Replica, capacity int) int {
	if len(s.divisions) == 0 || s.divisions[0].at > now-divisionGrace {
		return 0
	}
	n := capacity
	self := RouterZone{Name: s.cfg.Self, Zone: s.cfg.Zone}
	for i := range s.divisions {
		n = min(n, s.divisions[i].shareOf(r, capacity, self))
	}
	return n
}

// ageDivisions drops divisions that are no longer in force, and invalidates the shares if that changes them.
func (s *Scheduler) ageDivisions(now time.Duration) {
	old := len(s.divisions)
	s.pruneDivisions(now)
	inForce := len(s.divisions) == 1 && s.divisions[0].at <= now-divisionGrace
	if old == len(s.divisions) && inForce == s.divisionInForce {
		return
	}
	s.divisionInForce = inForce
	s.invalidateShares()
}

func (s *Scheduler) invalidateShares() {
	for i := range s.Replicas {
		s.Replicas[i].effectiveCapacity, s.Replicas[i].warmupShareKnown = -1, false
	}
}

func (s *Scheduler) pruneDivisions(now time.Duration) {
	for len(s.divisions) > 1 && s.divisions[1].at <= now-divisionGrace {
		s.divisions = s.divisions[1:]
	}
}
