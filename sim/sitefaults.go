package sim

import (
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/sim/shape"
)

// Kinds of fault that only sites have. Fault.On has names of nodes, zones, services or request classes, or of a kind of response corruption.
const (
	BurstFault       = "burst"
	HotKey           = "hot key"
	ScaleIn          = "scale in"
	ScaleOut         = "scale out"
	CorruptResponses = "garble"
	InvalidPuts      = "flawed puts"
	ListUnavailable  = "list is down"
	ChangeConfig     = "change"
)

// inject starts a fault now, or later if too many core machines are lost.
func (s *site) inject(f Fault) {
	if s.deferCoreFault(&f) {
		return
	}
	ns := s.w.nodesNamed(f.On)
	switch f.Kind {
	case Kill, Power, WipeDisk, ClockBack, AllPowerOff:
		s.stopMachines(f, ns)
	case Relocate:
		for _, n := range ns {
			s.replaceMachine(n, f.For)
		}
	case Freeze:
		s.freezeMachines(ns, f.For)
	case PartitionNode, PartitionControl:
		s.isolateMachines(ns, f.For, f.Kind == PartitionNode)
	case SplitCore:
		s.rules.recordFault(ns, f.For, false, 2*len(ns) > 3)
		s.w.partitionAmong(ns, f.For)
	case SlowDisk, StallDisk, FullDisk:
		s.failDisks(f, ns)
	case Upgrade:
		s.rollingRestart(ns)
	case PartitionCore, PartitionCoreOut, PartitionCoreIn, PartitionOneWay, PartitionIn:
		s.partitionLinks(f, ns)
	case StaleDisk, ReplaceMachine:
		s.restoreOrReplace(f, ns)
	case ListUnavailable:
		s.listOutages = append(s.listOutages, window{from: s.w.Now, until: s.w.Now + f.For})
	default:
		if !s.injectOrderFault(f) {
			s.injectTrafficFault(f)
		}
	}
}

// injectOrderFault starts a fault that consists of operator requests or concerns them. It returns false for faults of other kinds.
func (s *site) injectOrderFault(f Fault) bool {
	now := s.w.Now
	switch f.Kind {
	case EvacuateFault:
		for _, zone := range f.On {
			s.operators.evacuate(zone, false)
			s.w.After(f.For, func() { s.operators.evacuate(zone, true) })
		}
	case PutStorm:
		s.operators.changeRepeatedly(now+f.For, 330*time.Millisecond, s.operators.varyRoutes)
	case ChangeConfig:
		s.operators.changeRepeatedly(now+1, time.Second, s.operators.varyRoutes)
	case LargePuts:
		s.operators.changeRepeatedly(now+1, time.Second, s.operators.addRoutes)
	case ConcurrentPuts:
		s.operators.changeConcurrently(3, 1200*time.Millisecond)
	case InvalidPuts:
		s.operators.sendInvalid()
	case LoseAcks, RapidChanges, SameRevision, ResendChanges, ReadConfig, EvacuateRepeatedly:
		s.operators.applyOperatorFault(f)
	default:
		return false
	}
	return true
}

func (s *site) freezeMachines(ns []*Node, d time.Duration) {
	s.rules.recordFault(ns, d, false, false)
	for _, n := range ns {
		incarnation := n.incarnation
		n.freeze()
		s.w.After(d, func() {
			if n.incarnation == incarnation {
				n.thaw()
			}
		})
	}
}

// slowSyncDelay is the extra time that a slow disk takes for a sync.
const slowSyncDelay = 50 * time.Millisecond

func (s *site) failDisks(f Fault, ns []*Node) {
	ns = slices.DeleteFunc(ns, func(n *Node) bool { return n.Disk == nil })
	s.rules.recordFault(ns, f.For, false, true)
	for _, n := range ns {
		n.syncDelay, n.diskStalled, n.Disk.Full = 0, f.Kind == StallDisk, f.Kind == FullDisk
		if f.Kind == SlowDisk {
			n.syncDelay = slowSyncDelay
		}
		s.w.After(f.For, func() {
			n.syncDelay, n.diskStalled, n.Disk.Full = 0, false, false
			if n.Alive {
				n.writeJournal()
			}
		})
	}
}

