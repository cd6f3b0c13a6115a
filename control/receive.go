package control

import (
	"time"

	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/membership"
)

func (n *Node) recv(now time.Duration, r Received) {
	if r.From != n.config.Addr {
		n.sendDigestToReturned(r)
	}
	if r.Build > 0 {
		n.documents.builds[r.From] = r.Build
	}
	r, ok := n.restoreDocuments(now, r)
	if !ok {
		return
	}
	switch m := r.Msg.(type) {
	case membership.Ping:
		n.sendMembership(n.Members.OnPing(r.From, m))
	case membership.PingFor:
		n.sendMembership(n.Members.OnPingFor(now, r.From, m))
	case membership.Ack:
		n.sendMembership(n.Members.OnAck(now, m))
	case gossip.Update:
		n.onUpdate(now, r.From, m)
	case gossip.Checksum:
		n.sendGossip(n.Gossip.OnChecksum(r.From, m))
	case gossip.Digest:
		n.sendGossip(n.Gossip.OnDigest(r.From, m))
	case gossip.Announcement:
		n.sendGossip(n.Gossip.OnAnnouncement(now, r.From, m))
	case gossip.Pull:
		n.sendGossip(n.Gossip.OnPull(r.From, m))
	case ChunkPull:
		n.onChunkPull(r.From, m)
	case ChunkData:
		n.onChunkData(now, r.From, m)
	case Prefills:
		n.onPrefills(m)
	case WitnessQuery:
		n.send(r.From, n.witness.remember(now, m))
	case WitnessForget:
		n.witness.forget(m)
	case WitnessReply:
		n.witness.onReply(r.From, m, n)
	case QuotaAsk:
		n.onQuotaAsk(now, r.From, m)
	case QuotaAnswer:
		n.onQuotaAnswer(now, r.From, m)
	default:
		n.handleRegister(now, r)
	}
}

// sendDigestToReturned sends a digest to a node that sends pings or acknowledgements although the member table has it as not live.
func (n *Node) sendDigestToReturned(r Received) {
	switch r.Msg.(type) {
	case membership.Ping, membership.Ack:
	default:
		return
	}
	for _, m := range n.Members.Table.All() {
		if m.Addr == r.From && !m.Live() {
			n.send(r.From, n.Gossip.ReplyDigest())
		}
	}
}
