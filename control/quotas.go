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
	// quotaTakeover is how long a new owner of a share grants nothing, until all know that the former one lost it.
	quotaTakeover = 2 * time.Second
	// quotaMemory is how long a dead member counts when a node looks for a majority of its zone.
	quotaMemory = time.Minute
)

// QuotaAsk asks the owner of a share of a tenant's limit for the cost of a request.
type QuotaAsk struct {
	ID     uint64
	Tenant string
	Cost   float64
}

// QuotaAnswer answers the QuotaAsk with the same ID.
type QuotaAnswer struct {
	ID                   uint64
	OK                   bool
	RetryAfter, EmptyFor time.Duration
	// Left is what can be granted at once besides; builds before it was added leave it at 0.
	Left float64
}

// Since is the first build that reads the message.
func (QuotaAsk) Since() uint32 { return quotaBuild }

// Since is the first build that reads the message.
func (QuotaAnswer) Since() uint32 { return quotaBuild }

// QuotaRequested asks for the cost of an attempt that this node's router is about to send; a router.QuotaDecided answers.
type QuotaRequested struct{ quota.Request }

func (QuotaRequested) in() {}

// quotaState is this node's part in keeping tenants' limits: as owner of shares, and as one who asks owners.
type quotaState struct {
	owner     *quota.Owner
	requester *quota.Requester
	// zone is who may own shares of this node's zone, as last seen.
	zone string
}

func newQuotaState(now time.Duration, cfg Config) quotaState {
	rule := cfg.Quota
	if rule.Window == 0 {
		rule = quota.DefaultRule()
	}
	return quotaState{owner: quota.NewOwner(rule, now+quotaTakeover), requester: quota.NewRequester(cfg.Seed)}
}

// applyQuotas follows the limits of a configuration.
func (q *quotaState) applyQuotas(now time.Duration, tenants []config.Tenant) {
	limits := map[string]quota.Limit{}
	for _, t := range tenants {
		if t.Rate > 0 {
			limits[t.Name] = quota.Limit{Rate: t.Rate, Burst: t.Burst}
		}
	}
	q.owner.SetLimits(now, limits)
}

// quotaZones lists by zone the members that may own shares of the zone: those that live and stay, where they are the majority of the members
// that live or died lately. Zones are those of all members that did not leave, so that both sides of a partition divide limits alike.
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
		case !m.Live() && n.diedLately(now, m.Name):
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

func (n *Node) diedLately(now time.Duration, name string) bool {
	died, known := n.witness.deadSince[name]
	return !known || now-died < quotaMemory
}

// quotaOwner is the one of a zone's members that owns its share of a tenant's limit.
func quotaOwner(tenant string, members []membership.Member) membership.Member {
	var owner membership.Member
	var highest uint64
	for _, m := range members {
		rank := scheduler.RendezvousWeight("quota/"+tenant, m.Name)
		if owner.Name == "" || rank > highest || rank == highest && m.Name < owner.Name {
			owner, highest = m, rank
		}
	}
	return owner
}

// quotaRequested asks the owner in this node's zone first, then those of the other zones.
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

// onQuotaAsk grants out of what this node owns. A node that is not in touch with its fleet may have lost it to another.
func (n *Node) onQuotaAsk(now time.Duration, from string, m QuotaAsk) {
	n.followQuotaZones(now)
	grant := quota.Grant{RetryAfter: answerLater, EmptyFor: answerLater}
	if n.ownsQuota(now, m.Tenant) {
		grant = n.quotas.owner.Take(now, m.Tenant, m.Cost)
	}
	n.send(from, QuotaAnswer{ID: m.ID, OK: grant.Granted, Left: grant.Remaining, RetryAfter: grant.RetryAfter, EmptyFor: grant.EmptyFor})
}

// answerLater is when to ask a node again that does not own the share asked for.
const answerLater = 200 * time.Millisecond

func (n *Node) ownsQuota(now time.Duration, tenant string) bool {
	return n.joining.joined && !n.Members.Isolated(now) && quotaOwner(tenant, n.quotaZones(now)[n.config.Zone]).Name == n.config.Name
}

func (n *Node) onQuotaAnswer(now time.Duration, from string, m QuotaAnswer) {
	n.quotas.requester.HandleResponse(now, from, quota.GrantResponse{ID: m.ID, Grant: quota.Grant{Granted: m.OK, Remaining: m.Left, RetryAfter: m.RetryAfter, EmptyFor: m.EmptyFor}})
	n.flushQuotas()
}

func (n *Node) tickQuotas(now time.Duration) {
	n.followQuotaZones(now)
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

// followQuotaZones drops what this node owns no longer, and has what it gets to own begin empty.
func (n *Node) followQuotaZones(now time.Duration) {
	zones := n.quotaZones(now)
	n.quotas.owner.SetZones(now, len(zones))
	members := zones[n.config.Zone]
	var names []string
	for _, m := range members {
		names = append(names, m.Name)
	}
	if zone := strings.Join(names, ","); zone != n.quotas.zone {
		n.quotas.zone = zone
		n.quotas.owner.KeepOwned(now+quotaTakeover, func(tenant string) bool { return quotaOwner(tenant, members).Name == n.config.Name })
	}
}

// QuotaStatus lists the limited tenants as this node knows them.
func (n *Node) QuotaStatus(now time.Duration) []quota.TenantStatus {
	return quota.Status(now, n.quotas.owner, n.quotas.requester)
}
