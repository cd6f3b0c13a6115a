package sim

import (
	"math/rand/v2"
	"slices"
	"time"
)

const ms = time.Millisecond

func nodeScenarios() []SiteScenario { return append(processScenarios(), diskAndZoneScenarios()...) }

func processScenarios() []SiteScenario {
	return []SiteScenario{
		{Name: "processes are killed", Faults: func(s SiteSpec, rng *rand.Rand) []Fault {
			return repeatedFault{Kill, 4, 4 * sec, 2 * sec, nodeNames(s.Shape), 2}.draw(rng)
		}},
		{Name: "half are killed at once", Faults: func(s SiteSpec, rng *rand.Rand) []Fault {
			return []Fault{newFault(Kill, 13*sec, 2*sec, pickSome(rng, nodeNames(s.Shape), len(s.Shape.Nodes)*55/100)...)}
		}},
		{Name: "half lose power at once", Faults: func(s SiteSpec, rng *rand.Rand) []Fault {
			return []Fault{newFault(Power, 13*sec, 2*sec, pickSome(rng, nodeNames(s.Shape), len(s.Shape.Nodes)*55/100)...)}
		}},
		{Name: "all are killed", Faults: func(s SiteSpec, _ *rand.Rand) []Fault {
			return []Fault{newFault(Kill, 14*sec, sec, nodeNames(s.Shape)...)}
		}},
		{Name: "machines freeze", Faults: func(s SiteSpec, rng *rand.Rand) []Fault {
			fs := repeatedFault{Freeze, 3, 5 * sec, 3500 * ms, nodeNames(s.Shape)[len(diskNodes(s)):], 1}.draw(rng)
			return append(fs, newFault(Freeze, 15*sec, 2*sec, pickSome(rng, diskNodes(s), 1)...), newFault(PutStorm, 12*sec, 8*sec))
		}},
		{Name: "machines are stopped in turn", MinServed: 0.95, Duration: 46 * sec, Faults: func(s SiteSpec, rng *rand.Rand) []Fault {
			return []Fault{newFault(Upgrade, 12*sec, 0, pickSome(rng, nodeNames(s.Shape), 5)...)}
		}},
		{Name: "a domain's machines are stopped together", MinServed: 0.9, Duration: 40 * sec, Faults: func(s SiteSpec, rng *rand.Rand) []Fault {
			var fs []Fault
			for i, name := range shapeNodesInZone(s.Shape, s.Shape.Zones[rng.IntN(len(s.Shape.Zones))]) {
				fs = append(fs, newFault(Upgrade, 12*sec+time.Duration(i)*1100*ms, 0, name))
			}
			return append(fs, newFault(BurstFault, 11*sec, 12*sec))
		}},
		{Name: "machines are cut off", Faults: func(s SiteSpec, rng *rand.Rand) []Fault {
			fs := append(repeatedFault{PartitionNode, 2, 9 * sec, 5500 * ms, nodeNames(s.Shape), 2}.draw(rng), repeatedFault{PartitionControl, 2, 8 * sec, 5 * sec, nodeNames(s.Shape), 1}.draw(rng)...)
			return append(fs, newFault(PutStorm, 13*sec, 4*sec), newFault(Release, 14*sec, 0, s.Services[0].Name))
		}},
		{Name: "core is cut", Faults: func(s SiteSpec, _ *rand.Rand) []Fault {
			return []Fault{newFault(SplitCore, 13*sec, 5500*ms, diskNodes(s)...), newFault(ChangeConfig, 14*sec, 0), newFault(ChangeConfig, 20*sec, 0), newFault(Release, 15*sec, 0, s.Services[0].Name)}
		}},
		{Name: "clocks step", Faults: func(s SiteSpec, rng *rand.Rand) []Fault {
			return append(repeatedFault{ClockBack, 3, 5 * sec, sec, nodeNames(s.Shape), 3}.draw(rng), newFault(PutStorm, 13*sec, 8*sec))
		}},
	}
}

