package modelcheck

import (
	"slices"

	"github.com/mallowbridge/mallowbridge/register"
)

// Apply takes one step.
func (c *RegisterState) Apply(e Event) *RegisterState {
	if e.Kind == round {
		n := c.gatherAll(int(e.Target), e.Arg)
		n.fail(n.majorityHolds())
		n.chosenHold()
		return n
	}
	n := c.clone()
	what := int(e.Target)
	switch e.Kind {
	case deliver, double, mute:
		n.carry(e)
	case syncDisk:
		n.sync(what)
	case submit:
		n.order(what, c.plan.Requests[what].FirstProposer)
	case resend:
		n.left.Resends--
		n.order(what, 1-c.plan.Requests[what].FirstProposer)
	case timer:
		n.left.Timers--
		n.fire(what)
	case deadline:
		n.left.Deadlines--
		n.touch(what).FireDeadline()
		n.collect(what)
	case leave:
		n.left.Disconnects--
		n.leave(uint64(e.Target))
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
		n.replace(what, int(e.Arg))
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

func (c *RegisterState) carry(e Event) {
	m := c.mail[e.Arg]
	if e.Kind == double {
		c.left.Duplicates--
	} else {
		c.mail = slices.Delete(c.mail, int(e.Arg), int(e.Arg)+1)
	}
	if !m.request() {
		c.arrive(m)
		return
	}
	answer, leaves := c.receive(m, c.diskOf(m.disk))
	if e.Kind == mute {
		c.left.LostReplies--
		leaves = false
	}
	if leaves {
		c.reply(answer)
	}
	c.mail = slices.DeleteFunc(c.mail, c.useless)
}

// reply posts an answer or, without a queue, hands it over.
func (c *RegisterState) reply(m mail) {
	if c.plan.QueuedReplies {
		c.mail = append(c.mail, m)
		return
	}
	c.arrive(m)
}

func (c *RegisterState) arrive(m mail) {
	p := c.touch(m.proposer)
	switch r := m.msg.(type) {
	case register.Promise:
		c.plan.Protocol.OnPromise(p, r)
	case register.Accepted:
		p.OnAccepted(0, r)
	}
	c.collect(m.proposer)
}

// fire ends the proposer's wait; a wait before the next ballot ends with it, for nothing that it does shows in between.
func (c *RegisterState) fire(at int) {
	p := c.touch(at)
	p.FireTimer()
	if p.BackingOff() {
		p.FireTimer()
	}
	c.collect(at)
}

// attempts is how many operations one order can stand for.
const attempts = 4

func (c *RegisterState) order(order, at int) {
	o := c.plan.Requests[order]
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
func (c *RegisterState) restart(at int) {
	c.boots[at]++
	c.abandon(at)
	c.open = slices.DeleteFunc(c.open, func(o operation) bool { return o.proposer == at })
	c.known[at] = c.first
	c.proposers[at] = c.boot(at, c.first)
	c.mail = slices.DeleteFunc(c.mail, c.useless)
}

func (c *RegisterState) nextChange() uint64 {
	c.changes++
	return uint64(attempts*len(c.orders)) + 2*c.changes
}

func (c *RegisterState) replace(at, place int) {
	known := c.known[at]
	in := c.disks[c.spare(known)]
	voters := slices.Clone(known.Voters)
	voters[place] = register.Voter{Disk: in.acceptor.Disk, Name: in.name}
	c.touch(at)
	c.submit(operation{id: c.nextChange(), proposer: at, order: -1, begins: voters}, c.plan.Protocol.BeginVoterChange(known.Epoch, voters), false)
	c.collect(at)
}

func (c *RegisterState) finish(at int) {
	c.touch(at)
	c.submit(operation{id: c.nextChange(), proposer: at, order: -1}, c.plan.Protocol.FinishVoterChange(c.known[at].Epoch), false)
	c.collect(at)
}

// learn brings the newest value that the other node knows, as gossip does.
func (c *RegisterState) learn(at int) {
	c.known[at] = c.known[1-at]
	c.touch(at).LearnChosen(c.known[at])
}
