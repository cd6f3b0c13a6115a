package scheduler

import (
	"fmt"
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
		var sums []int
		var capacities []int
		for _, self := range rows {
			m := New(Defaults(self.Name, self.Zone))
			o := m.AddService(Service{Name: "o"})
			reps := rand.New(rand.NewPCG(uint64(len(rows)), 2))
			for i := range 1 + reps.IntN(9) {
				r := Replica{Name: fmt.Sprintf("r%d", i), Service: o, Zone: string(rune('a' + reps.IntN(5))), Capacity: 1 + reps.IntN(20), Listed: true, Up: true, Warm: true}
				m.Services[o].Replicas = append(m.Services[o].Replicas, m.AddReplica(r, 0))
			}
			m.SetRouters(0, rows)
			if m.freeSlots(divisionGrace-1, 0) > 0 {
				t.Fatal("a router used its share before the others can have heard of it")
			}
			m.Tick(divisionGrace)
			for i := range m.Replicas {
				if len(sums) <= i {
					sums, capacities = append(sums, 0), append(capacities, m.Replicas[i].Capacity)
				}
				sums[i] += max(m.freeSlots(divisionGrace, i), 0)
			}
		}
		for i := range sums {
			if sums[i] != capacities[i] {
				t.Fatalf("%v: replica %d has room %d, shares sum to %d", rows, i, capacities[i], sums[i])
			}
		}
	}
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
