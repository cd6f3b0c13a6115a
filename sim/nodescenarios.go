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
			return []Fault{one(Kill, 13*sec, 2*sec, some(rng, nodeNames(s.Shape), len(s.Shape.Nodes)*55/100)...)}
		}},
		{Name: "half lose power at once", Faults: func(s SiteSpec, rng *rand.Rand) []Fault {
			return []Fault{one(Power, 13*sec, 2*sec, some(rng, nodeNames(s.Shape), len(s.Shape.Nodes)*55/100)...)}
		}},
		{Name: "all are killed", Faults: func(s SiteSpec, _ *rand.Rand) []Fault {
			return []Fault{one(Kill, 14*sec, sec, nodeNames(s.Shape)...)}
		}},
		{Name: "machines freeze", Faults: func(s SiteSpec, rng *rand.Rand) []Fault {
			fs := repeatedFault{Freeze, 3, 5 * sec, 3500 * ms, nodeNames(s.Shape)[len(disks(s)):], 1}.draw(rng)
			return append(fs, one(Freeze, 15*sec, 2*sec, some(rng, disks(s), 1)...), one(PutStorm, 12*sec, 8*sec))
		}},
		{Name: "machines are stopped in turn", MinServed: 0.95, Duration: 46 * sec, Faults: func(s SiteSpec, rng *rand.Rand) []Fault {
			return []Fault{one(Upgrade, 12*sec, 0, some(rng, nodeNames(s.Shape), 5)...)}
		}},
		{Name: "a domain's machines are stopped together", MinServed: 0.9, Duration: 40 * sec, Faults: func(s SiteSpec, rng *rand.Rand) []Fault {
			var fs []Fault
			for i, name := range namesIn(s.Shape, s.Shape.Zones[rng.IntN(len(s.Shape.Zones))]) {
				fs = append(fs, one(Upgrade, 12*sec+time.Duration(i)*1100*ms, 0, name))
			}
			return append(fs, one(BurstFault, 11*sec, 12*sec))
		}},
		{Name: "machines are cut off", Faults: func(s SiteSpec, rng *rand.Rand) []Fault {
			fs := append(repeatedFault{PartitionNode, 2, 9 * sec, 5500 * ms, nodeNames(s.Shape), 2}.draw(rng), repeatedFault{PartitionControl, 2, 8 * sec, 5 * sec, nodeNames(s.Shape), 1}.draw(rng)...)
			return append(fs, one(PutStorm, 13*sec, 4*sec), one(Release, 14*sec, 0, s.Services[0].Name))
		}},
		{Name: "core is cut", Faults: func(s SiteSpec, _ *rand.Rand) []Fault {
			return []Fault{one(SplitCore, 13*sec, 5500*ms, disks(s)...), one(ChangeConfig, 14*sec, 0), one(ChangeConfig, 20*sec, 0), one(Release, 15*sec, 0, s.Services[0].Name)}
		}},
		{Name: "clocks step", Faults: func(s SiteSpec, rng *rand.Rand) []Fault {
			return append(repeatedFault{ClockBack, 3, 5 * sec, sec, nodeNames(s.Shape), 3}.draw(rng), one(PutStorm, 13*sec, 8*sec))
		}},
	}
}

func diskAndZoneScenarios() []SiteScenario {
	return []SiteScenario{
		{Name: "disks are slow, stall and fill", MinServed: 0.95, Duration: 40 * sec, Faults: func(s SiteSpec, rng *rand.Rand) []Fault {
			return []Fault{
				one(SlowDisk, 12*sec, 5*sec, some(rng, disks(s), 1)...), one(StallDisk, 18*sec, 3500*ms, some(rng, disks(s), 1)...),
				one(FullDisk, 24*sec, 4500*ms, some(rng, disks(s), 1)...), one(PutStorm, 12*sec, 18*sec),
			}
		}},
		{Name: "a core machine comes back elsewhere", Duration: 42 * sec, Faults: func(s SiteSpec, _ *rand.Rand) []Fault {
			return []Fault{one(ChangeConfig, 11*sec, 0), one(Relocate, 12*sec, sec, disks(s)[0]), one(PutStorm, 14*sec, 10*sec), one(Kill, 26*sec, 2*sec, disks(s)[1]), one(ChangeConfig, 27*sec, 0)}
		}},
		{Name: "replicas crash while nodes are killed", Faults: func(s SiteSpec, rng *rand.Rand) []Fault {
			return append(repeatedFault{Kill, 3, 5 * sec, 2 * sec, nodeNames(s.Shape), 2}.draw(rng), repeatedFault{ReplicaCrash, 3, 4 * sec, 2 * sec, []string{s.Services[0].Name}, 1}.draw(rng)...)
		}},
		{Name: "a domain is lost", Faults: func(s SiteSpec, rng *rand.Rand) []Fault {
			d := s.Shape.Zones[rng.IntN(len(s.Shape.Zones))]
			return []Fault{one(Power, 13*sec, 6*sec, namesIn(s.Shape, d)...), one(ReplicaCrash, 13*sec, 6*sec, d), one(PutStorm, 14*sec, 4*sec)}
		}},
		{Name: "everything at once", Duration: 50 * sec, LossRatio: 0.005, Faults: func(s SiteSpec, rng *rand.Rand) []Fault {
			var fs []Fault
			fs = append(fs, one(PutStorm, 11*sec, 30*sec), one(EvacuateFault, 18*sec, 8*sec, s.Shape.Zones[rng.IntN(len(s.Shape.Zones))]))
			classes := []string{Kill, Power, Freeze, PartitionNode, PartitionControl, ClockBack, ReplicaCrash, ReplicaUnreachable, SlowDisk, StallDisk, Release, BurstFault, CorruptResponses}
			hows := []string{"cut", "reset", "late", "junk", "silent"}
			for at := 12 * sec; at < 42*sec; at += 2 * sec {
				k, on := classes[rng.IntN(len(classes))], some(rng, nodeNames(s.Shape), 1)
				switch k {
				case ReplicaCrash, ReplicaUnreachable, Release:
					on = []string{s.Services[rng.IntN(len(s.Services))].Name}
				case SlowDisk, StallDisk:
					on = some(rng, disks(s), 1)
				case BurstFault:
					on = nil
				case CorruptResponses:
					on = some(rng, hows, 1)
				}
				fs = append(fs, one(k, at, time.Duration(1000+rng.IntN(4000))*ms, on...))
			}
			return fs
		}},
		{Name: "messages are lost", LossRatio: 0.02, MinServed: 0.95, Faults: func(s SiteSpec, _ *rand.Rand) []Fault {
			return []Fault{one(PutStorm, 12*sec, 8*sec), one(Release, 13*sec, 0, s.Services[0].Name)}
		}},
	}
}

