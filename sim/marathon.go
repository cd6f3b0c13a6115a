package sim

import (
	"math/rand/v2"
	"time"
)

const (
	marathonLasts = 116 * sec
	marathonFrom  = 11 * sec
	marathonEnds  = 104 * sec
	// atOnce is how many faults begin together.
	atOnce = 3
)

// marathonKinds are the kinds of fault of a marathon by what they strike.
type marathonKinds struct {
	onCore, onNodes, onReplicas, plain []string
}

func marathonFaults() marathonKinds {
	var kinds marathonKinds
	kinds.onCore = []string{
		Kill, Power, WipeDisk, Relocate, ReplaceMachine, Freeze, ClockBack, PartitionCore, PartitionCoreOut, PartitionCoreIn, PartitionControl, PartitionOneWay, PartitionIn, PartitionNode, SlowDisk, StallDisk, FullDisk,
		StaleDisk,
	}
	kinds.onNodes = []string{Kill, Power, Freeze, PartitionNode, PartitionControl, PartitionOneWay, PartitionIn, ClockBack, Upgrade}
	kinds.onReplicas = []string{ReplicaCrash, ReplicaUnreachable, ReplicaFreeze, Release, ScaleIn}
	kinds.plain = []string{PutStorm, ChangeConfig, ConcurrentPuts, SameRevision, InvalidPuts, LoseAcks, EvacuateFault, ListUnavailable, BurstFault, HotKey, ScaleOut, CorruptResponses}
	return kinds
}

// Marathon is a long day on which three faults at a time begin, drawn from all kinds, under orders that never pause.
func Marathon() SiteScenario {
	return SiteScenario{Name: "marathon", Duration: marathonLasts, TrafficRatio: few, ClosingFaults: lossAndMore, Faults: func(s SiteSpec, rng *rand.Rand) []Fault {
		fs := pressing(s, rng, marathonFrom, marathonEnds)
		for at := marathonFrom + sec; at < marathonEnds-5*sec; at += time.Duration(2000+rng.IntN(2500)) * ms {
			for range atOnce {
				fs = append(fs, marathonFault(s, rng, at+time.Duration(rng.IntN(700))*ms))
			}
		}
		return fs
	}}
}

func marathonFault(s SiteSpec, rng *rand.Rand, at time.Duration) Fault {
	kinds := marathonFaults()
	lasts := time.Duration(300+rng.IntN(5000)) * ms
	if rng.IntN(8) == 0 {
		lasts = 20 * sec
	}
	switch rng.IntN(5) {
	case 0, 1:
		return one(drawn(rng, kinds.onCore...), at, lasts, AnyCore)
	case 2:
		return one(drawn(rng, kinds.onNodes...), at, lasts, some(rng, nodeNames(s.Shape)[len(disks(s)):], 1+rng.IntN(2))...)
	case 3:
		return one(drawn(rng, kinds.onReplicas...), at, lasts, s.Services[rng.IntN(len(s.Services))].Name)
	}
	f := one(drawn(rng, kinds.plain...), at, min(lasts, 6*sec))
	switch f.Kind {
	case EvacuateFault:
		f.On = some(rng, s.Shape.Zones, 1)
	case CorruptResponses:
		f.On = []string{drawn(rng, "cut", "reset", "late", "junk", "silent", "surplus")}
	}
	return f
}
