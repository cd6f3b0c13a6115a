package sim

import (
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/control"
)

// A watcher reconnects after watchRetryAfter, doubled after each failure up to maxWatchRetry. Across a partition, a closed connection is
// noticed by keep-alive after keepAliveTimeout.
const (
	watchRetryAfter  = 100 * time.Millisecond
	maxWatchRetry    = 5 * time.Second
	keepAliveTimeout = 2 * time.Second
)

// report returns the response to a health check.
func (r *FleetReplica) report() control.Probed {
	running, lag := r.model.Usage(r.w.Now)
	return control.Probed{Replica: r.Name, OK: true, InstanceID: r.model.Instance, Running: running, Draining: r.Draining, Lag: lag}
}

func (n *Node) partitionedFrom(r *FleetReplica) bool {
	return n.w.Net.Blocked(n.Addr, r.addr()) || n.w.Net.Blocked(r.addr(), n.Addr)
}

// watchReplicas opens a connection to each replica of a configuration that has none.
func (n *Node) watchReplicas(snapshot *config.Snapshot) {
	for _, service := range snapshot.Config.Services {
		for _, rc := range service.Replicas {
			if r := n.w.replicasByName[rc.Name]; r != nil && n.watchers[rc.Name] == nil {
				n.watchers[rc.Name] = &watcher{n: n, r: r, incarnation: n.incarnation}
				n.watchers[rc.Name].connect(watchRetryAfter)
			}
		}
	}
}

// watcher is a node's idle connection to a replica, through which it notices a crash at once. timerSeq invalidates earlier timers.
type watcher struct {
	n           *Node
	r           *FleetReplica
	incarnation uint64
	timerSeq    int
	open        bool
}

func (e *watcher) after(d time.Duration, do func()) {
	e.timerSeq++
	seq := e.timerSeq
	e.n.w.After(d, func() {
		if e.timerSeq == seq && e.n.incarnation == e.incarnation && e.n.Alive {
			do()
		}
	})
}

// connect tries to connect. After a failure, it tries again after retryAfter, which doubles each time.
func (e *watcher) connect(retryAfter time.Duration) {
	n, r := e.n, e.r
	retry := func() { e.connect(min(2*retryAfter, maxWatchRetry)) }
	if n.partitionedFrom(r) || r.Unreachable {
		e.after(fleetDialTimeout+retryAfter, retry)
		return
	}
	change := control.ConnectionChange{State: control.ConnectionRefused, Probed: control.Probed{Replica: r.Name}}
	if r.Up {
		change = control.ConnectionChange{State: control.ConnectionUp, Probed: r.report()}
		e.open = true
		e.watchConnection(r.lastIncarnation)
	} else {
		e.after(retryAfter, retry)
	}
	n.later(2*n.w.Net.Delay(n.Zone == r.Zone), func() { n.step(change) })
}

// watchConnection makes the node notice the end of the replica's incarnation: at once by a reset or, if a partition blocks the reset, by
// keep-alive.
func (e *watcher) watchConnection(incarnation uint64) {
	n, r := e.n, e.r
	e.timerSeq++
	if r.Up && r.lastIncarnation == incarnation {
		r.onCrash = append(r.onCrash, func() {
			if n.incarnation == e.incarnation && n.Alive {
				e.connectionClosed()
			}
		})
	}
}

func (e *watcher) connectionClosed() {
	n, r := e.n, e.r
	if n.partitionedFrom(r) {
		e.after(keepAliveTimeout, e.connectionClosed)
		return
	}
	e.open = false
	n.later(n.w.Net.Delay(n.Zone == r.Zone), func() {
		n.step(control.ConnectionChange{State: control.ConnectionClosed, Probed: control.Probed{Replica: r.Name}})
		e.connect(watchRetryAfter)
	})
}

// reconnect tries to connect at once if there is no connection.
func (e *watcher) reconnect() {
	if e != nil && !e.open {
		e.connect(watchRetryAfter)
	}
}

func (n *Node) probe(p control.Probe) {
	r := n.w.replicasByName[p.Replica]
	if r == nil || !r.Up || r.Unreachable || n.partitionedFrom(r) {
		n.later(400*time.Millisecond, func() { n.step(control.Probed{Replica: p.Replica, Local: p.Local}) })
		return
	}
	result := r.report()
	result.Local = p.Local
	n.later(2*n.w.Net.Delay(n.Zone == r.Zone), func() { n.step(result) })
}
