package sim

import (
	"slices"
	"time"
)

// Kinds of fault of a site's control plane. Fault.On has names of machines, or AnyCore or AllCore.
const (
	// PartitionCore, PartitionCoreOut and PartitionCoreIn partition core machines from other core machines: both ways, only what they send, only
	// what they receive.
	PartitionCore    = "core cut"
	PartitionCoreOut = "core cut, sends nothing"
	PartitionCoreIn  = "core cut, gets nothing"
	// PartitionIn blocks what machines receive from all other nodes; PartitionOneWay blocks what they send.
	PartitionIn = "cut, gets nothing"
	// StaleDisk restarts machines with their disks as they were For before.
	StaleDisk = "disk restored from before"
	// ReplaceMachine starts an empty machine and, after For, permanently stops the machine that it replaces.
	ReplaceMachine = "planned replacement"
	// ReplicaFreeze freezes replicas of a service, which then go on with the data that arrived in the meantime.
	ReplicaFreeze = "replica freezes"
	// LoseAcks loses a share of the responses to operators, or all of them for On "all".
	LoseAcks = "acknowledgements are lost"
	// RapidChanges sends ten changes per second, with up to maxInFlight of them unsettled.
	RapidChanges = "rapid changes"
	// SameRevision makes pairs of operators use one revision number for different changes.
	SameRevision = "one number twice"
	// ResendChanges sends acknowledged changes again.
	ResendChanges = "taken changes sent again"
	// ReadConfig reads the configuration from nodes all the time.
	ReadConfig = "configuration is read"
	// EvacuateRepeatedly evacuates a zone and ends the evacuation again and again.
	EvacuateRepeatedly = "evacuated by turns"
	// AnyCore is replaced by the name of one random core machine, AllCore by the names of as many as may still be lost.
	AnyCore = "any core machine"
	AllCore = "as many core machines as may be lost"
)

// coreFaultRetry is the delay after which a fault that would exceed the fault tolerance is tried again.
const coreFaultRetry = 200 * time.Millisecond

// isCore reports whether a machine belongs to the core, whose losses are bounded.
func (n *Node) isCore() bool { return n.Disk != nil && !n.removed }

// countsAsLost reports whether a machine counts as lost: it is down, disturbed, or not back for Bounds.CatchUp yet.
func (s *site) countsAsLost(n *Node) bool {
	if !n.Alive || n.frozen {
		return true
	}
	now := s.w.Now
	return slices.ContainsFunc(s.rules.faults, func(t *fault) bool {
		return t.node == n.Name && t.from <= now && t.until+s.spec.Bounds.CatchUp > now
	})
}

// coreMachines returns the number of core machines that are lost now, and the names of the others.
func (s *site) coreMachines() (int, []string) {
	lost := 0
	var healthy []string
	for _, n := range s.w.Nodes {
		switch {
		case !n.isCore():
		case s.countsAsLost(n):
			lost++
		default:
			healthy = append(healthy, n.Name)
		}
	}
	return lost, healthy
}

// deferCoreFault chooses the machines of a fault on AnyCore or AllCore. If the site tolerates no further loss of core machines, it schedules the
// fault anew and returns true.
func (s *site) deferCoreFault(f *Fault) bool {
	if len(f.On) != 1 || f.On[0] != AnyCore && f.On[0] != AllCore {
		return false
	}
	lost, candidates := s.coreMachines()
	headroom := s.spec.FaultTolerance - lost
	if headroom <= 0 || len(candidates) == 0 {
		later := *f
		s.w.After(coreFaultRetry, func() { s.inject(later) })
		return true
	}
	if f.On[0] == AnyCore {
		headroom = 1
	}
	f.On = pickSome(s.rng, candidates, headroom)
	s.w.Tracef("fault %s affects %v", f.Kind, f.On)
	return false
}

