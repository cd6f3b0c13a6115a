package sim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/sim/shape"
	"github.com/mallowbridge/mallowbridge/sim/workload"
)

// FleetScenario is a named set of faults for a fleet. If NoFailures is set, every request must be served despite the faults. Adjust, if any,
// changes the scenario before it is played.
type FleetScenario struct {
	Name       string
	NoFailures bool
	Faults     func(s shape.Shape, rng *rand.Rand) []Fault
	Adjust     func(s *Scenario)
}

const sec = time.Second

// newFault returns a fault that begins at at and lasts d.
func newFault(kind string, at, d time.Duration, on ...string) Fault {
	return Fault{At: at, Kind: kind, On: on, For: d}
}

// pickSome returns up to n random names.
func pickSome(rng *rand.Rand, names []string, n int) []string {
	picked := slices.Clone(names)
	rng.Shuffle(len(picked), func(i, j int) { picked[i], picked[j] = picked[j], picked[i] })
	return picked[:min(n, len(picked))]
}

func replicaNames() []string {
	var names []string
	for i := range 18 {
		names = append(names, fmt.Sprintf("r%d", i+1))
	}
	return names
}

func nodeNames(s shape.Shape) []string {
	var names []string
	for _, n := range s.Nodes {
		names = append(names, n.Name)
	}
	return names
}

func fixedFleetFaults(fs ...Fault) func(shape.Shape, *rand.Rand) []Fault {
	return func(shape.Shape, *rand.Rand) []Fault { return fs }
}

// FleetScenarios returns all fleet scenarios that the tests play.
func FleetScenarios() []FleetScenario {
	return append(append(trafficScenarios(), controlScenarios()...), mixedScenarios()...)
}

func trafficScenarios() []FleetScenario {
	return []FleetScenario{
		{Name: "calm", Faults: fixedFleetFaults()},
		{Name: "crowd and hot key", Faults: fixedFleetFaults(), Adjust: func(s *Scenario) {
			s.Load.HotRatio = 0.4
			s.Load.Bursts = []workload.Burst{{From: 10 * sec, Until: 16 * sec, Factor: 4}, {From: 22 * sec, Until: 24 * sec, Factor: 8}}
		}},
		{Name: "replicas crash", Faults: func(_ shape.Shape, rng *rand.Rand) []Fault {
			var fs []Fault
			for i := range 6 {
				fs = append(fs, newFault(ReplicaCrash, time.Duration(9+3*i)*sec, 3*sec, pickSome(rng, replicaNames(), 2)...))
			}
			return append(fs, newFault(ReplicaCrash, 20*sec, -1, pickSome(rng, replicaNames(), 2)...))
		}},
		{Name: "replicas go dark", Faults: func(_ shape.Shape, rng *rand.Rand) []Fault {
			return []Fault{newFault(ReplicaUnreachable, 10*sec, 12*sec, pickSome(rng, replicaNames(), 3)...), newFault(ReplicaUnreachable, 20*sec, 10*sec, pickSome(rng, replicaNames(), 3)...)}
		}},
		{Name: "rolling release", Faults: fixedFleetFaults(newFault(Release, 10*sec, 0, replicaNames()...)), Adjust: func(s *Scenario) { s.Duration = 90 * sec }},
		{Name: "our processes are killed", Faults: func(s shape.Shape, rng *rand.Rand) []Fault {
			var fs []Fault
			for i := range 8 {
				fs = append(fs, newFault(Kill, time.Duration(9+3*i)*sec, 2500*time.Millisecond, pickSome(rng, nodeNames(s), 2)...))
			}
			return fs
		}},
		{Name: "machines freeze and wake", Faults: func(s shape.Shape, rng *rand.Rand) []Fault {
			var fs []Fault
			for i := range 8 {
				d := time.Duration(800+rng.IntN(7000)) * time.Millisecond
				at := time.Duration(9+3*i) * sec
				fs = append(fs, newFault(Freeze, at, d, pickSome(rng, nodeNames(s)[4:], 2)...), newFault(Freeze, at, min(d, 2*sec), pickSome(rng, s.Voters, 1)...))
			}
			return append(fs, newFault(PutStorm, 10*sec, 15*sec))
		}},
		{Name: "domain is lost", Faults: func(s shape.Shape, rng *rand.Rand) []Fault {
			d := s.Zones[rng.IntN(len(s.Zones))]
			var reps []string
			for i, r := range replicaNames() {
				if s.Zones[i%len(s.Zones)] == d {
					reps = append(reps, r)
				}
			}
			return []Fault{newFault(Power, 12*sec, 15*sec, shapeNodesInZone(s, d)...), newFault(ReplicaCrash, 12*sec, 15*sec, reps...)}
		}},
		{Name: "domain emptied and restored", Faults: func(s shape.Shape, rng *rand.Rand) []Fault {
			return []Fault{newFault(EvacuateFault, 12*sec, 10*sec, s.Zones[rng.IntN(len(s.Zones))]), newFault(Freeze, 11*sec, 8*sec, pickSome(rng, nodeNames(s), 2)...)}
		}},
	}
}

func shapeNodesInZone(s shape.Shape, zone string) []string {
	var names []string
	for _, n := range s.Nodes {
		if n.Zone == zone {
			names = append(names, n.Name)
		}
	}
	return names
}

