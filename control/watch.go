package control

import (
	"time"

	"github.com/mallowbridge/mallowbridge"
)

// ConnectionState is what became of a node's own idle connection to a replica.
type ConnectionState uint8

const (
	// Closed says that the replica closed the connection.
	Closed ConnectionState = iota + 1
	// Down says that nobody listens at the replica's address.
	Down
	// Up says that the replica answered.
	Up
)

// Observation reports a change of this node's own idle connection to a replica.
type Observation struct {
	State ConnectionState
	Probed
}

func (Observation) in() {}

const (
	// localProbeRetry is the least time between two checks of one replica that other nodes report on differently.
	localProbeRetry = 500 * time.Millisecond
	// localObservationTTL is how long an own observation that a replica is down outweighs what other nodes report.
	localObservationTTL = time.Second
)

// observed is the last own observation of a replica.
type observed struct {
	state    ConnectionState
	instance string
	since    time.Duration
	at       time.Duration
	asked    time.Duration
}

func (n *Node) observe(now time.Duration, i Observation) {
	s := n.observations[i.Replica]
	if s == nil {
		s = &observed{}
		n.observations[i.Replica] = s
	}
	was := s.state
	s.state, s.at = i.State, now
	switch i.State {
	case Closed:
		n.emit(mallowbridge.ReplicaSuspect{Replica: i.Replica})
	case Down:
		if was != Down {
			n.emit(mallowbridge.LoadReport{Replica: i.Replica, Down: true})
		}
	case Up:
		n.observeInstance(now, s, i.Probed)
	}
}

func (n *Node) observeInstance(now time.Duration, s *observed, p Probed) {
	if s.instance != p.InstanceID {
		s.instance, s.since = p.InstanceID, now
		if w := n.tasks.replicas[p.Replica]; w != nil && w.row.InstanceID == p.InstanceID {
			s.since = w.since
		}
	}
	n.emit(mallowbridge.LoadReport{
		Replica: p.Replica, InstanceID: p.InstanceID, Running: p.Running, Leaving: p.Draining, Own: true, Lag: p.Lag, Age: now - s.since,
	})
}

// acceptsReport compares another node's report on a replica with this node's own observation, and checks the replica again where they
// differ.
func (n *Node) acceptsReport(now time.Duration, r mallowbridge.LoadReport) bool {
	s := n.observations[r.Replica]
	if s == nil || s.state == 0 {
		return true
	}
	same := !r.Down && s.instance == r.InstanceID
	if s.state != Up {
		if !r.Down && now-s.asked > localProbeRetry {
			s.asked = now
			n.out.Looks = append(n.out.Looks, r.Replica)
		}
		return !same || now-s.at > localObservationTTL
	}
	if same {
		s.since = min(s.since, now-r.Age)
		return true
	}
	if now-s.asked > localProbeRetry {
		s.asked = now
		if addr := n.replicasByName[r.Replica].Addr; addr != "" {
			n.out.Probes = append(n.out.Probes, Probe{Replica: r.Replica, Addr: addr, Local: true})
		}
	}
	return false
}
