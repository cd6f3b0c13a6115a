package control

import (
	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/lease"
	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/register"
)

// newer is a kind of message or news that older builds cannot read: gob has no name for it there.
type newer interface{ Since() uint32 }

func (n *Node) send(to string, msg any) {
	if to == n.config.Addr {
		n.local = append(n.local, Received{From: to, Msg: msg})
		return
	}
	if msg, ok := n.readable(to, msg); ok && to != "" {
		n.out.Sends = append(n.out.Sends, Send{To: to, Msg: msg})
	}
}

// addrOf is the address of the node with that disk, which may be this one; empty: none is known.
func (n *Node) addrOf(disk string) string {
	if n.acceptor != nil && disk == n.acceptor.Disk {
		return n.config.Addr
	}
	for _, m := range n.Members.Table.All() {
		if m.Disk == disk && m.State != membership.Left {
			return m.Addr
		}
	}
	return ""
}

func (n *Node) sendToVoters(sends []register.Send) {
	for _, s := range sends {
		n.send(n.addrOf(s.Disk), s.Msg)
	}
}

func (n *Node) sendToGrantors(sends []lease.Send) {
	for _, s := range sends {
		n.send(n.addrOf(s.Disk), s.Msg)
	}
}

func (n *Node) peers() (ps []gossip.Peer) {
	d := n.derive()
	if d.peers != nil {
		return d.peers
	}
	defer func() { d.peers = ps }()
	for _, m := range n.Members.Table.All() {
		if m.Name != n.config.Name && m.Live() {
			ps = append(ps, gossip.Peer{Name: m.Name, Addr: m.Addr, Zone: m.Zone, SameZone: m.Zone == n.config.Zone})
		}
	}
	return ps
}

func (n *Node) sendMembership(ss []membership.Send) {
	for _, s := range ss {
		n.send(s.To, s.Msg)
	}
}

func (n *Node) sendGossip(ss []gossip.Send) {
	for _, s := range ss {
		n.send(s.To, s.Msg)
	}
}

// readable leaves out what the peer's build cannot read: one unknown kind would cost it the whole frame and the connection.
func (n *Node) readable(to string, msg any) (any, bool) {
	build := n.buildOf(to)
	if k, is := msg.(newer); is && k.Since() > build {
		return nil, false
	}
	if min(build, n.config.Build) >= chunksBuild {
		msg = n.stripMessage(msg)
	}
	updates, is := msg.(gossip.Update)
	if !is {
		return msg, true
	}
	var fitting gossip.Update
	for _, it := range updates.Items {
		if k, is := it.Data.(newer); !is || k.Since() <= build {
			fitting.Items = append(fitting.Items, it)
		}
	}
	return fitting, true
}

// buildOf is what a peer said last, else what its member says, bounded by what this node's own build knows of.
func (n *Node) buildOf(addr string) uint32 {
	build, known := n.documents.builds[addr]
	if known {
		return build
	}
	build = 1
	for _, m := range n.Members.Table.All() {
		if m.Addr == addr {
			build = m.Build
		}
	}
	return build
}
