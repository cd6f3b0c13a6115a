package sim

import (
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/router"
	"github.com/mallowbridge/mallowbridge/sim/engine"
)

// A request is what a node sends to a replica.
type sentRequest struct {
	try     *clientAttempt
	n       *Node
	attempt string
	target  string
	after   int
	rank    int
	until   time.Duration
	sent    time.Duration
	// again tells that the try was sent to a replica before; calm that the node was in touch when it passed the request on.
	again, calm bool
}

type head struct {
	status   int
	attempt  string
	instance string
	seal     string
	stream   bool
	notRun   bool
	shut     bool
	load     *router.ReplicaLoad
}

// A packet is a piece of an answer: head, data, its end, or what is none.
type packet struct {
	head        *head
	data        []byte
	end         bool
	reset, junk bool
}

const userTimeout = 1500 * time.Millisecond

// A pipe carries one way of a connection, in order; a cut holds it up, and one that lasts breaks it.
type pipe struct {
	s        *site
	from, to string
	near     bool
	due      time.Duration
	held     []func()
	since    time.Duration
	broken   bool
	stuck    func() bool
	fail     func()
}

func (p *pipe) send(do func()) {
	if p.broken {
		return
	}
	p.held = append(p.held, do)
	if len(p.held) == 1 {
		p.pump()
	}
}

func (p *pipe) pump() {
	w := p.s.w
	for len(p.held) > 0 && !p.broken {
		if w.Net.Blocked(p.from, p.to) || w.Net.Blocked(p.to, p.from) || p.stuck() {
			if p.since == 0 {
				p.since = w.Now
			}
			if w.Now-p.since > userTimeout {
				p.broken, p.held = true, nil
				p.fail()
				return
			}
			w.After(50*time.Millisecond, p.pump)
			return
		}
		p.since = 0
		do := p.held[0]
		p.held = p.held[1:]
		p.due = max(p.due, w.Now+w.Net.Delay(p.near))
		w.At(p.due, do)
	}
}

// A socket is a connection from a node to an instance.
type socket struct {
	n           *Node
	incarnation uint64
	to          *Instance
	key         string
	t           *proxyRequest
	attempt     string
	up, down    *pipe
	stale       bool
	used        bool
	until       time.Duration
	job         *engine.Job
}

func newSocket(n *Node, to *Instance, key string) *socket {
	k := &socket{n: n, incarnation: n.incarnation, to: to, key: key}
	near := n.Zone == to.Zone
	k.up = &pipe{s: to.s, from: n.Addr, to: to.addr(), near: near, fail: func() { k.take(packet{reset: true}) }}
	k.down = &pipe{s: to.s, from: to.addr(), to: n.Addr, near: near, fail: func() { to.hangup(k) }}
	k.up.stuck = func() bool { return to.dark }
	k.down.stuck = func() bool { return to.dark || n.unplugged(k.incarnation) }
	return k
}

func (i *Instance) addr() string { return "rep/" + i.Addr }

// unplugged tells that the machine lost its power, so that nobody answers for that life any more.
func (n *Node) unplugged(incarnation uint64) bool { return n.incarnation != incarnation && n.dark }

func (k *socket) reply(p packet) {
	if slices.Contains(k.to.sockets, k) {
		k.down.send(func() { k.take(p) })
	}
}

// take is what the node's end of the connection gets.
func (k *socket) take(p packet) {
	n := k.n
	if n.incarnation != k.incarnation || !n.Alive {
		return
	}
	n.live(func() {
		if k.t == nil || k.stale {
			k.stale = true
			return
		}
		k.t.took(p)
	})
}

// harm notes that the replica, not a node, breaks the answer off.
func (k *socket) harm() {
	if k.t != nil {
		k.t.attempt.harmed = true
	}
}

func (k *socket) close() {
	k.stale = true
	k.t = nil
	k.up.send(func() { k.to.hangup(k) })
}

// A pool keeps connections by instance.
type pool map[string]*shelf

type shelf struct {
	idle []*socket
	open int
}

// kept gives a connection that is still good; or tells that a new one may be opened, which is counted already.
func (p pool) kept(now time.Duration, instance, attempt string, conns int) (*socket, bool) {
	s := p[instance]
	if s == nil {
		s = &shelf{}
		p[instance] = s
	}
	var k *socket
	for len(s.idle) > 0 {
		k = s.idle[len(s.idle)-1]
		s.idle = s.idle[:len(s.idle)-1]
		if !k.stale && now < k.until && k.attempt != attempt {
			return k, false
		}
		s.open--
		k.close()
	}
	if conns > 0 && s.open >= conns {
		return nil, true
	}
	s.open++
	return nil, false
}

func (p pool) leave(instance string) {
	if s := p[instance]; s != nil {
		s.open--
	}
}

func (p pool) park(k *socket) {
	p[k.key].idle = append(p[k.key].idle, k)
}