func orderScenarios() []SiteScenario {
	allDown := func(_ SiteSpec, _ *rand.Rand, _ string) []Fault { return []Fault{one(AllPowerOff, 0, sec)} }
	return []SiteScenario{
		{Name: "one change", MinServed: 0.99, Faults: fixedFaults(one(ChangeConfig, 13*sec, 0), one(ChangeConfig, 18*sec, 0))},
		{Name: "configurations in quick succession", MinServed: 0.98, Faults: fixedFaults(one(PutStorm, 12*sec, 8*sec))},
		{Name: "operators race", MinServed: 0.98, Faults: fixedFaults(one(ConcurrentPuts, 12*sec, 0))},
		{Name: "flawed configurations", MinServed: 0.98, Faults: fixedFaults(one(InvalidPuts, 12*sec, 0), one(ChangeConfig, 14*sec, 0), one(InvalidPuts, 15*sec, 0))},
		{Name: "configuration grows between builds", Duration: 36 * sec, MixPreviousBuild: true, Faults: func(s SiteSpec, rng *rand.Rand) []Fault {
			return []Fault{one(LargePuts, 12*sec, 0), one(PutStorm, 14*sec, 12*sec), one(Power, 16*sec, 2*sec, disks(s)[rng.IntN(3)]),
				one(FullDisk, 21*sec, 3*sec, some(rng, disks(s), 1)...), one(Kill, 24*sec, 2*sec, some(rng, nodeNames(s.Shape), 3)...), one(ConcurrentPuts, 27*sec, 0)}
		}},
		{Name: "configuration grows", MinServed: 0.95, Faults: fixedFaults(one(LargePuts, 12*sec, 0), one(PutStorm, 15*sec, 4*sec))},
		{Name: "evacuation and back", MinServed: 0.9, Faults: func(s SiteSpec, rng *rand.Rand) []Fault {
			return []Fault{one(EvacuateFault, 12*sec, 8*sec, s.Shape.Zones[rng.IntN(len(s.Shape.Zones))])}
		}},
		{Name: "evacuation while nodes are killed", Faults: func(s SiteSpec, rng *rand.Rand) []Fault {
			fs := repeatedFault{Kill, 3, 4 * sec, 2 * sec, nodeNames(s.Shape), 2}.draw(rng)
			return append(fs, one(EvacuateFault, 13*sec, 9*sec, s.Shape.Zones[rng.IntN(len(s.Shape.Zones))]))
		}},
		{Name: "all power is lost after the word", Duration: 18 * sec, Faults: fixedFaults(one(PutStorm, 12*sec, 4*sec)), ClosingFaults: allDown},
		{Name: "all are killed after the word", Duration: 18 * sec, ClosingFaults: func(s SiteSpec, _ *rand.Rand, _ string) []Fault {
			return []Fault{one(Kill, 0, sec, nodeNames(s.Shape)...)}
		}},
		{Name: "a disk is lost after the word, and all power", Duration: 18 * sec, ClosingFaults: func(s SiteSpec, rng *rand.Rand, _ string) []Fault {
			return []Fault{one(AllPowerOff, 0, sec), one(WipeDisk, 0, sec, some(rng, disks(s), s.FaultTolerance)...)}
		}},
		{Name: "the node that gave its word loses its disk, the others their power", Duration: 18 * sec, ClosingFaults: func(s SiteSpec, rng *rand.Rand, acked string) []Fault {
			if !slices.Contains(disks(s), acked) {
				acked = some(rng, disks(s), 1)[0]
			}
			return []Fault{one(AllPowerOff, 0, sec), one(WipeDisk, 0, sec, acked)}
		}},
		{Name: "evacuated, then all power is lost", Duration: 18 * sec, Faults: func(s SiteSpec, _ *rand.Rand) []Fault {
			return []Fault{one(EvacuateFault, 13*sec, 100*sec, s.Shape.Zones[0])}
		}, ClosingFaults: allDown},
		{Name: "disks are lost after the word, one after the other", Duration: 40 * sec, Faults: func(s SiteSpec, rng *rand.Rand) []Fault {
			var fs []Fault
			for i, name := range some(rng, disks(s), 3) {
				at := 12*sec + time.Duration(i)*9*sec
				fs = append(fs, one(ChangeConfig, at-100*ms, 0), one(WipeDisk, at, 3*sec, name))
			}
			return fs
		}},
	}
}
