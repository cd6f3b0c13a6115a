package control

import (
	"time"

	"github.com/mallowbridge/mallowbridge"
)

type SightState uint8

const (
	Shut SightState = iota + 1
	Down
	Up
)

// Sighted tells what this node's own idle connection to a replica saw: that it was shut, that nobody listens, or who answers.
type Sighted struct {
	State SightState
	Probed
}

func (Sighted) in() {}

const (
	askAnew = 500 * time.Millisecond
	hearsay = time.Second
)

type sight struct {
	state    SightState
	instance string
	since    time.Duration
	at       time.Duration
	asked    time.Duration
}

func (n *Node) sighted(now time.Duration, i Sighted) {
	s := n.sights[i.Replica]
	if s == nil {
		s = &sight{}
		n.sights[i.Replica] = s
	}
	was := s.state
	s.state, s.at = i.State, now
	switch i.State {
	case Shut:
		n.event(mallowbridge.ReplicaSuspect{Replica: i.Replica})
	case Down:
		if was != Down {
			n.event(mallowbridge.LoadReport{Replica: i.Replica, Down: true})
		}
	case Up:
		n.firsthand(now, s, i.Probed)
	}
}

func (n *Node) firsthand(now time.Duration, s *sight, p Probed) {
	if s.instance != p.InstanceID {
		s.instance, s.since = p.InstanceID, now
		if w := n.tasks.replicas[p.Replica]; w != nil && w.row.InstanceID == p.InstanceID {
			s.since = w.since
		}
	}
	n.event(mallowbridge.LoadReport{
		Replica: p.Replica, InstanceID: p.InstanceID, Running: p.Running, Leaving: p.Leaving, Own: true, Lag: p.Lag, Age: now - s.since,
	})
}

// believes sets what was heard of a replica against what this node sees itself, and looks again where they differ.
func (n *Node) believes(now time.Duration, r mallowbridge.LoadReport) (yes bool) {
	s := n.sights[r.Replica]
	if s == nil || s.state == 0 {
		return true
	}
	same := !r.Down && s.instance == r.InstanceID
	if s.state != Up {
		if !r.Down && now-s.asked > askAnew {
			s.asked = now
			n.out.Looks = append(n.out.Looks, r.Replica)
		}
		return !same || now-s.at > hearsay
	}
	if same {
		s.since = min(s.since, now-r.Age)
		return true
	}
	if now-s.asked > askAnew {
		s.asked = now
		if addr := n.where[r.Replica].Addr; addr != "" {
			n.out.Probes = append(n.out.Probes, Probe{Replica: r.Replica, Addr: addr, Own: true})
		}
	}
	return false
}