func diskAndZoneScenarios() []SiteScenario {
	return []SiteScenario{
		{Name: "disks are slow, stall and fill", MinServed: 0.95, Duration: 40 * sec, Faults: func(s SiteSpec, rng *rand.Rand) []Fault {
			return []Fault{
				newFault(SlowDisk, 12*sec, 5*sec, pickSome(rng, diskNodes(s), 1)...), newFault(StallDisk, 18*sec, 3500*ms, pickSome(rng, diskNodes(s), 1)...),
				newFault(FullDisk, 24*sec, 4500*ms, pickSome(rng, diskNodes(s), 1)...), newFault(PutStorm, 12*sec, 18*sec),
			}
		}},
		{Name: "a core machine comes back elsewhere", Duration: 42 * sec, Faults: func(s SiteSpec, _ *rand.Rand) []Fault {
			return []Fault{newFault(ChangeConfig, 11*sec, 0), newFault(Relocate, 12*sec, sec, diskNodes(s)[0]), newFault(PutStorm, 14*sec, 10*sec), newFault(Kill, 26*sec, 2*sec, diskNodes(s)[1]), newFault(ChangeConfig, 27*sec, 0)}
		}},
		{Name: "replicas crash while nodes are killed", Faults: func(s SiteSpec, rng *rand.Rand) []Fault {
			return append(repeatedFault{Kill, 3, 5 * sec, 2 * sec, nodeNames(s.Shape), 2}.draw(rng), repeatedFault{ReplicaCrash, 3, 4 * sec, 2 * sec, []string{s.Services[0].Name}, 1}.draw(rng)...)
		}},
		{Name: "a domain is lost", Faults: func(s SiteSpec, rng *rand.Rand) []Fault {
			d := s.Shape.Zones[rng.IntN(len(s.Shape.Zones))]
			return []Fault{newFault(Power, 13*sec, 6*sec, shapeNodesInZone(s.Shape, d)...), newFault(ReplicaCrash, 13*sec, 6*sec, d), newFault(PutStorm, 14*sec, 4*sec)}
		}},
		{Name: "everything at once", Duration: 50 * sec, LossRatio: 0.005, Faults: func(s SiteSpec, rng *rand.Rand) []Fault {
			var fs []Fault
			fs = append(fs, newFault(PutStorm, 11*sec, 30*sec), newFault(EvacuateFault, 18*sec, 8*sec, s.Shape.Zones[rng.IntN(len(s.Shape.Zones))]))
			kinds := []string{Kill, Power, Freeze, PartitionNode, PartitionControl, ClockBack, ReplicaCrash, ReplicaUnreachable, SlowDisk, StallDisk, Release, BurstFault, CorruptResponses}
			corruptions := []string{"cut", "reset", "late", "junk", "silent"}
			for at := 12 * sec; at < 42*sec; at += 2 * sec {
				kind, on := kinds[rng.IntN(len(kinds))], pickSome(rng, nodeNames(s.Shape), 1)
				switch kind {
				case ReplicaCrash, ReplicaUnreachable, Release:
					on = []string{s.Services[rng.IntN(len(s.Services))].Name}
				case SlowDisk, StallDisk:
					on = pickSome(rng, diskNodes(s), 1)
				case BurstFault:
					on = nil
				case CorruptResponses:
					on = pickSome(rng, corruptions, 1)
				}
				fs = append(fs, newFault(kind, at, time.Duration(1000+rng.IntN(4000))*ms, on...))
			}
			return fs
		}},
		{Name: "messages are lost", LossRatio: 0.02, MinServed: 0.95, Faults: func(s SiteSpec, _ *rand.Rand) []Fault {
			return []Fault{newFault(PutStorm, 12*sec, 8*sec), newFault(Release, 13*sec, 0, s.Services[0].Name)}
		}},
	}
}

