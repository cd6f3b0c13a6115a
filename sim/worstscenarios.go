package sim

import (
	"math/rand/v2"
	"time"
)

// pressing are the orders that go on through a worst day: changes in quick succession, reads, evacuations and taken changes sent again.
func pressing(s SiteSpec, rng *rand.Rand, from, until time.Duration) []Fault {
	zone := s.Shape.Zones[rng.IntN(len(s.Shape.Zones))]
	return []Fault{
		one(RapidChanges, from, until-from), one(ReadConfig, from, until-from), one(ResendChanges, from+sec, until-from-sec), one(EvacuateRepeatedly, from, until-from, zone),
		one(SameRevision, from+2*sec, 3*sec), one(SameRevision, until-5*sec, 3*sec),
	}
}

// few is the share of the traffic on days whose matter is the control side.
const few = 0.25

// drawn is one of some words.
func drawn(rng *rand.Rand, words ...string) string { return words[rng.IntN(len(words))] }

// WorstScenarios are days for the five things that went wrong on the control side, each under orders that never pause.
func WorstScenarios() []SiteScenario {
	return append(partitionScenarios(), lossScenarios()...)
}

func partitionScenarios() []SiteScenario {
	const long = 20 * sec
	ways := []string{PartitionCore, PartitionCoreOut, PartitionCoreIn, PartitionControl, PartitionOneWay, PartitionIn, PartitionNode}
	return []SiteScenario{
		{Name: "a control machine is cut off for 20 s", Duration: 64 * sec, TrafficRatio: few, Faults: func(s SiteSpec, rng *rand.Rand) []Fault {
			fs := pressing(s, rng, 11*sec, 58*sec)
			fs = append(fs, one(drawn(rng, ways...), 13*sec, long, AnyCore), one(drawn(rng, ways...), 35*sec, long, AllCore))
			return append(fs, one(PartitionIn, 20*sec, long, some(rng, nodeNames(s.Shape)[len(disks(s)):], 2)...))
		}},
		{Name: "a control machine stands still for 20 s", Duration: 64 * sec, TrafficRatio: few, Faults: func(s SiteSpec, rng *rand.Rand) []Fault {
			fs := pressing(s, rng, 11*sec, 58*sec)
			fs = append(fs, one(Freeze, 13*sec, long, AnyCore), one(Freeze, 35*sec, long, AllCore))
			for at := 14 * sec; at < 50*sec; at += 5 * sec {
				fs = append(fs, one(Freeze, at, time.Duration(1500+rng.IntN(6000))*ms, some(rng, nodeNames(s.Shape)[len(disks(s)):], 3)...))
			}
			return fs
		}},
		{Name: "orders are repeated while acknowledgements are lost", Duration: 60 * sec, TrafficRatio: few, Faults: func(s SiteSpec, rng *rand.Rand) []Fault {
			fs := pressing(s, rng, 11*sec, 50*sec)
			fs = append(fs, one(LoseAcks, 12*sec, long), one(LoseAcks, 38*sec, 4*sec, "all"), one(SameRevision, 13*sec, long))
			return append(fs, one(Power, 15*sec, 3*sec, AnyCore), one(Freeze, 24*sec, 4*sec, AnyCore), one(drawn(rng, ways...), 33*sec, 4*sec, AnyCore))
		}},
		{Name: "answers go to the wrong caller", Duration: 50 * sec, Faults: func(s SiteSpec, rng *rand.Rand) []Fault {
			fs := []Fault{one(PutStorm, 12*sec, 30*sec)}
			for i, how := range some(rng, []string{"late", "surplus", "reset", "silent", "junk", "cut"}, 4) {
				fs = append(fs, one(CorruptResponses, time.Duration(11+8*i)*sec, 8*sec, how))
			}
			for at := 12 * sec; at < 40*sec; at += 4 * sec {
				service := s.Services[rng.IntN(len(s.Services))].Name
				fs = append(fs, one(ReplicaFreeze, at, time.Duration(500+rng.IntN(5000))*ms, service), one(ReplicaRestart, at+sec, 30*ms, service))
				fs = append(fs, one(Freeze, at+2*sec, time.Duration(300+rng.IntN(3500))*ms, some(rng, nodeNames(s.Shape), 1)...))
			}
			return append(fs, one(ReplicaFreeze, 14*sec, long, s.Services[0].Name), one(Freeze, 15*sec, long, some(rng, nodeNames(s.Shape), 1)...))
		}},
	}
}

// lossAndMore closes a day: as many disks as may be lost are, and at times all others lose power.
func lossAndMore(_ SiteSpec, rng *rand.Rand, _ string) []Fault {
	fs := []Fault{one(WipeDisk, 0, sec, AllCore)}
	if rng.IntN(2) == 0 {
		return append(fs, one(AllPowerOff, ms, sec))
	}
	return fs
}

func lossScenarios() []SiteScenario {
	return []SiteScenario{
		{Name: "a second loss right after a repair", Duration: 66 * sec, TrafficRatio: few, ClosingFaults: lossAndMore, Faults: func(s SiteSpec, rng *rand.Rand) []Fault {
			fs := pressing(s, rng, 11*sec, 60*sec)
			for i := range 12 {
				kind := drawn(rng, WipeDisk, Relocate, ReplaceMachine, Power, WipeDisk, Kill, StaleDisk)
				fs = append(fs, one(kind, 12*sec+time.Duration(i)*ms, time.Duration(300+rng.IntN(2000))*ms, AnyCore))
			}
			return fs
		}},
		{Name: "a member returns after hundreds of changes", Duration: 62 * sec, TrafficRatio: few, ClosingFaults: lossAndMore, Faults: func(s SiteSpec, rng *rand.Rand) []Fault {
			fs := pressing(s, rng, 11*sec, 56*sec)
			fs = append(fs, one(Kill, 12*sec, 25*sec, AnyCore), one(StaleDisk, 11500*ms, 30*sec, AnyCore))
			return append(fs, one(WipeDisk, 38*sec, sec, AnyCore), one(Power, 40*sec, sec, AnyCore), one(WipeDisk, 42*sec, sec, AllCore))
		}},
	}
}
