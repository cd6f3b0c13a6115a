package sim

import (
	"math/rand/v2"
	"time"

	"github.com/mallowbridge/mallowbridge/sim/shape"
	"github.com/mallowbridge/mallowbridge/sim/workload"
)

func reps(s shape.Shape, zone string) []string {
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
			return []Fault{one(Upgrade, 9*sec, 0, nodeNames(s)...)}
		}, Adjust: func(s *Scenario) { s.Duration = 80 * sec }},
		{Name: "neighbouring builds are mixed", Faults: func(s shape.Shape, rng *rand.Rand) []Fault {
			return []Fault{one(PutStorm, 9*sec, 20*sec), one(Kill, 12*sec, 2*sec, some(rng, nodeNames(s), 3)...), one(PartitionZone, 20*sec, 5*sec, s.Zones[rng.IntN(len(s.Zones))])}
		}, Adjust: func(s *Scenario) { s.MixNextBuild = true }},
		{Name: "one order while machines freeze", Faults: func(s shape.Shape, rng *rand.Rand) []Fault {
			var fs []Fault
			for i := range 5 {
				at := time.Duration(9000+6000*i+rng.IntN(400)) * time.Millisecond
				fs = append(fs, one(Freeze, at, 5*sec, some(rng, nodeNames(s)[4:], 4)...), one(PutStorm, at+2300*time.Millisecond, 50*time.Millisecond))
			}
			return fs
		}, Adjust: func(s *Scenario) { s.Load.Rate = 150 }},
		{Name: "a release that breaks each answer", Faults: func(_ shape.Shape, rng *rand.Rand) []Fault {
			return []Fault{one(ReplicaFailing, 9*sec, 25*sec, some(rng, replicaNames(), 9)...)}
		}, Adjust: func(s *Scenario) { s.Load.Rate = 40 }},
		{Name: "replicas answer wrongly", Faults: func(_ shape.Shape, rng *rand.Rand) []Fault {
			return []Fault{one(ReplicaCorrupt, 9*sec, 25*sec, some(rng, replicaNames(), 9)...)}
		}},
		{Name: "replicas restart at once", Faults: func(_ shape.Shape, rng *rand.Rand) []Fault {
			var fs []Fault
			for i := range 12 {
				fs = append(fs, one(ReplicaRestart, time.Duration(9000+2200*i+rng.IntN(900))*time.Millisecond, 0, some(rng, replicaNames(), 3)...))
			}
			return fs
		}, Adjust: func(s *Scenario) { s.Load.Bursts = []workload.Burst{{From: 12 * sec, Until: 30 * sec, Factor: 2.5}} }},
		{Name: "replicas flap", Faults: func(_ shape.Shape, rng *rand.Rand) []Fault {
			var fs []Fault
			for i := range 30 {
				fs = append(fs, one(ReplicaCrash, time.Duration(9000+900*i)*time.Millisecond, 400*time.Millisecond, some(rng, replicaNames(), 5)...))
			}
			return fs
		}, Adjust: func(s *Scenario) { s.Load.Bursts = []workload.Burst{{From: 8 * sec, Until: 38 * sec, Factor: 3}} }},
		{Name: "probers die while replicas restart", Faults: func(s shape.Shape, rng *rand.Rand) []Fault {
			var fs []Fault
			for i := range 6 {
				at := time.Duration(9+4*i) * sec
				fs = append(fs, one(Kill, at, 3*sec, some(rng, nodeNames(s), 4)...))
				fs = append(fs, one(ReplicaCrash, at+time.Duration(300+rng.IntN(2500))*time.Millisecond, 300*time.Millisecond, some(rng, replicaNames(), 4)...))
			}
			return fs
		}, Adjust: func(s *Scenario) { s.Load.Bursts = []workload.Burst{{From: 9 * sec, Until: 36 * sec, Factor: 1.5}} }},
	}
}