// partitionLinks partitions machines from all nodes or only from core machines, one way or both ways.
func (s *site) partitionLinks(f Fault, ns []*Node) {
	s.rules.recordFault(ns, f.For, false, false)
	coreOnly := f.Kind == PartitionCore || f.Kind == PartitionCoreOut || f.Kind == PartitionCoreIn
	outward, inward := f.Kind != PartitionCoreIn && f.Kind != PartitionIn, f.Kind != PartitionCoreOut && f.Kind != PartitionOneWay
	in := func(addr string) bool { return slices.ContainsFunc(ns, func(n *Node) bool { return n.Addr == addr }) }
	isPeer := func(addr string) bool {
		n := s.w.nodesByAddr[addr]
		return n != nil && !in(addr) && (!coreOnly || n.Disk != nil)
	}
	heal := s.w.Net.Partition(func(from, to string) bool {
		return outward && in(from) && isPeer(to) || inward && isPeer(from) && in(to)
	})
	s.w.After(f.For, heal)
}

// restoreOrReplace restarts machines with an earlier state of their disks, or replaces them by empty ones.
func (s *site) restoreOrReplace(f Fault, ns []*Node) {
	for _, n := range ns {
		if f.Kind == ReplaceMachine {
			s.replaceWithOverlap(n, f.For)
			continue
		}
		s.restoreDisk(n, f.For)
	}
}

// restoreDisk copies a disk and restarts the machine from the copy after d.
func (s *site) restoreDisk(n *Node, d time.Duration) {
	old := n.Disk.SyncedCopy()
	s.w.After(d, func() { s.restartFromDisk(n, func() { n.Disk.Restore(old) }) })
}

// restartFromDisk kills a machine and starts it again with a restored disk. It waits while the site tolerates no further loss of core machines.
func (s *site) restartFromDisk(n *Node, restore func()) {
	if !n.Alive || n.removed {
		return
	}
	if lost, _ := s.coreMachines(); lost >= s.spec.FaultTolerance {
		s.w.After(coreFaultRetry, func() { s.restartFromDisk(n, restore) })
		return
	}
	s.rules.recordFault([]*Node{n}, time.Second, false, false)
	n.kill()
	n.Disk.PowerLoss()
	restore()
	s.w.After(time.Second, func() { s.start(n) })
}

// replaceWithOverlap starts a machine that replaces another, which is shut down in order after d.
func (s *site) replaceWithOverlap(old *Node, d time.Duration) {
	if old.removed || !old.Alive {
		return
	}
	added := s.successor(old)
	s.start(added)
	s.updateSeeds(old, added, 0)
	s.w.After(d, func() {
		old.removed = true
		s.rollingRestart([]*Node{old})
	})
}

// freezeReplica freezes a replica. Connections on which data waits for longer than tcpUserTimeout break.
func (s *site) freezeReplica(i *Instance, d time.Duration) {
	for _, k := range i.sockets {
		k.markReplicaFailed()
	}
	i.unreachable = true
	s.w.After(d, func() { i.unreachable = false })
}

// applyOperatorFault starts a fault of the operators' requests or of the responses to them.
func (o *operators) applyOperatorFault(f Fault) {
	now := o.s.w.Now
	until := now + f.For
	switch f.Kind {
	case LoseAcks:
		l := ackLoss{window: window{from: now, until: until}, ratio: ackLossRatio}
		if slices.Contains(f.On, "all") {
			l.ratio = 1
		}
		o.ackLosses = append(o.ackLosses, l)
	case RapidChanges:
		o.changeRapidly(until, 100*time.Millisecond, 0)
	case SameRevision:
		o.sendSameRevision(int(f.For/time.Second), time.Second)
	case ResendChanges:
		o.resendRepeatedly(until, 300*time.Millisecond)
	case ReadConfig:
		o.readRepeatedly(until, 50*time.Millisecond)
	case EvacuateRepeatedly:
		for _, zone := range f.On {
			o.evacuateRepeatedly(zone, until, false)
		}
	}
}
