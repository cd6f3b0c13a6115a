package control

// TenantUsage is a gossip item that builds before quotaBuild send: their routers exchange what they admitted for each tenant. This build
// decodes and ignores it.
type TenantUsage struct{ TenantUsage legacyUsageItem }

type legacyUsageItem struct{ Usage legacyUsage }

type legacyUsage struct {
	By   string
	Rows []legacyUsageRow
}

type legacyUsageRow struct {
	Tenant           string
	Admitted, Demand uint64
}

// Ephemeral reports that a node that starts later does not need the item.
func (TenantUsage) Ephemeral() bool { return true }

// Since returns the first build that can decode the item.
func (TenantUsage) Since() uint32 { return 4 }
