package sim

import (
	"math/rand/v2"
	"time"
)

// constantOrders returns the operator requests of a whole run: rapid changes, reads, evacuations, accepted changes that are sent again, and
// different changes under one revision number.
func constantOrders(s SiteSpec, rng *rand.Rand, from, until time.Duration) []Fault {
	zone := s.Shape.Zones[rng.IntN(len(s.Shape.Zones))]
	return []Fault{
		newFault(RapidChanges, from, until-from), newFault(ReadConfig, from, until-from), newFault(ResendChanges, from+sec, until-from-sec), newFault(EvacuateRepeatedly, from, until-from, zone),
		newFault(SameRevision, from+2*sec, 3*sec), newFault(SameRevision, until-5*sec, 3*sec),
	}
}

// controlTestTraffic is the share of the traffic in scenarios that test the control plane.
const controlTestTraffic = 0.25

// pickOne returns a random one of the words.
func pickOne(rng *rand.Rand, words ...string) string { return words[rng.IntN(len(words))] }

// WorstScenarios returns scenarios for the five kinds of failure that the control plane had, most of them under constant operator requests.
func WorstScenarios() []SiteScenario {
	return append(partitionScenarios(), lossScenarios()...)
}

func partitionScenarios() []SiteScenario {
	const long = 20 * sec
	partitions := []string{PartitionCore, PartitionCoreOut, PartitionCoreIn, PartitionControl, PartitionOneWay, PartitionIn, PartitionNode}
	return []SiteScenario{
		{Name: "a control machine is cut off for 20 s", Duration: 64 * sec, TrafficRatio: controlTestTraffic, Faults: func(s SiteSpec, rng *rand.Rand) []Fault {
			fs := constantOrders(s, rng, 11*sec, 58*sec)
			fs = append(fs, newFault(pickOne(rng, partitions...), 13*sec, long, AnyCore), newFault(pickOne(rng, partitions...), 35*sec, long, AllCore))
			return append(fs, newFault(PartitionIn, 20*sec, long, pickSome(rng, nodeNames(s.Shape)[len(diskNodes(s)):], 2)...))
		}},
		{Name: "a control machine stands still for 20 s", Duration: 64 * sec, TrafficRatio: controlTestTraffic, Faults: func(s SiteSpec, rng *rand.Rand) []Fault {
			fs := constantOrders(s, rng, 11*sec, 58*sec)
			fs = append(fs, newFault(Freeze, 13*sec, long, AnyCore), newFault(Freeze, 35*sec, long, AllCore))
			for at := 14 * sec; at < 50*sec; at += 5 * sec {
				fs = append(fs, newFault(Freeze, at, time.Duration(1500+rng.IntN(6000))*ms, pickSome(rng, nodeNames(s.Shape)[len(diskNodes(s)):], 3)...))
			}
			return fs
		}},
		{Name: "orders are repeated while acknowledgements are lost", Duration: 60 * sec, TrafficRatio: controlTestTraffic, Faults: func(s SiteSpec, rng *rand.Rand) []Fault {
			fs := constantOrders(s, rng, 11*sec, 50*sec)
			fs = append(fs, newFault(LoseAcks, 12*sec, long), newFault(LoseAcks, 38*sec, 4*sec, "all"), newFault(SameRevision, 13*sec, long))
			return append(fs, newFault(Power, 15*sec, 3*sec, AnyCore), newFault(Freeze, 24*sec, 4*sec, AnyCore), newFault(pickOne(rng, partitions...), 33*sec, 4*sec, AnyCore))
		}},
		{Name: "answers go to the wrong caller", Duration: 50 * sec, Faults: func(s SiteSpec, rng *rand.Rand) []Fault {
			fs := []Fault{newFault(PutStorm, 12*sec, 30*sec)}
			for i, corruption := range pickSome(rng, []string{"late", "surplus", "reset", "silent", "junk", "cut"}, 4) {
				fs = append(fs, newFault(CorruptResponses, time.Duration(11+8*i)*sec, 8*sec, corruption))
			}
			for at := 12 * sec; at < 40*sec; at += 4 * sec {
				service := s.Services[rng.IntN(len(s.Services))].Name
				fs = append(fs, newFault(ReplicaFreeze, at, time.Duration(500+rng.IntN(5000))*ms, service), newFault(ReplicaRestart, at+sec, 30*ms, service))
				fs = append(fs, newFault(Freeze, at+2*sec, time.Duration(300+rng.IntN(3500))*ms, pickSome(rng, nodeNames(s.Shape), 1)...))
			}
			return append(fs, newFault(ReplicaFreeze, 14*sec, long, s.Services[0].Name), newFault(Freeze, 15*sec, long, pickSome(rng, nodeNames(s.Shape), 1)...))
		}},
	}
}

// loseCoreDisks returns closing faults: as many core machines as the site tolerates lose their disks, and in half of the cases all machines lose
// power a millisecond later.
func loseCoreDisks(_ SiteSpec, rng *rand.Rand, _ string) []Fault {
	fs := []Fault{newFault(WipeDisk, 0, sec, AllCore)}
	if rng.IntN(2) == 0 {
		return append(fs, newFault(AllPowerOff, ms, sec))
	}
	return fs
}

func lossScenarios() []SiteScenario {
	return []SiteScenario{
		{Name: "a second loss right after a repair", Duration: 66 * sec, TrafficRatio: controlTestTraffic, ClosingFaults: loseCoreDisks, Faults: func(s SiteSpec, rng *rand.Rand) []Fault {
			fs := constantOrders(s, rng, 11*sec, 60*sec)
			for i := range 12 {
				kind := pickOne(rng, WipeDisk, Relocate, ReplaceMachine, Power, WipeDisk, Kill, StaleDisk)
				fs = append(fs, newFault(kind, 12*sec+time.Duration(i)*ms, time.Duration(300+rng.IntN(2000))*ms, AnyCore))
			}
			return fs
		}},
		{Name: "a member returns after hundreds of changes", Duration: 62 * sec, TrafficRatio: controlTestTraffic, ClosingFaults: loseCoreDisks, Faults: func(s SiteSpec, rng *rand.Rand) []Fault {
			fs := constantOrders(s, rng, 11*sec, 56*sec)
			fs = append(fs, newFault(Kill, 12*sec, 25*sec, AnyCore), newFault(StaleDisk, 11500*ms, 30*sec, AnyCore))
			return append(fs, newFault(WipeDisk, 38*sec, sec, AnyCore), newFault(Power, 40*sec, sec, AnyCore), newFault(WipeDisk, 42*sec, sec, AllCore))
		}},
	}
}
