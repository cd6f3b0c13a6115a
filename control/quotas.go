package control

import (
	"slices"
	"strings"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/quota"
	"github.com/mallowbridge/mallowbridge/router"
	"github.com/mallowbridge/mallowbridge/scheduler"
)

const (
	// quotaBuild is the first build that answers a QuotaAsk.
	quotaBuild = 5
	// quotaMemory is how long a dead member is counted when a node checks for a majority of its zone's members.
	quotaMemory = time.Minute
)

// QuotaAsk asks the owner of a share of a tenant's limit to grant the cost of a request.
type QuotaAsk struct {
	ID     uint64
	Tenant string
	Cost   float64
}

// QuotaAnswer answers the QuotaAsk with the same ID.
type QuotaAnswer struct {
	ID uint64
	// OK reports whether the cost is granted. If not, the request may be granted after RetryAfter, and any other request of the tenant
	// after EmptyFor.
	OK                   bool
	RetryAfter, EmptyFor time.Duration
	// Left is how much more could be granted at once; builds from before it was added leave it at 0.
	Left float64
}

// Since returns the first build that can decode the message.
func (QuotaAsk) Since() uint32 { return quotaBuild }

// Since returns the first build that can decode the message.
func (QuotaAnswer) Since() uint32 { return quotaBuild }

// QuotaRequested is the input that requests a grant for an attempt that this node's router is about to send; a router.QuotaDecided event
// reports the result.
type QuotaRequested struct{ quota.Request }

func (QuotaRequested) in() {}

// quotaState is this node's part in enforcing tenants' limits: as the owner of shares, and as a node that requests grants from owners.
type quotaState struct {
	owner     *quota.Owner
	requester *quota.Requester
	// owners are the names of the members that may own shares of this node's zone as last seen, separated by commas.
	owners string
}

func newQuotaState(now time.Duration, cfg Config) quotaState {
	rule := cfg.Quota
	if rule.Window == 0 {
		rule = quota.DefaultRule()
	}
	return quotaState{owner: quota.NewOwner(rule, now+quota.TakeoverDelay), requester: quota.NewRequester(cfg.Seed)}
}

// applyQuotas sets the limits of a configuration.
func (q *quotaState) applyQuotas(now time.Duration, tenants []config.Tenant) {
	limits := map[string]quota.Limit{}
	for _, t := range tenants {
		if t.Rate > 0 {
			limits[t.Name] = quota.Limit{Rate: t.Rate, Burst: t.Burst}
		}
	}
	q.owner.SetLimits(now, limits)
}

// quotaZones returns, by zone, the members that may own shares of the zone: those that are live, not retiring and of a build that answers a
// QuotaAsk, if they outnumber the zone's members that died recently. A zone without such members is listed as empty as long as it has a
// member that has not left, so that both sides of a partition divide the limits by the same number of zones.
func (n *Node) quotaZones(now time.Duration) map[string][]membership.Member {
	owners, lost := map[string][]membership.Member{}, map[string]int{}
	for _, m := range n.Members.Table.All() {
		if m.State == membership.Left {
			continue
		}
		members := owners[m.Zone]
		switch {
		case m.Live() && !m.Retiring && m.Build >= quotaBuild:
			members = append(members, m)
		case !m.Live() && n.diedRecently(now, m.Name):
			lost[m.Zone]++
		}
		owners[m.Zone] = members
	}
	for zone, members := range owners {
		if lost[zone] > 0 && len(members) <= lost[zone] {
			owners[zone] = nil
		}
	}
	return owners
}

func (n *Node) diedRecently(now time.Duration, name string) bool {
	died, known := n.witness.deadSince[name]
	return !known || now-died < quotaMemory
}

// quotaOwner returns the member of a zone that owns its share of a tenant's limit.
func quotaOwner(tenant string, members []membership.Member) membership.Member {
	var owner membership.Member
	var highest uint64
	for _, m := range members {
		weight := scheduler.RendezvousWeight("quota/"+tenant, m.Name)
		if owner.Name == "" || weight > highest || weight == highest && m.Name < owner.Name {
			owner, highest = m, weight
		}
	}
	return owner
}

