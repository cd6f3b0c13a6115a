package control

import (
	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/router"
)

// TenantUsage is the gossip item with what one router tells of tenants' quotas.
type TenantUsage struct{ router.TenantUsage }

// Ephemeral says that the item is worth nothing to a node that starts later.
func (TenantUsage) Ephemeral() bool { return true }

// Since is the first build that reads the item.
func (TenantUsage) Since() uint32 { return 4 }

// Used has the other nodes told what this node's router says of tenants' quotas.
type Used struct{ router.TenantUsage }

func (Used) in() {}

func (n *Node) used(u Used) {
	n.usageSeq++
	n.Gossip.Put(gossip.Item{Key: "q/" + n.config.Name, Version: n.itemVersion(n.usageSeq), Data: TenantUsage(u)})
}