func (s *site) stopMachines(f Fault, ns []*Node) {
	if f.Kind == AllPowerOff {
		ns = s.w.Nodes
	}
	s.rules.recordFault(ns, f.For, false, false)
	for _, n := range ns {
		n.poweredOff = f.Kind == Power || f.Kind == AllPowerOff
		n.kill()
		if f.Kind == ClockBack {
			n.wallOffset = -s.w.Now - f.For
		}
		if n.Disk != nil && f.Kind != Kill && f.Kind != ClockBack {
			n.Disk.PowerLoss()
		}
		if n.Disk != nil && f.Kind == WipeDisk {
			n.Disk.Wipe()
		}
		n.diskStalled, n.syncDelay = false, 0
		if f.For >= 0 {
			s.w.After(f.For+time.Duration(s.w.rng.Int64N(int64(300*time.Millisecond))), func() { s.start(n) })
		}
	}
}

func (s *site) start(n *Node) {
	if n.removed || n.Alive {
		return
	}
	s.rules.recordFault([]*Node{n}, 0, false, false)
	n.start()
}

// replaceMachine replaces a machine by an empty one at another address, which starts after d, and then updates the seeds.
func (s *site) replaceMachine(old *Node, d time.Duration) {
	w := s.w
	if old.removed {
		return
	}
	s.rules.recordFault([]*Node{old}, -1, false, false)
	old.kill()
	old.removed = true
	successor := s.successor(old)
	w.After(d, func() { s.start(successor) })
	s.updateSeeds(old, successor, d)
}

// successor adds an empty machine at another address, which is not started yet.
func (s *site) successor(old *Node) *Node {
	w := s.w
	added := newNode(w, len(w.Nodes), shape.Node{Name: old.Name + "b", Zone: old.Zone, Disk: old.Disk != nil})
	added.wallOffset = 0
	w.Nodes = append(w.Nodes, added)
	return added
}

// updateSeeds passes the seeds with the address of a successor to all nodes, seedLag after the successor's start, which is after d.
func (s *site) updateSeeds(old, added *Node, d time.Duration) {
	w := s.w
	w.After(d+seedLag, func() {
		for i, a := range s.seeds {
			if a == old.Addr {
				s.seeds[i] = added.Addr
			}
		}
		for _, n := range w.Nodes {
			if n.Alive {
				w.Call(n, control.SetSeeds{Addrs: slices.Clone(s.seeds)}, func(control.Answer) {})
			}
		}
	})
}

// isolateMachines partitions machines from all other nodes, and with complete set also from replicas and the platform.
func (s *site) isolateMachines(ns []*Node, d time.Duration, complete bool) {
	s.rules.recordFault(ns, d, false, false)
	in := func(addr string) bool { return slices.ContainsFunc(ns, func(n *Node) bool { return n.Addr == addr }) }
	heal := s.w.Net.Partition(func(from, to string) bool {
		fromInside, toInside := in(from), in(to)
		if !complete && (s.w.nodesByAddr[from] == nil || s.w.nodesByAddr[to] == nil) {
			return false
		}
		return fromInside || toInside
	})
	s.w.After(d, heal)
}

// restartPause is the time between two nodes of a rolling restart.
const restartPause = 1300 * time.Millisecond

// rollingRestart stops one node after the other with the shutdown sequence of a real process, and starts each again.
func (s *site) rollingRestart(ns []*Node) {
	if len(ns) == 0 {
		return
	}
	n, w := ns[0], s.w
	if !n.Alive {
		s.rollingRestart(ns[1:])
		return
	}
	from, incarnation := w.Now, n.incarnation
	w.Tracef("%s starts to shut down", n.Name)
	s.rules.recordFault([]*Node{n}, shutdownGrace+time.Second, true, false)
	n.shuttingDown, n.shutdownAt = true, w.Now
	n.router.StopQueueing()
	w.Call(n, control.Retire{}, func(control.Answer) {})
	hasLeft := false
	var poll func()
	poll = func() {
		switch {
		case n.incarnation != incarnation:
			return
		case w.Now-from > shutdownSchedule.ExitAfter(), hasLeft && len(n.requests) == 0:
			n.kill()
			if !n.removed {
				w.After(300*time.Millisecond, n.start)
			}
			w.After(restartPause, func() { s.rollingRestart(ns[1:]) })
			return
		case !hasLeft && w.Now-from > shutdownSchedule.LeaveAfter():
			hasLeft = true
			w.Call(n, control.Leave{}, func(control.Answer) {})
		}
		w.After(50*time.Millisecond, poll)
	}
	poll()
}
