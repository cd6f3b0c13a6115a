package sim

import (
	"math/rand/v2"
	"time"
)

const (
	marathonDuration = 116 * sec
	marathonStart    = 11 * sec
	marathonEnd      = 104 * sec
	// faultsAtOnce is how many faults begin at about the same time.
	faultsAtOnce = 3
)

// marathonKinds are the kinds of fault of a marathon by their targets: core machines, other machines, the replicas of a service, or no particular
// machine or service (plain).
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

// Marathon returns a long scenario with constant operator requests, in which three random faults of all kinds begin at a time.
func Marathon() SiteScenario {
	return SiteScenario{Name: "marathon", Duration: marathonDuration, TrafficRatio: controlTestTraffic, ClosingFaults: loseCoreDisks, Faults: func(s SiteSpec, rng *rand.Rand) []Fault {
		fs := constantOrders(s, rng, marathonStart, marathonEnd)
		for at := marathonStart + sec; at < marathonEnd-5*sec; at += time.Duration(2000+rng.IntN(2500)) * ms {
			for range faultsAtOnce {
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
		return newFault(pickOne(rng, kinds.onCore...), at, lasts, AnyCore)
	case 2:
		return newFault(pickOne(rng, kinds.onNodes...), at, lasts, pickSome(rng, nodeNames(s.Shape)[len(diskNodes(s)):], 1+rng.IntN(2))...)
	case 3:
		return newFault(pickOne(rng, kinds.onReplicas...), at, lasts, s.Services[rng.IntN(len(s.Services))].Name)
	}
	f := newFault(pickOne(rng, kinds.plain...), at, min(lasts, 6*sec))
	switch f.Kind {
	case EvacuateFault:
		f.On = pickSome(rng, s.Shape.Zones, 1)
	case CorruptResponses:
		f.On = []string{pickOne(rng, "cut", "reset", "late", "junk", "silent", "surplus")}
	}
	return f
}
