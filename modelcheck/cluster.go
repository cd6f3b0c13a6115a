package modelcheck

import (
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/register"
)

const (
	proposers = 2
	// tolerated is how many of three voters may be lost together.
	tolerated  = 1
	noDeadline = time.Hour
)

// mail is a request on its way to the disk that it names, or an answer on its way to the proposer.
type mail struct {
	proposer int
	disk     string
	msg      message
	// hash leaves out the disk's name.
	hash uint64
}

func newMail(proposer int, disk string, msg message) mail {
	return mail{proposer: proposer, disk: disk, msg: msg, hash: hashOf(proposer, msg)}
}

// message is one of the register's four messages.
type message interface {
	AppendFingerprint(b []byte) []byte
}

// operation is one attempt of an order, or one half of a change of voters, that a proposer has not answered yet.
type operation struct {
	id       uint64
	proposer int
	// order is the index of the order, or -1.
	order int
	// begins are the voters of the first half of a change of voters, or nil.
	begins []register.Voter
	// floor is the newest version that anybody was told of before the operation began.
	floor version
}

type progress struct {
	sent               uint8
	confirmed, refused bool
}

// RegisterState is one state of a world of the register.
type RegisterState struct {
	plan         *RegisterModel
	left         Budget
	proposers    [proposers]*register.Proposer
	boots        [proposers]uint8
	known        [proposers]*register.Value
	disks        []disk
	mail         []mail
	open         []operation
	orders       []progress
	calls        []call
	changes      uint64
	acknowledged []acknowledged
	latest       *register.Value
	first        *register.Value
	// replaced are lost disks that a told value has let go.
	replaced []string
	broken   error
}

// NewRegisterState is the first state of a world: the register is bootstrapped, all voters hold its first value.
func NewRegisterState(plan RegisterModel) *RegisterState {
	first := &register.Value{Fleet: "f"}
	for _, id := range plan.Disks[:plan.Voters] {
		first.Voters = append(first.Voters, register.Voter{Disk: id, Name: id})
	}
	c := &RegisterState{plan: &plan, left: plan.Budget, orders: make([]progress, len(plan.Requests)), calls: make([]call, attempts*len(plan.Requests)), latest: first, first: first}
	c.acknowledged = []acknowledged{plan.tell(first)}
	for at, id := range plan.Disks {
		d := disk{name: id, synced: register.State{Disk: id}}
		if at < plan.Voters {
			founded := register.Ballot{By: "founder"}
			d.synced = register.State{Disk: id, Promised: founded, Accepted: founded, Value: first}
		}
		d.acceptor = register.Acceptor{State: d.synced}
		c.disks = append(c.disks, d)
	}
	for at := range c.proposers {
		c.proposers[at], c.known[at] = c.boot(at, first), first
	}
	return c
}

func (c *RegisterState) boot(at int, known *register.Value) *register.Proposer {
	p := register.NewProposer(string(rune('p'+at))+string(rune('1'+c.boots[at])), 0).Clone()
	p.LearnVoters(known)
	return p
}

// clone copies what every step may change; proposers are copied when they are touched.
func (c *RegisterState) clone() *RegisterState {
	n := &RegisterState{}
	*n = *c
	n.disks = slices.Clone(c.disks)
	n.mail = slices.Clone(c.mail)
	n.open = slices.Clone(c.open)
	n.orders = slices.Clone(c.orders)
	n.calls = slices.Clone(c.calls)
	n.acknowledged = slices.Clone(c.acknowledged)
	return n
}

// Broken is the invariant that the last step broke.
func (c *RegisterState) BrokenInvariant() error { return c.broken }

// touch returns the proposer for a change in this state alone.
func (c *RegisterState) touch(at int) *register.Proposer {
	c.proposers[at] = c.proposers[at].Clone()
	return c.proposers[at]
}

func (c *RegisterState) diskOf(id string) int {
	return slices.IndexFunc(c.disks, func(d disk) bool { return d.acceptor.Disk == id })
}

// submit hands an operation to a proposer, changes of voters as urgent ones; the caller collects.
func (c *RegisterState) submit(o operation, change register.Change, full bool) {
	c.enter(o)
	if o.order < 0 {
		c.proposers[o.proposer].SubmitUrgent(0, noDeadline, o.id, change)
		return
	}
	if full {
		c.proposers[o.proposer].SubmitFull(0, noDeadline, o.id, change)
		return
	}
	c.proposers[o.proposer].Submit(0, noDeadline, o.id, change)
}

// enter notes an operation that begins.
func (c *RegisterState) enter(o operation) {
	o.floor = c.plan.versionOf(c.latest)
	c.open = append(c.open, o)
	slices.SortFunc(c.open, func(a, b operation) int { return int(a.id) - int(b.id) })
}

// collect posts what the proposer sends and tells callers what it answers, until it does neither.
func (c *RegisterState) collect(at int) {
	for {
		sends, results := c.proposers[at].TakeOutput()
		if len(sends)+len(results) == 0 {
			break
		}
		for _, s := range sends {
			if c.diskOf(s.Disk) >= 0 {
				c.mail = append(c.mail, newMail(at, s.Disk, s.Msg.(message)))
			}
		}
		for _, r := range results {
			c.answered(at, r)
		}
	}
	c.mail = slices.DeleteFunc(c.mail, c.useless)
}

// answered ends an operation.
func (c *RegisterState) answered(at int, r register.Result) {
	i := slices.IndexFunc(c.open, func(o operation) bool { return o.id == r.ID && o.proposer == at })
	if i < 0 {
		return
	}
	o := c.open[i]
	c.open = slices.Delete(c.open, i, i+1)
	if r.Value.Newer(c.known[at]) {
		c.known[at] = r.Value
		c.proposers[at].LearnChosen(r.Value)
	}
	c.check(o, r)
	if o.begins != nil && r.Err == nil {
		c.submit(operation{id: o.id + 1, proposer: at, order: -1}, c.plan.Protocol.FinishVoterChange(r.Value.Epoch), false)
	}
}
