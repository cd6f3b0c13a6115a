package control

import "github.com/mallowbridge/mallowbridge/router"

// Prefills tells other nodes which long prompts were sent to which replicas.
type Prefills struct{ Rows []router.Prefill }

// Since is the first build that reads the message.
func (Prefills) Since() uint32 { return 2 }

func (Prefills) in() {}

func (n *Node) tellPrefills(p Prefills) {
	for _, peer := range n.peers() {
		n.send(peer.Addr, p)
	}
}

func (n *Node) onPrefills(p Prefills) {
	for _, row := range p.Rows {
		n.emit(row)
	}
}
