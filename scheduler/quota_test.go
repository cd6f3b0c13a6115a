package scheduler

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"
)

func TestQuotasSumToTheCapacity(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 400 {
		var rows []RouterZone
		for i := range 1 + rng.IntN(14) {
			rows = append(rows, RouterZone{fmt.Sprintf("n%d", i), string(rune('a' + rng.IntN(4)))})
		}
		sums, capacities := map[int]int{}, map[int]int{}
		for _, self := range rows {
			m := quotaScheduler(self, rows)
			if m.freeSlots(divisionGrace-1, 0) > 0 {
				t.Fatal("a router used its quota before the others can have been told of it")
			}
			m.Tick(divisionGrace)
			for i := range m.Replicas {
				capacities[i] = m.Replicas[i].Capacity
				sums[i] += max(m.freeSlots(divisionGrace, i), 0)
			}
		}
		if !maps.Equal(sums, capacities) {
			t.Fatalf("%v: replicas have capacities %v, quotas sum to %v", rows, capacities, sums)
		}
	}
}

// quotaScheduler is the scheduler of one router among others, with some replicas that are alike for all of them.
func quotaScheduler(self RouterZone, rows []RouterZone) *Scheduler {
	m := New(Defaults(self.Name, self.Zone))
	service := m.AddService(Service{Name: "o"})
	replicas := rand.New(rand.NewPCG(uint64(len(rows)), 2))
	for i := range 1 + replicas.IntN(9) {
		r := Replica{
			Name: fmt.Sprintf("r%d", i), Service: service, Zone: string(rune('a' + replicas.IntN(5))), Capacity: 1 + replicas.IntN(20),
			Listed: true, Up: true, Warm: true,
		}
		m.Services[service].Replicas = append(m.Services[service].Replicas, m.AddReplica(r, 0))
	}
	m.SetRouters(0, rows)
	return m
}

func TestQuotasShrinkAtOnceAndGrowLater(t *testing.T) {
	m := market(8, again)
	if m.freeSlots(now, 0) != 8 {
		t.Fatalf("alone it has %d of 8", m.freeSlots(now, 0))
	}
	m.SetRouters(now, []RouterZone{{"n1", "a"}, {"n2", "a"}})
	if m.freeSlots(now, 0) != 4 {
		t.Errorf("%d of 8 when another came", m.freeSlots(now, 0))
	}
	m.SetRouters(now+time.Second, []RouterZone{{"n1", "a"}})
	m.Tick(now + time.Second + divisionGrace - 1)
	if m.freeSlots(now+time.Second+divisionGrace-1, 0) != 4 {
		t.Errorf("%d of 8 before the other can have noticed", m.freeSlots(now, 0))
	}
	m.Tick(now + time.Second + divisionGrace)
	if m.freeSlots(now+time.Second+divisionGrace, 0) != 8 {
		t.Errorf("%d of 8 in the end", m.freeSlots(now+time.Second+divisionGrace, 0))
	}
}
