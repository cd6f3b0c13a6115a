package scheduler

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"
)

func TestSharesSumToTheCapacity(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 400 {
		var rows []RouterZone
		for i := range 1 + rng.IntN(14) {
			rows = append(rows, RouterZone{fmt.Sprintf("n%d", i), string(rune('a' + rng.IntN(4)))})
		}
		sums, capacities := map[int]int{}, map[int]int{}
		for _, self := range rows {
			s := routerScheduler(self, rows)
			if s.freeSlots(divisionGrace-1, 0) > 0 {
				t.Fatal("a router uses its share before all others can know of the division")
			}
			s.Tick(divisionGrace)
			for i := range s.Replicas {
				capacities[i] = s.Replicas[i].Capacity
				sums[i] += max(s.freeSlots(divisionGrace, i), 0)
			}
		}
		if !maps.Equal(sums, capacities) {
			t.Fatalf("%v: replicas have capacities %v, shares sum to %v", rows, capacities, sums)
		}
	}
}

// routerScheduler returns the scheduler of one router of several. All of them get the same replicas, drawn at random.
func routerScheduler(self RouterZone, rows []RouterZone) *Scheduler {
	s := New(Defaults(self.Name, self.Zone))
	service := s.AddService(Service{Name: "o"})
	replicas := rand.New(rand.NewPCG(uint64(len(rows)), 2))
	for i := range 1 + replicas.IntN(9) {
		r := Replica{
			Name: fmt.Sprintf("r%d", i), Service: service, Zone: string(rune('a' + replicas.IntN(5))), Capacity: 1 + replicas.IntN(20),
			Listed: true, Up: true, Warm: true,
		}
		s.Services[service].Replicas = append(s.Services[service].Replicas, s.AddReplica(r, 0))
	}
	s.SetRouters(0, rows)
	return s
}

func TestSharesShrinkAtOnceAndGrowLater(t *testing.T) {
	s := newTestScheduler(8, idempotentClass)
	if s.freeSlots(now, 0) != 8 {
		t.Fatalf("a single router has %d of 8 slots", s.freeSlots(now, 0))
	}
	s.SetRouters(now, []RouterZone{{"n1", "a"}, {"n2", "a"}})
	if s.freeSlots(now, 0) != 4 {
		t.Errorf("%d of 8 slots after another router joined", s.freeSlots(now, 0))
	}
	s.SetRouters(now+time.Second, []RouterZone{{"n1", "a"}})
	s.Tick(now + time.Second + divisionGrace - 1)
	if s.freeSlots(now+time.Second+divisionGrace-1, 0) != 4 {
		t.Errorf("%d of 8 slots before the removed router can know of its removal", s.freeSlots(now, 0))
	}
	s.Tick(now + time.Second + divisionGrace)
	if s.freeSlots(now+time.Second+divisionGrace, 0) != 8 {
		t.Errorf("%d of 8 slots after divisionGrace", s.freeSlots(now+time.Second+divisionGrace, 0))
	}
}
