package sim

import (
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/control"
)

// Fault is one fault or other disturbance. It begins at At, lasts For, or to the end of the run if For is negative, and affects the nodes, replicas
// or zones named in On.
type Fault struct {
	At       time.Duration `json:"at"`
	Kind     string        `json:"kind"`
	On       []string      `json:"on"`
	For      time.Duration `json:"for"`
	Document []byte        `json:"-"`
}

// Kinds of fault.
const (
	// Kill ends processes, Freeze suspends them. Power, and AllPowerOff for all nodes, ends processes and loses unsynced data on their disks.
	Kill   = "kill"
	Power  = "power"
	Freeze = "freeze"
	// PartitionNode cuts nodes off from all others, on a site also from replicas and the platform. PartitionOneWay blocks only what nodes send to
	// others. PartitionZone cuts off a zone with its replicas, PartitionControl only nodes from nodes. SplitCore blocks messages among the
	// named nodes.
	PartitionNode   = "cut"
	PartitionOneWay = "cut one way"
	PartitionZone   = "cut domain"
	SplitCore       = "split core"
	// WipeDisk restarts machines with empty disks, Relocate with empty disks at other addresses.
	WipeDisk = "wipe"
	Relocate = "move"
	// SlowDisk delays syncs, StallDisk keeps them from completing; FullDisk fails writes, BadDisk syncs.
	SlowDisk     = "slow disk"
	StallDisk    = "stall disk"
	FullDisk     = "full disk"
	BadDisk      = "bad disk"
	ReplicaCrash = "replica crash"
	// ReplicaUnreachable stops all responses of replicas, which then restart.
	ReplicaUnreachable = "replica dark"
	// Release replaces replicas one after the other.
	Release       = "release"
	EvacuateFault = "empty"
	// PutStorm puts one configuration after the other, ConcurrentPuts several at a time, LargePuts those of the maximum size.
	PutStorm       = "put storm"
	ConcurrentPuts = "race"
	SwapVoters     = "swap voters"
	AllPowerOff    = "all down"
	LargePuts      = "large puts"
	// ReplicaCorrupt corrupts lines of responses, ReplicaFailing breaks off each response, ReplicaRestart restarts replicas within 30 ms.
	ReplicaCorrupt   = "replica twists"
	ReplicaFailing   = "replica breaks each answer"
	ReplicaRestart   = "replica restarts at once"
	PartitionControl = "cut domain from other nodes"
	// ClockBack restarts nodes with their wall clocks set back.
	ClockBack = "clock set back"
	// FreezeInVoterChange freezes the node that begins the next voter change.
	FreezeInVoterChange = "freeze in an act"
	// UnreliableLists makes the platform report replica states late, repeatedly and out of order.
	UnreliableLists = "lists"
	// Upgrade restarts nodes one after the other with the daemon's drain sequence.
	Upgrade = "upgrade"
)

func (w *World) nodesNamed(names []string) []*Node {
	var ns []*Node
	for _, name := range names {
		if n := w.Node(name); n != nil {
			ns = append(ns, n)
		}
	}
	return ns
}

func (w *World) nodeNamesInZone(zone string) []string {
	var names []string
	for _, n := range w.Nodes {
		if n.Zone == zone {
			names = append(names, n.Name)
		}
	}
	return names
}

// Inject starts a fault now.
func (w *World) Inject(f Fault) {
	w.Tracef("fault %s %v for %s", f.Kind, f.On, f.For)
	if w.site != nil {
		w.site.inject(f)
		return
	}
	ns := w.nodesNamed(f.On)
	switch f.Kind {
	case Kill, Power, WipeDisk, Relocate, AllPowerOff, ClockBack:
		w.stopNodes(f, ns)
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
		w.isolateNodes(ns, f.For, true, false)
	case PartitionOneWay:
		w.isolateNodes(ns, f.For, false, false)
	case PartitionZone, PartitionControl:
		w.isolateNodes(w.nodesNamed(w.nodeNamesInZone(f.On[0])), f.For, true, f.Kind == PartitionZone, f.On[0])
	case FreezeInVoterChange:
		w.onControlChange = func(n *Node, what control.ChangeKind) {
			if what == control.ChangeVotersBegun {
				w.onControlChange = nil
				w.Inject(Fault{Kind: Freeze, On: []string{n.Name}, For: f.For})
			}
		}
	case SplitCore:
		w.partitionAmong(ns, f.For)
	case SlowDisk, StallDisk, FullDisk, BadDisk:
		w.failDisks(f, ns)
	case ReplicaCrash, ReplicaUnreachable, ReplicaCorrupt, ReplicaRestart, ReplicaFailing:
		w.breakReplicas(f)
	case Upgrade:
		w.rollingUpgrade(ns)
	case Release:
		w.rollingRelease(f.On, 3*time.Second)
	default:
		w.injectOrderFault(f, ns)
	}
}

