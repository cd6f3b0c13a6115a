package sim

import (
	"math/rand/v2"
	"time"

	"github.com/mallowbridge/mallowbridge/sim/shape"
	"github.com/mallowbridge/mallowbridge/sim/workload"
)

// replicasInZone returns the names of the replicas that a shape has in a zone.
func replicasInZone(s shape.Shape, zone string) []string {
	var names []string
	for i, r := range replicaNames() {
		if s.Zones[i%len(s.Zones)] == zone {
			names = append(names, r)
		}
	}
	return names
}

func mixedScenarios() []FleetScenario {
	return append(buildAndReplicaScenarios(), zoneAndPowerScenarios()...)
}

func buildAndReplicaScenarios() []FleetScenario {
	return []FleetScenario{
		{Name: "our nodes are upgraded one by one", NoFailures: true, Faults: func(s shape.Shape, _ *rand.Rand) []Fault {
			return []Fault{newFault(Upgrade, 9*sec, 0, nodeNames(s)...)}
		}, Adjust: func(s *Scenario) { s.Duration = 80 * sec }},
		{Name: "neighbouring builds are mixed", Faults: func(s shape.Shape, rng *rand.Rand) []Fault {
			return []Fault{newFault(PutStorm, 9*sec, 20*sec), newFault(Kill, 12*sec, 2*sec, pickSome(rng, nodeNames(s), 3)...), newFault(PartitionZone, 20*sec, 5*sec, s.Zones[rng.IntN(len(s.Zones))])}
		}, Adjust: func(s *Scenario) { s.MixNextBuild = true }},
		{Name: "one order while machines freeze", Faults: func(s shape.Shape, rng *rand.Rand) []Fault {
			var fs []Fault
			for i := range 5 {
				at := time.Duration(9000+6000*i+rng.IntN(400)) * time.Millisecond
				fs = append(fs, newFault(Freeze, at, 5*sec, pickSome(rng, nodeNames(s)[4:], 4)...), newFault(PutStorm, at+2300*time.Millisecond, 50*time.Millisecond))
			}
			return fs
		}, Adjust: func(s *Scenario) { s.Load.Rate = 150 }},
		{Name: "a release that breaks each answer", Faults: func(_ shape.Shape, rng *rand.Rand) []Fault {
			return []Fault{newFault(ReplicaFailing, 9*sec, 25*sec, pickSome(rng, replicaNames(), 9)...)}
		}, Adjust: func(s *Scenario) { s.Load.Rate = 40 }},
		{Name: "replicas answer wrongly", Faults: func(_ shape.Shape, rng *rand.Rand) []Fault {
			return []Fault{newFault(ReplicaCorrupt, 9*sec, 25*sec, pickSome(rng, replicaNames(), 9)...)}
		}},
		{Name: "replicas restart at once", Faults: func(_ shape.Shape, rng *rand.Rand) []Fault {
			var fs []Fault
			for i := range 12 {
				fs = append(fs, newFault(ReplicaRestart, time.Duration(9000+2200*i+rng.IntN(900))*time.Millisecond, 0, pickSome(rng, replicaNames(), 3)...))
			}
			return fs
		}, Adjust: func(s *Scenario) { s.Load.Bursts = []workload.Burst{{From: 12 * sec, Until: 30 * sec, Factor: 2.5}} }},
		{Name: "replicas flap", Faults: func(_ shape.Shape, rng *rand.Rand) []Fault {
			var fs []Fault
			for i := range 30 {
				fs = append(fs, newFault(ReplicaCrash, time.Duration(9000+900*i)*time.Millisecond, 400*time.Millisecond, pickSome(rng, replicaNames(), 5)...))
			}
			return fs
		}, Adjust: func(s *Scenario) { s.Load.Bursts = []workload.Burst{{From: 8 * sec, Until: 38 * sec, Factor: 3}} }},
		{Name: "probers die while replicas restart", Faults: func(s shape.Shape, rng *rand.Rand) []Fault {
			var fs []Fault
			for i := range 6 {
				at := time.Duration(9+4*i) * sec
				fs = append(fs, newFault(Kill, at, 3*sec, pickSome(rng, nodeNames(s), 4)...))
				fs = append(fs, newFault(ReplicaCrash, at+time.Duration(300+rng.IntN(2500))*time.Millisecond, 300*time.Millisecond, pickSome(rng, replicaNames(), 4)...))
			}
			return fs
		}, Adjust: func(s *Scenario) { s.Load.Bursts = []workload.Burst{{From: 9 * sec, Until: 36 * sec, Factor: 1.5}} }},
	}
}

