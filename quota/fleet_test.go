package quota_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/quota"
	"github.com/mallowbridge/mallowbridge/scheduler"
)

const (
	// step is the time by which the simulation advances at once.
	step = 10 * time.Millisecond
	// normalDelay is the maximum delay of a message between two nodes in tests that don't delay messages.
	normalDelay = 20 * time.Millisecond
	// takeover is how long a node that takes over a share grants nothing.
	takeover = 2 * time.Second
	// normalLoad is the fraction of its limit that a tenant requests normally.
	normalLoad = 0.77
	// overage and slackSeconds are the tolerance that the users' platform allows. The slack is in seconds of the limit's
	// rate.
	overage      = 0.1
	slackSeconds = 0.3
	// maxRefused is the maximum fraction, by cost, of the normal load that may be refused although it is within the limit.
	maxRefused = 0.02
	zones      = 3
	tenant     = "tenant"
)

// node is a router of the fleet. It may also own its zone's share.
type node struct {
	name      string
	owner     *quota.Owner
	requester *quota.Requester
	// sees holds the nodes that it considers alive.
	sees []int
	// asked holds the cost and time of each of its pending requests.
	asked map[uint64]charge
}

// delivery is a message in flight.
type delivery struct {
	at       time.Duration
	from, to int
	message  any
}

// fleet simulates nodes whose messages are delayed, and dropped between the two sides of a partition.
type fleet struct {
	rng      *rand.Rand
	nodes    []*node
	limit    quota.Limit
	rule     quota.Rule
	inFlight []delivery
	// A message takes at least minDelay and less than minDelay+delayRange.
	minDelay, delayRange time.Duration
	// side is the partition side of each node. Nodes reach each other if their sides are equal.
	side []int
	dead []bool
	// demanded and refused are total costs.
	demanded, refused float64
	charges           []charge
	requests          uint64
	// central is a reference limiter that owns the whole limit and is asked about each request without delay.
	// centralRefused is the total cost that it refuses.
	central        *quota.Owner
	centralRefused float64
}

func newFleet(seed uint64, n int, limit quota.Limit) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(seed, 1)), limit: limit, side: make([]int, n), dead: make([]bool, n), delayRange: normalDelay,
		rule: quota.Rule{Window: 8 * time.Second, Overage: overage, Slack: slackSeconds * limit.Rate},
	}
	f.central = quota.NewOwner(f.rule, 0)
	f.central.SetLimits(0, map[string]quota.Limit{tenant: limit})
	for i := range n {
		f.nodes = append(f.nodes, &node{name: fmt.Sprint("n", i)})
		f.startProcess(-takeover, i)
	}
	f.updateViews(-takeover)
	return f
}

// startProcess starts a new process of a node, without the state of an earlier one.
func (f *fleet) startProcess(now time.Duration, i int) {
	n := f.nodes[i]
	n.owner, n.requester, n.asked = quota.NewOwner(f.rule, now+takeover), quota.NewRequester(f.rng.Uint64()), map[uint64]charge{}
	n.owner.SetZones(now, zones)
	n.owner.SetLimits(now, map[string]quota.Limit{tenant: f.limit})
}

// restart replaces a node's process before the other nodes notice.
func (f *fleet) restart(now time.Duration, i int) { f.startProcess(now, i) }

func (f *fleet) setLimit(now time.Duration, limit quota.Limit) {
	f.limit = limit
	for _, n := range f.nodes {
		n.owner.SetLimits(now, map[string]quota.Limit{tenant: limit})
	}
}

// updateViews updates each node's view of the nodes on its side that are alive.
func (f *fleet) updateViews(now time.Duration) {
	for i := range f.nodes {
		f.updateView(now, i)
	}
}

func (f *fleet) updateView(now time.Duration, i int) {
	n := f.nodes[i]
	n.sees = n.sees[:0]
	for j := range f.nodes {
		if f.side[i] == f.side[j] && !f.dead[j] {
			n.sees = append(n.sees, j)
		}
	}
	n.owner.KeepOwned(now+takeover, func(string) bool { return f.ownerOf(i, i%zones) == i })
}