func orderScenarios() []SiteScenario {
	allDown := func(_ SiteSpec, _ *rand.Rand, _ string) []Fault { return []Fault{newFault(AllPowerOff, 0, sec)} }
	return []SiteScenario{
		{Name: "one change", MinServed: 0.99, Faults: fixedFaults(newFault(ChangeConfig, 13*sec, 0), newFault(ChangeConfig, 18*sec, 0))},
		{Name: "configurations in quick succession", MinServed: 0.98, Faults: fixedFaults(newFault(PutStorm, 12*sec, 8*sec))},
		{Name: "operators race", MinServed: 0.98, Faults: fixedFaults(newFault(ConcurrentPuts, 12*sec, 0))},
		{Name: "flawed configurations", MinServed: 0.98, Faults: fixedFaults(newFault(InvalidPuts, 12*sec, 0), newFault(ChangeConfig, 14*sec, 0), newFault(InvalidPuts, 15*sec, 0))},
		{Name: "configuration grows between builds", Duration: 36 * sec, MixPreviousBuild: true, Faults: func(s SiteSpec, rng *rand.Rand) []Fault {
			return []Fault{newFault(LargePuts, 12*sec, 0), newFault(PutStorm, 14*sec, 12*sec), newFault(Power, 16*sec, 2*sec, diskNodes(s)[rng.IntN(3)]),
				newFault(FullDisk, 21*sec, 3*sec, pickSome(rng, diskNodes(s), 1)...), newFault(Kill, 24*sec, 2*sec, pickSome(rng, nodeNames(s.Shape), 3)...), newFault(ConcurrentPuts, 27*sec, 0)}
		}},
		{Name: "configuration grows", MinServed: 0.95, Faults: fixedFaults(newFault(LargePuts, 12*sec, 0), newFault(PutStorm, 15*sec, 4*sec))},
		{Name: "evacuation and back", MinServed: 0.9, Faults: func(s SiteSpec, rng *rand.Rand) []Fault {
			return []Fault{newFault(EvacuateFault, 12*sec, 8*sec, s.Shape.Zones[rng.IntN(len(s.Shape.Zones))])}
		}},
		{Name: "evacuation while nodes are killed", Faults: func(s SiteSpec, rng *rand.Rand) []Fault {
			fs := repeatedFault{Kill, 3, 4 * sec, 2 * sec, nodeNames(s.Shape), 2}.draw(rng)
			return append(fs, newFault(EvacuateFault, 13*sec, 9*sec, s.Shape.Zones[rng.IntN(len(s.Shape.Zones))]))
		}},
		{Name: "all power is lost after the word", Duration: 18 * sec, Faults: fixedFaults(newFault(PutStorm, 12*sec, 4*sec)), ClosingFaults: allDown},
		{Name: "all are killed after the word", Duration: 18 * sec, ClosingFaults: func(s SiteSpec, _ *rand.Rand, _ string) []Fault {
			return []Fault{newFault(Kill, 0, sec, nodeNames(s.Shape)...)}
		}},
		{Name: "a disk is lost after the word, and all power", Duration: 18 * sec, ClosingFaults: func(s SiteSpec, rng *rand.Rand, _ string) []Fault {
			return []Fault{newFault(AllPowerOff, 0, sec), newFault(WipeDisk, 0, sec, pickSome(rng, diskNodes(s), s.FaultTolerance)...)}
		}},
		{Name: "the node that gave its word loses its disk, the others their power", Duration: 18 * sec, ClosingFaults: func(s SiteSpec, rng *rand.Rand, acked string) []Fault {
			if !slices.Contains(diskNodes(s), acked) {
				acked = pickSome(rng, diskNodes(s), 1)[0]
			}
			return []Fault{newFault(AllPowerOff, 0, sec), newFault(WipeDisk, 0, sec, acked)}
		}},
		{Name: "evacuated, then all power is lost", Duration: 18 * sec, Faults: func(s SiteSpec, _ *rand.Rand) []Fault {
			return []Fault{newFault(EvacuateFault, 13*sec, 100*sec, s.Shape.Zones[0])}
		}, ClosingFaults: allDown},
		{Name: "disks are lost after the word, one after the other", Duration: 40 * sec, Faults: func(s SiteSpec, rng *rand.Rand) []Fault {
			var fs []Fault
			for i, name := range pickSome(rng, diskNodes(s), 3) {
				at := 12*sec + time.Duration(i)*9*sec
				fs = append(fs, newFault(ChangeConfig, at-100*ms, 0), newFault(WipeDisk, at, 3*sec, name))
			}
			return fs
		}},
	}
}
