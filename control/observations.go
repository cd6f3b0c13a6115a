package control

import (
	"time"

	"github.com/mallowbridge/mallowbridge/router"
)

// ConnectionState is the state of a node's own idle connection to a replica.
type ConnectionState uint8

const (
	// ConnectionClosed means that the replica closed the connection.
	ConnectionClosed ConnectionState = iota + 1
	// ConnectionRefused means that nothing listens at the replica's address.
	ConnectionRefused
	// ConnectionUp means that the replica responded.
	ConnectionUp
)

// ConnectionChange reports a change of this node's own idle connection to a replica.
type ConnectionChange struct {
	State ConnectionState
	Probed
}

func (ConnectionChange) in() {}

const (
	// localProbeRetry is the minimum time between two checks of a replica on which this node's observation and other nodes' reports differ.
	localProbeRetry = 500 * time.Millisecond
	// localObservationTTL is how long this node's observation that a replica is down overrides other nodes' reports.
	localObservationTTL = time.Second
)

// observation is the last state of this node's own idle connection to a replica.
type observation struct {
	state ConnectionState
	// instance is the ID of the replica's last instance that responded.
	instance string
	// since is when that instance was first seen, by this node or in other nodes' reports.
	since time.Duration
	// at is the time of the last change of the connection.
	at          time.Duration
	recheckedAt time.Duration
}

// observe applies a change of this node's own connection to a replica. The router receives it before any report of another node.
func (h *healthChecks) observe(now time.Duration, change ConnectionChange) {
	seen := h.observations[change.Replica]
	if seen == nil {
		seen = &observation{}
		h.observations[change.Replica] = seen
	}
	before := seen.state
	seen.state, seen.at = change.State, now
	switch change.State {
	case ConnectionClosed:
		h.emit(router.ReplicaSuspect{Replica: change.Replica})
	case ConnectionRefused:
		if before != ConnectionRefused {
			h.emit(router.LoadReport{Replica: change.Replica, Down: true})
		}
	case ConnectionUp:
		h.observeInstance(now, seen, change.Probed)
	}
}

func (h *healthChecks) observeInstance(now time.Duration, seen *observation, p Probed) {
	if seen.instance != p.InstanceID {
		seen.instance, seen.since = p.InstanceID, now
		if record := h.replicas[p.Replica]; record != nil && record.row.InstanceID == p.InstanceID {
			seen.since = record.since
		}
	}
	h.emit(router.LoadReport{
		Replica: p.Replica, InstanceID: p.InstanceID, Running: p.Running, Leaving: p.Draining, Own: true, Lag: p.Lag, Age: now - seen.since,
	})
}

// accepts reports whether a report of another node agrees with, or overrides, this node's own observation of the replica. If they differ,
// the replica at addr is checked again.
func (h *healthChecks) accepts(now time.Duration, r router.LoadReport, addr string) bool {
	seen := h.observations[r.Replica]
	if seen == nil || seen.state == 0 {
		return true
	}
	same := !r.Down && seen.instance == r.InstanceID
	if seen.state != ConnectionUp {
		if !r.Down && seen.recheckDue(now) {
			h.out.Reconnects = append(h.out.Reconnects, r.Replica)
		}
		return !same || now-seen.at > localObservationTTL
	}
	if same {
		seen.since = min(seen.since, now-r.Age)
		return true
	}
	if seen.recheckDue(now) && addr != "" {
		h.probe(Probe{Replica: r.Replica, Addr: addr, Local: true})
	}
	return false
}

// recheckDue reports whether the replica may be checked now, and if so records the time of the check.
func (o *observation) recheckDue(now time.Duration) bool {
	if now-o.recheckedAt <= localProbeRetry {
		return false
	}
	o.recheckedAt = now
	return true
}
