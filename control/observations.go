package control

import (
	"time"

	"github.com/mallowbridge/mallowbridge/router"
)

// ConnectionState is what became of a node's own idle connection to a replica.
type ConnectionState uint8

const (
	// ConnectionClosed says that the replica closed the connection.
	ConnectionClosed ConnectionState = iota + 1
	// ConnectionRefused says that nobody listens at the replica's address.
	ConnectionRefused
	// ConnectionUp says that the replica answered.
	ConnectionUp
)

// ConnectionChange reports a change of this node's own idle connection to a replica.
type ConnectionChange struct {
	State ConnectionState
	Probed
}

func (ConnectionChange) in() {}

const (
	// localProbeRetry is the least time between two checks of one replica that other nodes report on differently.
	localProbeRetry = 500 * time.Millisecond
	// localObservationTTL is how long an own observation that a replica is down outweighs what other nodes report.
	localObservationTTL = time.Second
)

// observation is what this node's own idle connection to a replica last showed.
type observation struct {
	state    ConnectionState
	instance string
	since    time.Duration
	at       time.Duration
	askedAt  time.Duration
}

// observe takes in a change of this node's own connection to a replica. The router learns it before anything that other nodes report.
func (h *healthChecks) observe(now time.Duration, i ConnectionChange) {
	seen := h.observations[i.Replica]
	if seen == nil {
		seen = &observation{}
		h.observations[i.Replica] = seen
	}
	before := seen.state
	seen.state, seen.at = i.State, now
	switch i.State {
	case ConnectionClosed:
		h.emit(router.ReplicaSuspect{Replica: i.Replica})
	case ConnectionRefused:
		if before != ConnectionRefused {
			h.emit(router.LoadReport{Replica: i.Replica, Down: true})
		}
	case ConnectionUp:
		h.observeInstance(now, seen, i.Probed)
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

// accepts compares another node's report on a replica with this node's own observation, and has the replica at addr checked again where
// they differ.
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

// recheckDue tells whether the replica may be checked now, and notes that it is.
func (o *observation) recheckDue(now time.Duration) bool {
	if now-o.askedAt <= localProbeRetry {
		return false
	}
	o.askedAt = now
	return true
}