func controlScenarios() []FleetScenario {
	return []FleetScenario{
		{Name: "power lost just after yes", Faults: func(s shape.Shape, rng *rand.Rand) []Fault {
			var fs []Fault
			fs = append(fs, newFault(PutStorm, 9*sec, 20*sec))
			for i := range 10 {
				fs = append(fs, newFault(Power, time.Duration(10000+2000*i+rng.IntN(900))*time.Millisecond, 800*time.Millisecond, pickSome(rng, s.Voters, 1)...))
			}
			return fs
		}},
		{Name: "a second, later loss", Faults: func(s shape.Shape, rng *rand.Rand) []Fault {
			var fs []Fault
			fs = append(fs, newFault(PutStorm, 9*sec, 26*sec))
			for i := range 5 {
				at := time.Duration(10000+5000*i+rng.IntN(300)) * time.Millisecond
				v := pickSome(rng, s.Voters, 3)
				fs = append(fs, newFault(Kill, at, 1200*time.Millisecond, v[0]), newFault(SlowDisk, at, 790*time.Millisecond, v[1]), newFault(Power, at+800*time.Millisecond, 200*time.Millisecond, v[1]),
					newFault(Kill, at+810*time.Millisecond, 3*sec, v[2]))
			}
			return fs
		}},
		{Name: "disks slow, stall, fill", Faults: func(s shape.Shape, rng *rand.Rand) []Fault {
			var fs []Fault
			fs = append(fs, newFault(PutStorm, 9*sec, 22*sec))
			for i, k := range []string{SlowDisk, StallDisk, FullDisk, BadDisk} {
				fs = append(fs, newFault(k, time.Duration(10+6*i)*sec, 4*sec, pickSome(rng, s.Voters, 1)...))
			}
			return fs
		}},
		{Name: "core is split", Faults: fixedFleetFaults(newFault(SplitCore, 12*sec, 10*sec, "n1", "n2", "n3"), newFault(ConcurrentPuts, 10*sec, 16*sec))},
		{Name: "domain is cut off", Faults: func(s shape.Shape, rng *rand.Rand) []Fault {
			return []Fault{newFault(PartitionZone, 12*sec, 10*sec, s.Zones[rng.IntN(len(s.Zones))]), newFault(PutStorm, 10*sec, 15*sec)}
		}},
		{Name: "single machines are cut off", Faults: func(s shape.Shape, rng *rand.Rand) []Fault {
			var fs []Fault
			for i := range 5 {
				fs = append(fs, newFault(PartitionNode, time.Duration(10+5*i)*sec, 4*sec, pickSome(rng, nodeNames(s), 1)...))
				fs = append(fs, newFault(PartitionOneWay, time.Duration(12+5*i)*sec, 3*sec, pickSome(rng, nodeNames(s), 1)...))
			}
			return append(fs, newFault(PutStorm, 10*sec, 15*sec))
		}},
		{Name: "core comes back empty elsewhere", Faults: func(s shape.Shape, rng *rand.Rand) []Fault {
			return []Fault{newFault(PutStorm, 9*sec, 60*sec), newFault(Relocate, 12*sec, 2*sec, pickSome(rng, s.Voters, 1)...), newFault(Relocate, 52*sec, 2*sec, pickSome(rng, s.Voters, 1)...)}
		}, Adjust: func(s *Scenario) { s.Duration = 100 * sec }},
		{Name: "voters are swapped", Faults: func(s shape.Shape, _ *rand.Rand) []Fault {
			first, second := []string{"n2", "n3"}, []string{"n1", "n3"}
			if s.Nodes[3].Disk {
				first, second = append(first, "n4"), append(second, "n4")
			}
			return []Fault{newFault(PutStorm, 9*sec, 25*sec), newFault(SwapVoters, 12*sec, 0, first...), newFault(Kill, 12200*time.Millisecond, 2*sec, "n1", "n2"),
				newFault(SwapVoters, 20*sec, 0, second...), newFault(Power, 28*sec, 3*sec, "n2")}
		}},
		{Name: "operators race", Faults: fixedFleetFaults(newFault(ConcurrentPuts, 9*sec, 20*sec)), Adjust: func(s *Scenario) { s.LossRatio, s.DupRatio = 0.02, 0.02 }},
		{Name: "configurations at their size limit", Faults: fixedFleetFaults(newFault(LargePuts, 9*sec, 8*sec), newFault(Power, 13*sec, 2*sec, "n2"))},
		{Name: "all machines lose power", Faults: fixedFleetFaults(newFault(PutStorm, 9*sec, 6*sec), newFault(AllPowerOff, 14*sec, 3*sec))},
		{Name: "last fault at day's end", Faults: func(s shape.Shape, rng *rand.Rand) []Fault {
			return []Fault{newFault(PutStorm, 10*sec, 20*sec), newFault(WipeDisk, 35*sec, -1, pickSome(rng, s.Voters, 1)...)}
		}},
	}
}

// Scenario returns the scenario for a shape and a seed.
func (sc FleetScenario) Scenario(sh shape.Shape, seed uint64) Scenario {
	s := Scenario{Seed: seed, Shape: sh, Duration: 50 * sec, Load: workload.Load{Classes: sh.Classes, Rate: 60, PrefixesPerClass: 24, HotRatio: 0.1}, ResendLost: true}
	s.Faults = sc.Faults(sh, rand.New(rand.NewPCG(seed, 37)))
	if sc.Adjust != nil {
		sc.Adjust(&s)
	}
	return s
}
