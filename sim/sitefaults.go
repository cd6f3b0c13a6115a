package sim

import (
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/sim/shape"
)

// Troubles of a site beyond those of any fleet. On names nodes, zones or classes, or begins with the share of replicas.
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

func (s *site) strike(f Fault) {
	if s.waits(&f) {
		return
	}
	ns := s.w.nodes(f.On)
	switch f.Kind {
	case Kill, Power, WipeDisk, ClockBack, AllPowerOff:
		s.stopMachines(f, ns)
	case Relocate:
		for _, n := range ns {
			s.replace(n, f.For)
		}
	case Freeze:
		s.freezeMachines(ns, f.For)
	case PartitionNode, PartitionControl:
		s.isolate(ns, f.For, f.Kind == PartitionNode)
	case SplitCore:
		s.rules.recordFault(ns, f.For, false, 2*len(ns) > 3)
		s.w.split(ns, f.For)
	case SlowDisk, StallDisk, FullDisk:
		s.harmDisks(f, ns)
	case Upgrade:
		s.rollingRestart(ns)
	case PartitionCore, PartitionCoreOut, PartitionCoreIn, PartitionOneWay, PartitionIn:
		s.partitionLinks(f, ns)
	case StaleDisk, ReplaceMachine:
		s.comeBack(f, ns)
	case ListUnavailable:
		s.downs = append(s.downs, window{from: s.w.Now, until: s.w.Now + f.For})
	default:
		if !s.giveOrders(f) {
			s.injectTrafficFault(f)
		}
	}
}

// giveOrders has the operators do what the fault says; false where it isn't theirs.
func (s *site) giveOrders(f Fault) bool {
	now := s.w.Now
	switch f.Kind {
	case EvacuateFault:
		for _, zone := range f.On {
			s.ops.evacuate(zone, false)
			s.w.After(f.For, func() { s.ops.evacuate(zone, true) })
		}
	case PutStorm:
		s.ops.change(now+f.For, 330*time.Millisecond, s.ops.vary)
	case ChangeConfig:
		s.ops.change(now+1, time.Second, s.ops.vary)
	case LargePuts:
		s.ops.change(now+1, time.Second, s.ops.grow)
	case ConcurrentPuts:
		s.ops.race(3, 1200*time.Millisecond)
	case InvalidPuts:
		s.ops.flawed()
	case LoseAcks, RapidChanges, SameRevision, ResendChanges, ReadConfig, EvacuateRepeatedly:
		s.ops.press(f)
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

// slowSync is how long a slow disk takes for a sync.
const slowSync = 50 * time.Millisecond

func (s *site) harmDisks(f Fault, ns []*Node) {
	ns = slices.DeleteFunc(ns, func(n *Node) bool { return n.Disk == nil })
	s.rules.recordFault(ns, f.For, false, true)
	for _, n := range ns {
		n.slow, n.stall, n.Disk.Full = 0, f.Kind == StallDisk, f.Kind == FullDisk
		if f.Kind == SlowDisk {
			n.slow = slowSync
		}
		s.w.After(f.For, func() {
			n.slow, n.stall, n.Disk.Full = 0, false, false
			if n.Alive {
				n.save()
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
		n.dark = f.Kind == Power || f.Kind == AllPowerOff
		n.kill()
		if f.Kind == ClockBack {
			n.wall = -s.w.Now - f.For
		}
		if n.Disk != nil && f.Kind != Kill && f.Kind != ClockBack {
			n.Disk.PowerLoss()
		}
		if n.Disk != nil && f.Kind == WipeDisk {
			n.Disk.Wipe()
		}
		n.stall, n.slow = false, 0
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

// replace puts an empty machine at another address in the place of one, and tells the nodes the new seeds some time later.
func (s *site) replace(old *Node, d time.Duration) {
	w := s.w
	if old.removed {
		return
	}
	s.rules.recordFault([]*Node{old}, -1, false, false)
	old.kill()
	old.removed = true
	successor := s.successor(old)
	w.After(d, func() { s.start(successor) })
	s.renewSeeds(old, successor, d)
}

// successor is an empty machine at another address, not started yet.
func (s *site) successor(old *Node) *Node {
	w := s.w
	added := newNode(w, len(w.Nodes), shape.Node{Name: old.Name + "b", Zone: old.Zone, Disk: old.Disk != nil})
	added.wall = 0
	w.Nodes = append(w.Nodes, added)
	return added
}

// renewSeeds tells the nodes the address of a successor some time after its start.
func (s *site) renewSeeds(old, added *Node, d time.Duration) {
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

// isolate cuts machines off from all other nodes, and from replicas and the platform where whole.
func (s *site) isolate(ns []*Node, d time.Duration, complete bool) {
	s.rules.recordFault(ns, d, false, false)
	in := func(addr string) bool { return slices.ContainsFunc(ns, func(n *Node) bool { return n.Addr == addr }) }
	heal := s.w.Net.Partition(func(from, to string) bool {
		a, b := in(from), in(to)
		if !complete && (s.w.byAddr[from] == nil || s.w.byAddr[to] == nil) {
			return false
		}
		return a || b
	})
	s.w.After(d, heal)
}

const stopGap = 1300 * time.Millisecond

// rollingRestart stops nodes with a warning, one after the other, as the process drains, and starts each again.
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
	w.Tracef("%s is told to stop", n.Name)
	s.rules.recordFault([]*Node{n}, grace+time.Second, true, false)
	n.shuttingDown, n.shutdownAt = true, w.Now
	w.Call(n, control.Retire{}, func(control.Answer) {})
	left := false
	var look func()
	look = func() {
		switch {
		case n.incarnation != incarnation:
			return
		case w.Now-from > schedule.ExitAfter(), left && len(n.requests) == 0:
			n.kill()
			if !n.removed {
				w.After(300*time.Millisecond, n.start)
			}
			w.After(stopGap, func() { s.rollingRestart(ns[1:]) })
			return
		case !left && w.Now-from > schedule.LeaveAfter():
			left = true
			w.Call(n, control.Leave{}, func(control.Answer) {})
		}
		w.After(50*time.Millisecond, look)
	}
	look()
}
