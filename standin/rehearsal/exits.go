package rehearsal

import (
	"sync"

	"github.com/mallowbridge/mallowbridge/ledger"
)

// unexpectedExits collects the nodes whose processes ended although no fault had told them to.
type unexpectedExits struct {
	mu    sync.Mutex
	exits []ledger.Breach
}

// add records a node and how its process ended.
func (u *unexpectedExits) add(node, state string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.exits = append(u.exits, ledger.Breach{Kind: ledger.NodeExited, Request: node, Detail: state})
}

// breaches returns a breach for each such node.
func (u *unexpectedExits) breaches() []ledger.Breach {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]ledger.Breach(nil), u.exits...)
}
