package control

import (
	"time"

	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/membership"
)

func (n *Node) recv(now time.Duration, r Received) {
	if r.From != n.config.Addr {
		n.greetReturned(r)
	}
	if r.Build > 0 {
		n.documents.builds[r.From] = r.Build
	}
	r, ok := n.thicken(now, r)
	if !ok {
		return
	}
	switch m := r.Msg.(type) {
	case membership.Ping:
		n.kinSends(n.Members.OnPing(r.From, m))
	case membership.PingFor:
		n.kinSends(n.Members.OnPingFor(now, r.From, m))
	case membership.Ack:
		n.kinSends(n.Members.OnAck(now, m))
	case gossip.Update:
		n.onUpdate(now, r.From, m)
	case gossip.Checksum:
		n.rumorSends(n.Gossip.OnChecksum(r.From, m))
	case gossip.Digest:
		n.rumorSends(n.Gossip.OnDigest(r.From, m))
	case gossip.Announcement:
		n.rumorSends(n.Gossip.OnAnnouncement(now, r.From, m))
	case gossip.Pull:
		n.rumorSends(n.Gossip.OnPull(r.From, m))
	case ChunkPull:
		n.onChunkPull(r.From, m)
	case ChunkData:
		n.onChunkData(now, r.From, m)
	case Prefills:
		n.onPrefills(m)
	case WitnessAsk:
		n.send(r.From, n.witness.see(now, m))
	case WitnessForget:
		n.witness.forget(m)
	case WitnessSay:
		n.witness.said(r.From, m, n)
	default:
		n.handleRegister(now, r)
	}
}

func (n *Node) greetReturned(r Received) {
	switch r.Msg.(type) {
	case membership.Ping, membership.Ack:
	default:
		return
	}
	for _, m := range n.Members.Table.All() {
		if m.Addr == r.From && m.State == membership.Dead {
			n.send(r.From, n.Gossip.Digest(true))
		}
	}
}