// ownerOf returns the owner of a zone's share in the view of node i. It is -1 if the node sees at most half of the
// zone's nodes.
func (f *fleet) ownerOf(i, zone int) int {
	best, seen := -1, 0
	for _, j := range f.nodes[i].sees {
		if j%zones != zone {
			continue
		}
		seen++
		if best < 0 || scheduler.RendezvousWeight(tenant, f.nodes[j].name) > scheduler.RendezvousWeight(tenant, f.nodes[best].name) {
			best = j
		}
	}
	if size := (len(f.nodes) - zone + zones - 1) / zones; 2*seen <= size {
		return -1
	}
	return best
}

// run lets clients request a total cost of rate per second, in requests with a mean cost of mean, at nodes drawn with
// unequal weights.
func (f *fleet) run(from, until time.Duration, rate, mean float64) {
	for now := from; now < until; now += step {
		for expected := rate * step.Seconds() / mean; expected > f.rng.Float64(); expected-- {
			f.ask(now, mean*(0.3+f.rng.ExpFloat64()*0.7))
		}
		f.deliver(now)
		for i := range f.nodes {
			if !f.dead[i] {
				f.nodes[i].requester.Tick(now)
				f.flush(now, i)
			}
		}
	}
}

// ask sends a request to one of the nodes. A few nodes receive many more requests than others.
func (f *fleet) ask(now time.Duration, cost float64) {
	at := int(float64(len(f.nodes)) * f.rng.Float64() * f.rng.Float64())
	if f.dead[at] {
		return
	}
	f.demanded += cost
	f.requests++
	if !f.central.Take(now, tenant, cost).Granted {
		f.centralRefused += cost
	}
	n := f.nodes[at]
	n.asked[f.requests] = charge{at: now, cost: cost}
	owners := []string{}
	for z := range zones {
		if owner := f.ownerOf(at, (at+z)%zones); owner >= 0 {
			owners = append(owners, f.nodes[owner].name)
		}
	}
	n.requester.Request(now, quota.Request{ID: f.requests, Tenant: tenant, Cost: cost}, owners)
	f.flush(now, at)
}

// flush sends the messages of a node's requester and records what was granted in time.
func (f *fleet) flush(now time.Duration, i int) {
	n := f.nodes[i]
	for _, a := range n.requester.TakeGrantRequests() {
		to := slices.IndexFunc(f.nodes, func(o *node) bool { return o.name == a.To })
		f.send(now, i, to, a)
	}
	for _, o := range n.requester.TakeOutcomes() {
		request := n.asked[o.ID]
		delete(n.asked, o.ID)
		if o.Granted && now <= o.Until {
			f.charges = append(f.charges, charge{at: now, cost: request.cost})
			continue
		}
		f.refused += request.cost
	}
}

func (f *fleet) send(now time.Duration, from, to int, message any) {
	delay := f.minDelay + time.Duration(f.rng.Int64N(int64(f.delayRange)))
	if from == to {
		delay = 0
	}
	f.inFlight = append(f.inFlight, delivery{at: now + delay, from: from, to: to, message: message})
}

// deliver hands over the messages that are due, in the order of their arrival.
func (f *fleet) deliver(now time.Duration) {
	for due := f.takeDue(now); len(due) > 0; due = f.takeDue(now) {
		for _, d := range due {
			f.receive(now, d)
		}
	}
}

func (f *fleet) takeDue(now time.Duration) []delivery {
	var due []delivery
	f.inFlight = slices.DeleteFunc(f.inFlight, func(d delivery) bool {
		if d.at > now {
			return false
		}
		if f.side[d.to] == f.side[d.from] && !f.dead[d.to] {
			due = append(due, d)
		}
		return true
	})
	return due
}

func (f *fleet) receive(now time.Duration, d delivery) {
	switch m := d.message.(type) {
	case quota.GrantRequest:
		grant := quota.Grant{RetryAfter: step, EmptyFor: step}
		if f.ownerOf(d.to, d.to%zones) == d.to {
			grant = f.nodes[d.to].owner.Take(now, m.Tenant, m.Cost)
		}
		f.send(now, d.to, d.from, quota.GrantResponse{ID: m.ID, Grant: grant})
	case quota.GrantResponse:
		f.nodes[d.to].requester.HandleResponse(now, f.nodes[d.from].name, m)
		f.flush(now, d.to)
	}
}
