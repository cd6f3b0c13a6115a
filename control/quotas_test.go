package control

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/quota"
	"github.com/mallowbridge/mallowbridge/router"
)

// labTenant is the tenant in every document of a lab.
var labTenant = config.Tenant{Name: "t", Rate: 2000, Burst: 2000}

const (
	labNodes = 12
	// labCost is the cost of a request and demandEvery the time between two requests: five times what the limit allows.
	labCost     = 100
	demandEvery = 10 * time.Millisecond
)

// quotaLab requests a tenant's quota at the nodes of a lab and records what was granted.
type quotaLab struct {
	*lab
	rng *rand.Rand
	ids uint64
	// asked is the time of each request by ID.
	asked map[uint64]time.Duration
	// charges are the times of grants that arrived early enough to be used.
	charges             []time.Duration
	refused, unanswered int
}

func newQuotaLab(t *testing.T, seed uint64) *quotaLab {
	q := &quotaLab{
		lab: newSizedLab(t, fleetShape{nodes: labNodes, zones: 3, disks: 4, tolerate: 1}, seed),
		rng: rand.New(rand.NewPCG(seed, 1)), asked: map[uint64]time.Duration{},
	}
	q.frozen = map[string]bool{}
	q.lab.decided = func(_ string, d router.QuotaDecided) {
		switch {
		case d.Granted && q.now-q.asked[d.ID] <= quota.GrantLifetime:
			q.charges = append(q.charges, q.now)
		case d.Unanswered:
			q.unanswered++
		default:
			q.refused++
		}
	}
	q.lab.run(2 * time.Second)
	q.write("n6", "document")
	q.lab.run(2 * time.Second)
	return q
}

// run sends requests to random running nodes.
func (q *quotaLab) run(d time.Duration) {
	for until := q.now + d; q.now < until; {
		name := q.order[q.rng.IntN(len(q.order))]
		if !q.down[name] && !q.frozen[name] {
			q.ids++
			q.asked[q.ids] = q.now
			q.step(name, QuotaRequested{Request: quota.Request{ID: q.ids, Tenant: labTenant.Name, Cost: labCost}})
		}
		q.lab.run(demandEvery)
	}
}

// wantWithinLimit checks that no window contains more grants than the rule allows.
func (q *quotaLab) wantWithinLimit(t *testing.T) {
	t.Helper()
	rule := quota.DefaultRule()
	allowed := rule.Allowed(quota.Limit{Rate: labTenant.Rate, Burst: labTenant.Burst})
	first := 0
	var most float64
	for i, at := range q.charges {
		for q.charges[first] <= at-rule.Window {
			first++
		}
		most = max(most, labCost*float64(i-first+1)/allowed)
	}
	t.Logf("%d granted, %d refused, %d unanswered, the fullest window has %.3f of what is allowed", len(q.charges), q.refused, q.unanswered, most)
	if most > 1 {
		t.Errorf("the fullest window has %.3f of what is allowed", most)
	}
}

// injectFault kills, freezes or stops a node, or partitions a zone or a node, and undoes that later.
func (q *quotaLab) injectFault() {
	name, pause := q.order[q.rng.IntN(len(q.order))], time.Duration(200+q.rng.IntN(3000))*time.Millisecond
	switch q.rng.IntN(5) {
	case 0:
		q.down[name] = true
		q.run(pause / 4)
		q.boot(name, false)
	case 1:
		q.frozen[name] = true
		q.run(pause)
		delete(q.frozen, name)
	case 2:
		q.step(name, Command{ID: 1 << 60, Op: Leave{}})
		q.down[name] = true
		q.run(pause / 4)
		q.boot(name, false)
	case 3:
		q.cutOff(pause, func(other string) bool { return other == name })
	default:
		zone := q.nodes[name].config.Zone
		q.cutOff(pause, func(other string) bool { return q.nodes[other].config.Zone == zone })
	}
}

func (q *quotaLab) cutOff(d time.Duration, side func(name string) bool) {
	q.cut = func(from, to string) bool { return side(from) != side(to) }
	q.run(d)
	q.cut = nil
}

// TestQuotaHoldsWhileNodesFailInSeries injects random faults one after another, with many seeds.
func TestQuotaHoldsWhileNodesFailInSeries(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			q := newQuotaLab(t, seed)
			for end := q.now + 40*time.Second; q.now < end; {
				q.injectFault()
				q.run(time.Duration(q.rng.IntN(500)) * time.Millisecond)
			}
			q.wantWithinLimit(t)
		})
	}
}

// TestQuotaIsUsedWhereAllIsWell checks that without faults nearly all of the limit is granted, already within the first seconds.
func TestQuotaIsUsedWhereAllIsWell(t *testing.T) {
	q := newQuotaLab(t, 1)
	q.run(10 * time.Second)
	q.wantWithinLimit(t)
	if got := labCost * float64(len(q.charges)); q.unanswered > 0 || got < 0.95*10*labTenant.Rate {
		t.Errorf("%g of %g granted, %d unanswered", got, 10*labTenant.Rate, q.unanswered)
	}
}

// TestQuotaSharesOfZonesThatDied checks that the shares of a dead zone stay unused while the other zones grant theirs.
func TestQuotaSharesOfZonesThatDied(t *testing.T) {
	q := newQuotaLab(t, 1)
	for _, name := range q.order {
		q.down[name] = q.nodes[name].config.Zone == "1"
	}
	q.run(5 * time.Second)
	before := len(q.charges)
	q.run(10 * time.Second)
	q.wantWithinLimit(t)
	if got, want := labCost*float64(len(q.charges)-before), 10*labTenant.Rate*2/3; got < 0.9*want || got > 1.1*want {
		t.Errorf("%g granted, want about %g", got, want)
	}
}

// TestNodesOfOlderBuildsOwnNoQuota checks that nodes that cannot answer a QuotaAsk own no shares.
func TestNodesOfOlderBuildsOwnNoQuota(t *testing.T) {
	n := newQuotaLab(t, 1).nodes["n0"]
	members := n.quotaZones(0)["1"]
	owner := quotaOwner(labTenant.Name, members)
	owner.Build = quotaBuild - 1
	owner.Incarnation++
	n.Members.Merge(0, owner)
	next := quotaOwner(labTenant.Name, n.quotaZones(0)["1"])
	if next.Name == owner.Name || len(n.quotaZones(0)["1"]) != len(members)-1 || next.State != membership.Alive {
		t.Errorf("the share has passed to %+v", next)
	}
}
