package sim

import (
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/control"
)

// Fault is one thing that goes wrong at the time At, on the nodes, replicas or zones named, for that long; a negative For means for good.
type Fault struct {
	At       time.Duration `json:"at"`
	Kind     string        `json:"kind"`
	On       []string      `json:"on"`
	For      time.Duration `json:"for"`
	Document []byte        `json:"-"`
}

// Classes of fault.
const (
	Kill                = "kill"
	Power               = "power"
	Freeze              = "freeze"
	PartitionNode       = "cut"
	PartitionOneWay     = "cut one way"
	PartitionZone       = "cut domain"
	SplitCore           = "split core"
	WipeDisk            = "wipe"
	Relocate            = "move"
	SlowDisk            = "slow disk"
	StallDisk           = "stall disk"
	FullDisk            = "full disk"
	BadDisk             = "bad disk"
	ReplicaCrash        = "replica crash"
	ReplicaUnreachable  = "replica dark"
	Release             = "release"
	EvacuateFault       = "empty"
	PutStorm            = "put storm"
	ConcurrentPuts      = "race"
	SwapVoters          = "swap voters"
	AllPowerOff         = "all down"
	LargePuts           = "large puts"
	ReplicaCorrupt      = "replica twists"
	ReplicaFailing      = "replica breaks each answer"
	ReplicaRestart      = "replica restarts at once"
	PartitionControl    = "cut domain from other nodes"
	ClockBack           = "clock set back"
	FreezeInVoterChange = "freeze in an act"
	UnreliableLists     = "lists"
	Upgrade             = "upgrade"
)

func (w *World) nodes(names []string) []*Node {
	var ns []*Node
	for _, name := range names {
		if n := w.Node(name); n != nil {
			ns = append(ns, n)
		}
	}
	return ns
}

func (w *World) inDomain(zone string) []string {
	var names []string
	for _, n := range w.Nodes {
		if n.Zone == zone {
			names = append(names, n.Name)
		}
	}
	return names
}

// Inject lets a fault strike now.
func (w *World) Inject(f Fault) {
	w.Tracef("fault %s %v for %s", f.Kind, f.On, f.For)
	if w.site != nil {
		w.site.strike(f)
		return
	}
	ns := w.nodes(f.On)
	switch f.Kind {
	case Kill, Power, WipeDisk, Relocate, AllPowerOff, ClockBack:
		w.down(f, ns)
	case Freeze:
		for _, n := range ns {
			incarnation := n.incarnation
			n.freeze()
			w.After(f.For, func() {
				if n.incarnation == incarnation {
					n.thaw()
				}
			})
		}
	case PartitionNode:
		w.isolate(ns, f.For, true, false)
	case PartitionOneWay:
		w.isolate(ns, f.For, false, false)
	case PartitionZone, PartitionControl:
		w.isolate(w.nodes(w.inDomain(f.On[0])), f.For, true, f.Kind == PartitionZone, f.On[0])
	case FreezeInVoterChange:
		w.trap = func(n *Node, what control.ChangeKind) {
			if what == control.ChangeVotersBegun {
				w.trap = nil
				w.Inject(Fault{Kind: Freeze, On: []string{n.Name}, For: f.For})
			}
		}
	case SplitCore:
		w.split(ns, f.For)
	case SlowDisk, StallDisk, FullDisk, BadDisk:
		w.ail(f, ns)
	case ReplicaCrash, ReplicaUnreachable, ReplicaCorrupt, ReplicaRestart, ReplicaFailing:
		w.breakReplicas(f)
	case Upgrade:
		w.upgrade(ns)
	case Release:
		w.release(f.On, 3*time.Second)
	default:
		w.order(f, ns)
	}
}

func (w *World) down(f Fault, ns []*Node) {
	if f.Kind == AllPowerOff {
		ns = w.Nodes
	}
	for _, n := range ns {
		n.kill()
		n.loseDisk(f.Kind)
		n.stall, n.slow = false, 0
		switch f.Kind {
		case ClockBack:
			n.wall = -w.Now - f.For
		case Relocate:
			delete(w.byAddr, n.Addr)
			n.Addr += "9"
			w.byAddr[n.Addr] = n
		}
		if f.For >= 0 {
			w.After(f.For, func() { n.start() })
		}
	}
}

// loseDisk has a fault do to the disk of a node whose process was killed what it does: all but a kill lose what was not synced.
func (n *Node) loseDisk(kind string) {
	if n.Disk == nil || kind == Kill {
		return
	}
	n.Disk.PowerLoss()
	if kind == WipeDisk || kind == Relocate {
		n.Disk.Wipe()
	}
}

func (w *World) isolate(ns []*Node, d time.Duration, both, replicas bool, zone ...string) {
	in := func(addr string) bool {
		if len(addr) > 4 && addr[:4] == "rep/" {
			return len(zone) > 0 && w.replicasByName[addr[4:]].Zone == zone[0]
		}
		return slices.ContainsFunc(ns, func(n *Node) bool { return n.Addr == addr })
	}
	replica := func(addr string) bool { return len(addr) > 4 && addr[:4] == "rep/" }
	heal := w.Net.Partition(func(from, to string) bool {
		if !replicas && (replica(from) || replica(to)) {
			return false
		}
		a, b := in(from), in(to)
		return a != b && (both || a)
	})
	if len(zone) > 0 {
		w.Audit.partitions = append(w.Audit.partitions, partitionSpan{zone: zone[0], from: w.Now, until: w.Now + d})
	}
	w.After(d, func() {
		w.Tracef("cut heals")
		heal()
	})
}

func (w *World) split(ns []*Node, d time.Duration) {
	in := func(addr string) bool {
		return slices.ContainsFunc(ns, func(n *Node) bool { return n.Addr == addr })
	}
	heal := w.Net.Partition(func(from, to string) bool { return in(from) && in(to) })
	w.After(d, heal)
}

func (w *World) ail(f Fault, ns []*Node) {
	for _, n := range ns {
		if n.Disk == nil {
			continue
		}
		switch f.Kind {
		case SlowDisk:
			n.slow = 400 * time.Millisecond
		case StallDisk:
			n.stall = true
		case FullDisk:
			n.Disk.Full = true
		case BadDisk:
			n.Disk.FailSync = true
		}
		w.After(f.For, func() {
			n.slow, n.stall = 0, false
			n.Disk.Full, n.Disk.FailSync = false, false
			if f.Kind == FullDisk || f.Kind == BadDisk {
				n.kill()
				n.start()
				return
			}
			if n.Alive {
				n.save()
			}
		})
	}
}

func (w *World) breakReplicas(f Fault) {
	for _, name := range f.On {
		w.replicasByName[name].breakDown(f)
	}
}

// breakDown has a fault strike the replica, and end.
func (r *FleetReplica) breakDown(f Fault) {
	w := r.w
	restart := func() { r.start(w.Now) }
	switch f.Kind {
	case ReplicaFailing:
		r.Failing = true
		w.After(f.For, func() { r.Failing = false })
	case ReplicaCorrupt:
		r.CorruptOneIn = 40
		w.After(f.For, func() { r.CorruptOneIn = 0 })
	case ReplicaUnreachable:
		r.Unreachable = true
		w.After(f.For, func() {
			r.Unreachable = false
			r.crash()
			w.After(2*time.Second, restart)
		})
	case ReplicaRestart:
		r.crash()
		w.After(30*time.Millisecond, restart)
	default:
		r.crash()
		if f.For >= 0 {
			w.After(f.For, restart)
		}
	}
}
