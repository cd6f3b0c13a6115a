package control

import (
	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/lease"
	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/register"
)

// buildLimited is implemented by messages and gossip items that builds before Since cannot decode: those builds have no type registered
// under the gob name.
type buildLimited interface{ Since() uint32 }

func (n *Node) send(to string, msg any) {
	if to == n.config.Addr {
		n.local = append(n.local, Received{From: to, Msg: msg})
		return
	}
	if msg, ok := n.compatibleMessage(to, msg); ok && to != "" {
		n.out.Sends = append(n.out.Sends, Send{To: to, Msg: msg})
	}
}

// addrOf returns the address of the node with that disk, which may be this node, or an empty string if none is known.
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
	cache := n.cachedMembers()
	if cache.peers != nil {
		return cache.peers
	}
	defer func() { cache.peers = ps }()
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

// compatibleMessage removes what the peer's build cannot decode, and reports whether a message remains. A single unknown type would cost
// the peer the whole frame and the connection.
func (n *Node) compatibleMessage(to string, msg any) (any, bool) {
	build := n.buildOf(to)
	if k, is := msg.(buildLimited); is && k.Since() > build {
		return nil, false
	}
	if min(build, n.config.Build) >= chunksBuild {
		msg = n.stripMessage(msg)
	}
	updates, is := msg.(gossip.Update)
	if !is {
		return msg, true
	}
	var compatible gossip.Update
	for _, it := range updates.Items {
		if k, is := it.Data.(buildLimited); !is || k.Since() <= build {
			compatible.Items = append(compatible.Items, it)
		}
	}
	return compatible, true
}

// buildOf returns the build that a peer last reported on its connection, or else the build in its member entry (1 if it is not a member).
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
