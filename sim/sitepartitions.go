package sim

import (
	"slices"
	"time"
)

// Troubles of the control side of a site. On names machines, or is AnyCore: machines with a disk, so many as may still be lost.
const (
	// PartitionCore, PartitionCoreOut and PartitionCoreIn cut machines with a disk off from the others with one: both ways, what they send, what they get.
	PartitionCore    = "core cut"
	PartitionCoreOut = "core cut, sends nothing"
	PartitionCoreIn  = "core cut, gets nothing"
	// PartitionIn cuts what machines get from all other nodes; PartitionOneWay is what they send.
	PartitionIn = "cut, gets nothing"
	// StaleDisk has machines come back with the disk that they had For before.
	StaleDisk = "disk restored from before"
	// ReplaceMachine starts an empty machine, and after For stops the one whose place it takes, for good.
	ReplaceMachine = "planned replacement"
	// ReplicaFreeze has replicas of a service stand still and then go on with what lay there.
	ReplicaFreeze = "replica freezes"
	// LoseAcks loses a share of the answers to operators, or all of them for On "all".
	LoseAcks = "acknowledgements are lost"
	// RapidChanges sends ten changes a second, up to eight under way.
	RapidChanges = "rapid changes"
	// SameRevision has pairs of operators use one number for different changes.
	SameRevision = "one number twice"
	// ResendChanges sends changes again that were acknowledged before.
	ResendChanges = "taken changes sent again"
	// ReadConfig asks nodes for the configuration all the time.
	ReadConfig = "configuration is read"
	// EvacuateRepeatedly evacuates a zone and takes that back by turns.
	EvacuateRepeatedly = "evacuated by turns"
	// AnyCore stands for a machine with a disk that may be lost, and AllCore for as many as may.
	AnyCore = "any core machine"
	AllCore = "as many core machines as may be lost"
)

const waitTurn = 200 * time.Millisecond

// isCore tells that a machine counts among those whose loss is bounded.
func (n *Node) isCore() bool { return n.Disk != nil && !n.removed }

// lostNow tells whether a machine counts as lost: down, disturbed, or not back for long enough.
func (s *site) lostNow(n *Node) bool {
	if !n.Alive || n.frozen {
		return true
	}
	now := s.w.Now
	return slices.ContainsFunc(s.rules.faults, func(t *fault) bool {
		return t.node == n.Name && t.from <= now && t.until+s.spec.Bounds.CatchUp > now
	})
}

// coreMachines counts the core machines that are lost now, and names the others.
func (s *site) coreMachines() (int, []string) {
	lost := 0
	var healthy []string
	for _, n := range s.w.Nodes {
		switch {
		case !n.isCore():
		case s.lostNow(n):
			lost++
		default:
			healthy = append(healthy, n.Name)
		}
	}
	return lost, healthy
}

// waits names the machines of a fault that strikes any of the core; where as many are lost as may be, it waits for its turn.
func (s *site) waits(f *Fault) bool {
	if len(f.On) != 1 || f.On[0] != AnyCore && f.On[0] != AllCore {
		return false
	}
	lost, fit := s.coreMachines()
	headroom := s.spec.FaultTolerance - lost
	if headroom <= 0 || len(fit) == 0 {
		later := *f
		s.w.After(waitTurn, func() { s.strike(later) })
		return true
	}
	if f.On[0] == AnyCore {
		headroom = 1
	}
	f.On = some(s.rng, fit, headroom)
	s.w.Tracef("fault %s strikes %v", f.Kind, f.On)
	return false
}

// partitionLinks cuts machines off from nodes, or from those with a disk alone, one way or both.
func (s *site) partitionLinks(f Fault, ns []*Node) {
	s.rules.recordFault(ns, f.For, false, false)
	core := f.Kind == PartitionCore || f.Kind == PartitionCoreOut || f.Kind == PartitionCoreIn
	outward, inward := f.Kind != PartitionCoreIn && f.Kind != PartitionIn, f.Kind != PartitionCoreOut && f.Kind != PartitionOneWay
	in := func(addr string) bool { return slices.ContainsFunc(ns, func(n *Node) bool { return n.Addr == addr }) }
	other := func(addr string) bool {
		n := s.w.byAddr[addr]
		return n != nil && !in(addr) && (!core || n.Disk != nil)
	}
	heal := s.w.Net.Partition(func(from, to string) bool {
		return outward && in(from) && other(to) || inward && other(from) && in(to)
	})
	s.w.After(f.For, heal)
}

// comeBack has machines return as what they were before, or an empty one in their place.
func (s *site) comeBack(f Fault, ns []*Node) {
	for _, n := range ns {
		if f.Kind == ReplaceMachine {
			s.retire(n, f.For)
			continue
		}
		s.restore(n, f.For)
	}
}

// restore takes a copy of a disk, and later starts the machine from it.
func (s *site) restore(n *Node, d time.Duration) {
	old := n.Disk.SyncedCopy()
	s.w.After(d, func() { s.putBack(n, func() { n.Disk.Restore(old) }) })
}

// putBack kills a machine and starts it again from a disk set back. Where as many core machines are lost by then as may be, it waits for
// its turn.
func (s *site) putBack(n *Node, restore func()) {
	if !n.Alive || n.removed {
		return
	}
	if lost, _ := s.coreMachines(); lost >= s.spec.FaultTolerance {
		s.w.After(waitTurn, func() { s.putBack(n, restore) })
		return
	}
	s.rules.recordFault([]*Node{n}, time.Second, false, false)
	n.kill()
	n.Disk.PowerLoss()
	restore()
	s.w.After(time.Second, func() { s.start(n) })
}

// retire starts the machine that takes another's place, and stops that one, with a warning, a while after.
func (s *site) retire(old *Node, d time.Duration) {
	if old.removed || !old.Alive {
		return
	}
	added := s.successor(old)
	s.start(added)
	s.renewSeeds(old, added, 0)
	s.w.After(d, func() {
		old.removed = true
		s.rollingRestart([]*Node{old})
	})
}

// freezeReplica has a replica stand still; connections on which it owes something for long break.
func (s *site) freezeReplica(i *Instance, d time.Duration) {
	for _, k := range i.sockets {
		k.harm()
	}
	i.dark = true
	s.w.After(d, func() { i.dark = false })
}

// press has operators press in one of the ways of a fault.
func (o *operators) press(f Fault) {
	now := o.s.w.Now
	until := now + f.For
	switch f.Kind {
	case LoseAcks:
		l := ackLoss{window: window{from: now, until: until}, ratio: lostRatio}
		if slices.Contains(f.On, "all") {
			l.ratio = 1
		}
		o.losses = append(o.losses, l)
	case RapidChanges:
		o.rapid(until, 100*time.Millisecond, 0)
	case SameRevision:
		o.sameNumber(int(f.For/time.Second), time.Second)
	case ResendChanges:
		o.repeats(until, 300*time.Millisecond)
	case ReadConfig:
		o.reads(until, 50*time.Millisecond)
	case EvacuateRepeatedly:
		for _, zone := range f.On {
			o.turns(zone, until, false)
		}
	}
}
