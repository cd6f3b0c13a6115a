package control

import "github.com/mallowbridge/mallowbridge/router"

// Prefills is a message that reports to other nodes which long prompts were sent to which replicas.
type Prefills struct{ Rows []router.Prefill }

// Since returns the first build that can decode the message.
func (Prefills) Since() uint32 { return 2 }

func (Prefills) in() {}

func (n *Node) sendPrefills(p Prefills) {
	for _, peer := range n.peers() {
		n.send(peer.Addr, p)
	}
}

func (n *Node) onPrefills(p Prefills) {
	for _, row := range p.Rows {
		n.emit(row)
	}
}
