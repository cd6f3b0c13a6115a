package modelcheck

import (
	"slices"

	"github.com/mallowbridge/mallowbridge/register"
)

// Apply takes one step.
func (c *Cluster) Apply(e Event) *Cluster {
	if e.Kind == round {
		n := c.gatherAll(int(e.What), e.Which)
		n.fail(n.majorityHolds())
		n.chosenHold()
		return n
	}
	n := c.clone()
	what := int(e.What)
	switch e.Kind {
	case deliver, double, mute:
		n.carry(e)
	case syncDisk:
		n.sync(what)
	case submit:
		n.order(what, c.plan.Orders[what].Home)
	case resend:
		n.left.Resends--
		n.order(what, 1-c.plan.Orders[what].Home)
	case timer:
		n.left.Timers--
		n.fire(what)
	case deadline:
		n.left.Deadlines--
		n.touch(what).FireDeadline()
		n.collect(what)
	case leave:
		n.left.Leaves--
		n.leave(uint64(e.What))
	case crashDisk:
		n.left.Crashes--
		n.crash(what)
	case restart:
		n.left.Restarts--
		n.restart(what)
	case wipe:
		n.left.Wipes--
		n.wipe(what)
		n.fail(n.majorityLeft())
	case replace:
		n.left.Replacements--
		n.replace(what, int(e.Which))
	case finish:
		n.left.Finishes--
		n.finish(what)
	case learn:
		n.left.Learns--
		n.learn(what)
	}
	n.fail(n.majorityHolds())
	n.chosenHold()
	return n
}

func (c *Cluster) carry(e Event) {
	m := c.mail[e.Which]
	if e.Kind == double {
		c.left.Doubles--
	} else {
		c.mail = slices.Delete(c.mail, int(e.Which), int(e.Which)+1)
	}
	if !m.request() {
		c.arrive(m)
		return
	}
	answer, leaves := c.receive(m, c.diskOf(m.disk))
	if e.Kind == mute {
		c.left.Mutes--
		leaves = false
	}
	if leaves {
		c.reply(answer)
	}
	c.mail = slices.DeleteFunc(c.mail, c.useless)
}

// reply posts an answer or, without a queue, hands it over.
func (c *Cluster) reply(m mail) {
	if c.plan.Queued {
		c.mail = append(c.mail, m)
		return
	}
	c.arrive(m)
}

func (c *Cluster) arrive(m mail) {
	p := c.touch(m.proposer)
	switch r := m.msg.(type) {
	case register.Promise:
		c.plan.Rules.OnPromise(p, r)
	case register.Accepted:
		p.OnAccepted(0, r)
	}
	c.collect(m.proposer)
}

// fire ends the proposer's wait; a wait before the next ballot ends with it, for nothing that it does shows in between.
func (c *Cluster) fire(at int) {
	p := c.touch(at)
	p.FireTimer()
	if p.BackingOff() {
		p.FireTimer()
	}
	c.collect(at)
}

// attempts is how many operations one order can stand for.
const attempts = 4

func (c *Cluster) order(order, at int) {
	o := c.plan.Orders[order]
	id := uint64(attempts*order) + uint64(c.orders[order].sent)
	c.orders[order].sent++
	c.touch(at)
	if o.evacuates() {
		c.evacuate(order, at, id)
		return
	}
	c.submit(operation{id: id, proposer: at, order: order}, c.plan.change(o), o.Kind == FullRead)
	c.collect(at)
}

// restart is a crash of the proposer's node: operations under way are forgotten, their callers hear nothing, and it knows no more
// than the bootstrap voters.
func (c *Cluster) restart(at int) {
	c.boots[at]++
	c.abandon(at)
	c.open = slices.DeleteFunc(c.open, func(o operation) bool { return o.proposer == at })
	c.known[at] = c.first
	c.proposers[at] = c.boot(at, c.first)
	c.mail = slices.DeleteFunc(c.mail, c.useless)
}

func (c *Cluster) nextChange() uint64 {
	c.changes++
	return uint64(attempts*len(c.orders)) + 2*c.changes
}

func (c *Cluster) replace(at, place int) {
	known := c.known[at]
	in := c.disks[c.spare(known)]
	voters := slices.Clone(known.Voters)
	voters[place] = register.Voter{Disk: in.acceptor.Disk, Name: in.name}
	c.touch(at)
	c.submit(operation{id: c.nextChange(), proposer: at, order: -1, begins: voters}, c.plan.Rules.Begin(known.Epoch, voters), false)
	c.collect(at)
}

func (c *Cluster) finish(at int) {
	c.touch(at)
	c.submit(operation{id: c.nextChange(), proposer: at, order: -1}, c.plan.Rules.Finish(c.known[at].Epoch), false)
	c.collect(at)
}

// learn brings the newest value that the other node knows, as gossip does.
func (c *Cluster) learn(at int) {
	c.known[at] = c.known[1-at]
	c.touch(at).LearnChosen(c.known[at])
}
