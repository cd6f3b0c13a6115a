package sim

import (
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/router"
	"github.com/mallowbridge/mallowbridge/sim/engine"
)

// sentRequest is a request as a node sent it to a replica.
type sentRequest struct {
	client *clientAttempt
	node   *Node
	// attempt is the attempt's id; targetInstance the instance for which the request is meant, if any.
	attempt        string
	targetInstance string
	// afterEvent is the last event that the client has, from which the replica continues.
	afterEvent int
	priority   int
	deadline   time.Duration
	sent       time.Duration
	// retried is set if the attempt was sent to a replica before; inTouch if the node was in touch when it sent the request.
	retried, inTouch bool
}

// responseHead is the head of a response. attempt echoes the request's attempt, seal is the id of the run, notExecuted promises that the request
// did not run, and closing announces that the connection will be closed.
type responseHead struct {
	status      int
	attempt     string
	instance    string
	seal        string
	stream      bool
	notExecuted bool
	closing     bool
	load        *router.ReplicaLoad
}

// packet is a piece of a response: its head, data, its end, a connection reset, or junk that is not HTTP.
type packet struct {
	head        *responseHead
	data        []byte
	end         bool
	reset, junk bool
}

// tcpUserTimeout is how long data may wait on a blocked connection before the connection breaks.
const tcpUserTimeout = 1500 * time.Millisecond

// pipe is one direction of a connection, which keeps the order. A partition or a frozen replica blocks it, and breaks it after tcpUserTimeout.
type pipe struct {
	s        *site
	from, to string
	sameZone bool
	lastDue  time.Duration
	// queue is the data that waits, in order; blockedSince is 0 while the pipe is not blocked.
	queue        []func()
	blockedSince time.Duration
	broken       bool
	// blocked reports whether one of the ends is unresponsive, fail is called when the connection breaks.
	blocked func() bool
	fail    func()
}

func (p *pipe) send(do func()) {
	if p.broken {
		return
	}
	p.queue = append(p.queue, do)
	if len(p.queue) == 1 {
		p.pump()
	}
}

// pump sends the queued data, or tries again in 50 ms while the pipe is blocked.
func (p *pipe) pump() {
	w := p.s.w
	for len(p.queue) > 0 && !p.broken {
		if w.Net.Blocked(p.from, p.to) || w.Net.Blocked(p.to, p.from) || p.blocked() {
			if p.blockedSince == 0 {
				p.blockedSince = w.Now
			}
			if w.Now-p.blockedSince > tcpUserTimeout {
				p.broken, p.queue = true, nil
				p.fail()
				return
			}
			w.After(50*time.Millisecond, p.pump)
			return
		}
		p.blockedSince = 0
		do := p.queue[0]
		p.queue = p.queue[1:]
		p.lastDue = max(p.lastDue, w.Now+w.Net.Delay(p.sameZone))
		w.At(p.lastDue, do)
	}
}

// socket is a connection from a node to an instance.
type socket struct {
	n           *Node
	incarnation uint64
	to          *Instance
	// instance is the id of the instance that the node meant to connect to; a newer instance may run at the address.
	instance string
	// proxied is the request that uses the connection, attempt the id of the last one that did.
	proxied           *proxyRequest
	attempt           string
	toReplica, toNode *pipe
	// stale is set if the connection must not be used again.
	stale bool
	// used is set once a request was sent; idleUntil is how long the connection may stay idle.
	used      bool
	idleUntil time.Duration
	job       *engine.Job
}

func newSocket(n *Node, to *Instance, instance string) *socket {
	k := &socket{n: n, incarnation: n.incarnation, to: to, instance: instance}
	sameZone := n.Zone == to.Zone
	k.toReplica = &pipe{s: to.s, from: n.Addr, to: to.addr(), sameZone: sameZone, fail: func() { k.receive(packet{reset: true}) }}
	k.toNode = &pipe{s: to.s, from: to.addr(), to: n.Addr, sameZone: sameZone, fail: func() { to.connectionClosed(k) }}
	k.toReplica.blocked = func() bool { return to.unreachable }
	k.toNode.blocked = func() bool { return to.unreachable || n.lostPower(k.incarnation) }
	return k
}

func (i *Instance) addr() string { return "rep/" + i.Addr }

// lostPower reports whether the machine lost power, so that nothing resets the connections of that incarnation.
func (n *Node) lostPower(incarnation uint64) bool {
	return n.incarnation != incarnation && n.poweredOff
}

// respond sends a packet to the node, unless the instance's end is closed.
func (k *socket) respond(p packet) {
	if slices.Contains(k.to.sockets, k) {
		k.toNode.send(func() { k.receive(p) })
	}
}

// receive handles a packet at the node's end. Data that no request expects makes the connection stale.
func (k *socket) receive(p packet) {
	n := k.n
	if n.incarnation != k.incarnation || !n.Alive {
		return
	}
	n.runIfAlive(func() {
		if k.proxied == nil || k.stale {
			k.stale = true
			return
		}
		k.proxied.packetReceived(p)
	})
}

// markReplicaFailed records that the replica, not a node, broke the response.
func (k *socket) markReplicaFailed() {
	if k.proxied != nil {
		k.proxied.attempt.replicaFailed = true
	}
}

func (k *socket) close() {
	k.stale = true
	k.proxied = nil
	k.toReplica.send(func() { k.to.connectionClosed(k) })
}

// pool contains a node's connections by instance.
type pool map[string]*poolEntry

// poolEntry has the idle connections to an instance and counts all its open ones.
type poolEntry struct {
	idle []*socket
	open int
}

// get returns an idle connection that is usable and that the attempt did not use before. Without one, it returns nil: the second result
// is true if maxConns connections are open already, otherwise a new connection is counted as open.
func (p pool) get(now time.Duration, instance, attempt string, maxConns int) (*socket, bool) {
	entry := p[instance]
	if entry == nil {
		entry = &poolEntry{}
		p[instance] = entry
	}
	var conn *socket
	for len(entry.idle) > 0 {
		conn = entry.idle[len(entry.idle)-1]
		entry.idle = entry.idle[:len(entry.idle)-1]
		if !conn.stale && now < conn.idleUntil && conn.attempt != attempt {
			return conn, false
		}
		entry.open--
		conn.close()
	}
	if maxConns > 0 && entry.open >= maxConns {
		return nil, true
	}
	entry.open++
	return nil, false
}

// forget counts a connection as closed.
func (p pool) forget(instance string) {
	if entry := p[instance]; entry != nil {
		entry.open--
	}
}

func (p pool) put(k *socket) {
	p[k.instance].idle = append(p[k.instance].idle, k)
}