func zoneAndPowerScenarios() []FleetScenario {
	return []FleetScenario{
		{Name: "platform lists late and out of order", Faults: func(_ shape.Shape, _ *rand.Rand) []Fault {
			return []Fault{one(UnreliableLists, 9*sec, 25*sec), one(PutStorm, 12*sec, 12*sec)}
		}},
		{Name: "release while a domain empties", Faults: func(s shape.Shape, rng *rand.Rand) []Fault {
			d := s.Zones[rng.IntN(len(s.Zones))]
			return []Fault{one(Release, 10*sec, 0, append(some(rng, reps(s, d), 3), some(rng, replicaNames(), 3)...)...), one(EvacuateFault, 14*sec, 15*sec, d),
				one(Kill, 15*sec, 2*sec, some(rng, nodeNames(s), 2)...)}
		}},
		{Name: "domain is cut from other nodes", Faults: func(s shape.Shape, rng *rand.Rand) []Fault {
			return []Fault{one(PartitionControl, 12*sec, 12*sec, s.Zones[rng.IntN(len(s.Zones))]), one(ReplicaCrash, 17*sec, 500*time.Millisecond, some(rng, replicaNames(), 3)...),
				one(Release, 14*sec, 0, some(rng, replicaNames(), 2)...)}
		}},
		{Name: "clocks are set back", Faults: func(s shape.Shape, rng *rand.Rand) []Fault {
			back := some(rng, nodeNames(s), 4)
			var fs []Fault
			for i := range 7 {
				fs = append(fs, one(ClockBack, time.Duration(9+4*i)*sec, 1200*time.Millisecond, back[i%2*2:i%2*2+2]...))
			}
			return append(fs, one(PutStorm, 9*sec, 25*sec), one(UnreliableLists, 9*sec, 20*sec))
		}},
		{Name: "core freezes in an act", Faults: func(s shape.Shape, rng *rand.Rand) []Fault {
			return []Fault{one(FreezeInVoterChange, 9*sec, 7*sec), one(PutStorm, 9*sec, 50*sec), one(Relocate, 12*sec, 2*sec, some(rng, s.Voters, 1)...)}
		}, Adjust: func(s *Scenario) { s.Duration = 70 * sec }},
		{Name: "day ends with a domain lost", Faults: func(s shape.Shape, rng *rand.Rand) []Fault {
			d := s.Zones[rng.IntN(3)]
			return []Fault{one(PutStorm, 10*sec, 29900*time.Millisecond), one(WipeDisk, 39900*time.Millisecond, -1, namesIn(s, d)...), one(ReplicaCrash, 39900*time.Millisecond, -1, reps(s, d)...)}
		}},
		{Name: "day ends with all power and one disk lost", Faults: func(s shape.Shape, rng *rand.Rand) []Fault {
			return []Fault{one(PutStorm, 10*sec, 30*sec), one(AllPowerOff, 40*sec, -1), one(WipeDisk, 41*sec, -1, some(rng, s.Voters, 1)...)}
		}},
		{Name: "everything at once", Faults: everyFleetFault, Adjust: func(s *Scenario) { s.Duration, s.LossRatio = 70*sec, 0.01 }},
	}
}

// everyFleetFault strikes with a fault of any kind every two seconds.
func everyFleetFault(s shape.Shape, rng *rand.Rand) []Fault {
	var fs []Fault
	fs = append(fs, one(PutStorm, 9*sec, 40*sec))
	classes := []string{Kill, Power, Freeze, PartitionNode, PartitionOneWay, ReplicaCrash, ReplicaUnreachable, SlowDisk, StallDisk}
	for at := 10 * sec; at < 45*sec; at += 2 * sec {
		k := classes[rng.IntN(len(classes))]
		on := some(rng, nodeNames(s), 1)
		if k == ReplicaCrash || k == ReplicaUnreachable {
			on = some(rng, replicaNames(), 2)
		}
		fs = append(fs, one(k, at, time.Duration(1000+rng.IntN(4000))*time.Millisecond, on...))
	}
	return fs
}