// stopNodes kills nodes, applies the fault to their disks and clocks, and starts them again when the fault ends.
func (w *World) stopNodes(fault Fault, ns []*Node) {
	if fault.Kind == AllPowerOff {
		ns = w.Nodes
	}
	for _, n := range ns {
		n.kill()
		n.loseDisk(fault.Kind)
		n.diskStalled, n.syncDelay = false, 0
		switch fault.Kind {
		case ClockBack:
			n.wallOffset = -w.Now - fault.For
		case Relocate:
			delete(w.nodesByAddr, n.Addr)
			n.Addr += "9"
			w.nodesByAddr[n.Addr] = n
		}
		if fault.For >= 0 {
			w.After(fault.For, func() { n.start() })
		}
	}
}

// loseDisk applies a fault to the disk of a node whose process was killed. All faults except a kill lose data that was not synced.
func (n *Node) loseDisk(kind string) {
	if n.Disk == nil || kind == Kill {
		return
	}
	n.Disk.PowerLoss()
	if kind == WipeDisk || kind == Relocate {
		n.Disk.Wipe()
	}
}

// isolateNodes partitions nodes from all others: both ways, or only what they send. withReplicas includes replicas on both sides of the
// partition. zone is given if the nodes are those of a zone; the audit then takes the partition into account.
func (w *World) isolateNodes(ns []*Node, duration time.Duration, bothWays, withReplicas bool, zone ...string) {
	in := func(addr string) bool {
		if len(addr) > 4 && addr[:4] == "rep/" {
			return len(zone) > 0 && w.replicasByName[addr[4:]].Zone == zone[0]
		}
		return slices.ContainsFunc(ns, func(n *Node) bool { return n.Addr == addr })
	}
	isReplica := func(addr string) bool { return len(addr) > 4 && addr[:4] == "rep/" }
	heal := w.Net.Partition(func(from, to string) bool {
		if !withReplicas && (isReplica(from) || isReplica(to)) {
			return false
		}
		fromInside, toInside := in(from), in(to)
		return fromInside != toInside && (bothWays || fromInside)
	})
	if len(zone) > 0 {
		w.Audit.partitions = append(w.Audit.partitions, partitionSpan{zone: zone[0], from: w.Now, until: w.Now + duration})
	}
	w.After(duration, func() {
		w.Tracef("partition heals")
		heal()
	})
}

// partitionAmong blocks all messages between the nodes, but not those to and from others.
func (w *World) partitionAmong(ns []*Node, d time.Duration) {
	in := func(addr string) bool {
		return slices.ContainsFunc(ns, func(n *Node) bool { return n.Addr == addr })
	}
	heal := w.Net.Partition(func(from, to string) bool { return in(from) && in(to) })
	w.After(d, heal)
}

// failDisks makes disks slow, stalled, full or failing; a node whose disk was full or failing is restarted at the end.
func (w *World) failDisks(f Fault, ns []*Node) {
	for _, n := range ns {
		if n.Disk == nil {
			continue
		}
		switch f.Kind {
		case SlowDisk:
			n.syncDelay = 400 * time.Millisecond
		case StallDisk:
			n.diskStalled = true
		case FullDisk:
			n.Disk.Full = true
		case BadDisk:
			n.Disk.FailSync = true
		}
		w.After(f.For, func() {
			n.syncDelay, n.diskStalled = 0, false
			n.Disk.Full, n.Disk.FailSync = false, false
			if f.Kind == FullDisk || f.Kind == BadDisk {
				n.kill()
				n.start()
				return
			}
			if n.Alive {
				n.writeJournal()
			}
		})
	}
}