// quotaRequested asks the owner in this node's zone first, then the owners in the other zones.
func (n *Node) quotaRequested(now time.Duration, q QuotaRequested) {
	zones := n.quotaZones(now)
	var names, owners []string
	for zone := range zones {
		names = append(names, zone)
	}
	for _, zone := range scheduler.SortByWeight("quota/"+q.Tenant+"/"+n.config.Name, names) {
		owner := quotaOwner(q.Tenant, zones[zone]).Addr
		switch {
		case owner == "":
		case zone == n.config.Zone:
			owners = slices.Insert(owners, 0, owner)
		default:
			owners = append(owners, owner)
		}
	}
	n.quotas.requester.Request(now, q.Request, owners)
	n.flushQuotas()
}

// onQuotaAsk grants from the shares that this node owns. A node that is isolated grants nothing, because it may have lost its shares to
// another node.
func (n *Node) onQuotaAsk(now time.Duration, from string, m QuotaAsk) {
	n.updateQuotaZones(now)
	grant := quota.Grant{RetryAfter: notOwnerRetryAfter, EmptyFor: notOwnerRetryAfter}
	if n.ownsQuota(now, m.Tenant) {
		grant = n.quotas.owner.Take(now, m.Tenant, m.Cost)
	}
	n.send(from, QuotaAnswer{ID: m.ID, OK: grant.Granted, Left: grant.Remaining, RetryAfter: grant.RetryAfter, EmptyFor: grant.EmptyFor})
}

// notOwnerRetryAfter is when to ask again after a node that does not own the share was asked.
const notOwnerRetryAfter = 200 * time.Millisecond

func (n *Node) ownsQuota(now time.Duration, tenant string) bool {
	return n.joining.joined && !n.Members.Isolated(now) && quotaOwner(tenant, n.quotaZones(now)[n.config.Zone]).Name == n.config.Name
}

func (n *Node) onQuotaAnswer(now time.Duration, from string, m QuotaAnswer) {
	n.quotas.requester.HandleResponse(now, from, quota.GrantResponse{ID: m.ID, Grant: quota.Grant{Granted: m.OK, Remaining: m.Left, RetryAfter: m.RetryAfter, EmptyFor: m.EmptyFor}})
	n.flushQuotas()
}

func (n *Node) tickQuotas(now time.Duration) {
	n.updateQuotaZones(now)
	n.quotas.requester.Tick(now)
	n.flushQuotas()
}

func (n *Node) flushQuotas() {
	for _, a := range n.quotas.requester.TakeGrantRequests() {
		n.send(a.To, QuotaAsk{ID: a.ID, Tenant: a.Tenant, Cost: a.Cost})
	}
	for _, o := range n.quotas.requester.TakeOutcomes() {
		n.emit(router.QuotaDecided{Outcome: o})
	}
}

// updateQuotaZones drops the shares that this node no longer owns. Shares that it has just acquired start empty.
func (n *Node) updateQuotaZones(now time.Duration) {
	zones := n.quotaZones(now)
	n.quotas.owner.SetZones(now, len(zones))
	members := zones[n.config.Zone]
	var names []string
	for _, m := range members {
		names = append(names, m.Name)
	}
	if zone := strings.Join(names, ","); zone != n.quotas.owners {
		n.quotas.owners = zone
		n.quotas.owner.KeepOwned(now+quota.TakeoverDelay, func(tenant string) bool { return quotaOwner(tenant, members).Name == n.config.Name })
	}
}

// QuotaStatus returns the limited tenants as this node knows them.
func (n *Node) QuotaStatus(now time.Duration) []quota.TenantStatus {
	return quota.Status(now, n.quotas.owner, n.quotas.requester)
}