func zoneAndPowerScenarios() []FleetScenario {
	return []FleetScenario{
		{Name: "platform lists late and out of order", Faults: func(_ shape.Shape, _ *rand.Rand) []Fault {
			return []Fault{newFault(UnreliableLists, 9*sec, 25*sec), newFault(PutStorm, 12*sec, 12*sec)}
		}},
		{Name: "release while a domain empties", Faults: func(s shape.Shape, rng *rand.Rand) []Fault {
			d := s.Zones[rng.IntN(len(s.Zones))]
			return []Fault{newFault(Release, 10*sec, 0, append(pickSome(rng, replicasInZone(s, d), 3), pickSome(rng, replicaNames(), 3)...)...), newFault(EvacuateFault, 14*sec, 15*sec, d),
				newFault(Kill, 15*sec, 2*sec, pickSome(rng, nodeNames(s), 2)...)}
		}},
		{Name: "domain is cut from other nodes", Faults: func(s shape.Shape, rng *rand.Rand) []Fault {
			return []Fault{newFault(PartitionControl, 12*sec, 12*sec, s.Zones[rng.IntN(len(s.Zones))]), newFault(ReplicaCrash, 17*sec, 500*time.Millisecond, pickSome(rng, replicaNames(), 3)...),
				newFault(Release, 14*sec, 0, pickSome(rng, replicaNames(), 2)...)}
		}},
		{Name: "clocks are set back", Faults: func(s shape.Shape, rng *rand.Rand) []Fault {
			back := pickSome(rng, nodeNames(s), 4)
			var fs []Fault
			for i := range 7 {
				fs = append(fs, newFault(ClockBack, time.Duration(9+4*i)*sec, 1200*time.Millisecond, back[i%2*2:i%2*2+2]...))
			}
			return append(fs, newFault(PutStorm, 9*sec, 25*sec), newFault(UnreliableLists, 9*sec, 20*sec))
		}},
		{Name: "core freezes in an act", Faults: func(s shape.Shape, rng *rand.Rand) []Fault {
			return []Fault{newFault(FreezeInVoterChange, 9*sec, 7*sec), newFault(PutStorm, 9*sec, 50*sec), newFault(Relocate, 12*sec, 2*sec, pickSome(rng, s.Voters, 1)...)}
		}, Adjust: func(s *Scenario) { s.Duration = 70 * sec }},
		{Name: "day ends with a domain lost", Faults: func(s shape.Shape, rng *rand.Rand) []Fault {
			d := s.Zones[rng.IntN(3)]
			return []Fault{newFault(PutStorm, 10*sec, 29900*time.Millisecond), newFault(WipeDisk, 39900*time.Millisecond, -1, shapeNodesInZone(s, d)...), newFault(ReplicaCrash, 39900*time.Millisecond, -1, replicasInZone(s, d)...)}
		}},
		{Name: "day ends with all power and one disk lost", Faults: func(s shape.Shape, rng *rand.Rand) []Fault {
			return []Fault{newFault(PutStorm, 10*sec, 30*sec), newFault(AllPowerOff, 40*sec, -1), newFault(WipeDisk, 41*sec, -1, pickSome(rng, s.Voters, 1)...)}
		}},
		{Name: "everything at once", Faults: everyFleetFault, Adjust: func(s *Scenario) { s.Duration, s.LossRatio = 70*sec, 0.01 }},
	}
}

// everyFleetFault returns a fault of a random kind every two seconds.
func everyFleetFault(s shape.Shape, rng *rand.Rand) []Fault {
	var fs []Fault
	fs = append(fs, newFault(PutStorm, 9*sec, 40*sec))
	kinds := []string{Kill, Power, Freeze, PartitionNode, PartitionOneWay, ReplicaCrash, ReplicaUnreachable, SlowDisk, StallDisk}
	for at := 10 * sec; at < 45*sec; at += 2 * sec {
		kind := kinds[rng.IntN(len(kinds))]
		on := pickSome(rng, nodeNames(s), 1)
		if kind == ReplicaCrash || kind == ReplicaUnreachable {
			on = pickSome(rng, replicaNames(), 2)
		}
		fs = append(fs, newFault(kind, at, time.Duration(1000+rng.IntN(4000))*time.Millisecond, on...))
	}
	return fs
}
