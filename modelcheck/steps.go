package modelcheck

import (
	"fmt"
	"slices"

	"github.com/mallowbridge/mallowbridge/register"
)

// Kinds of events of a Cluster. What is a proposer, a disk or an order; Which is a place in the mail, or a voter.
const (
	deliver uint8 = iota
	double
	mute
	syncDisk
	submit
	resend
	timer
	deadline
	crashDisk
	restart
	wipe
	replace
	finish
	learn
	leave
	round
)

// Events are the steps that are possible now.
func (c *RegisterState) Events() []Event {
	var events []Event
	events = c.networkEvents(events)
	events = c.orderEvents(events)
	if c.left.Disconnects > 0 {
		events = c.callerLeaves(events)
	}
	events = c.proposerEvents(events)
	return c.diskEvents(events)
}

func (c *RegisterState) networkEvents(events []Event) []Event {
	for at, m := range c.mail {
		if c.gathered(m) {
			continue
		}
		events = append(events, Event{Kind: deliver, Arg: uint16(at)})
		if c.left.Duplicates > 0 {
			events = append(events, Event{Kind: double, Arg: uint16(at)})
		}
		if m.request() && c.left.LostReplies > 0 && !c.plan.QueuedReplies && !c.plan.DelayedWrites {
			events = append(events, Event{Kind: mute, Arg: uint16(at)})
		}
	}
	return events
}

func (c *RegisterState) orderEvents(events []Event) []Event {
	for at, p := range c.orders {
		switch {
		case !c.plan.RequestsBeforeAcknowledgement && !c.plan.Requests[at].knownIn(c.latest):
		case !c.behind(c.plan.Requests[at]):
		case p.sent == 0:
			events = append(events, Event{Kind: submit, Target: uint8(at)})
		case p.sent == 1 && c.left.Resends > 0 && c.mayResend(at):
			events = append(events, Event{Kind: resend, Target: uint8(at)})
		}
	}
	return events
}

// behind tells whether the order that its operator gave before is over.
func (c *RegisterState) behind(o OperatorRequest) bool {
	if o.After == "" {
		return true
	}
	before := slices.IndexFunc(c.plan.Requests, func(b OperatorRequest) bool { return b.ID == o.After })
	sent := c.orders[before].sent
	return sent > 0 && c.calls[attempts*before+int(sent)-1].state > waits
}

func (c *RegisterState) mayResend(order int) bool {
	o := c.plan.Requests[order]
	return !o.reads() && (!o.evacuates() || c.mayRepeat(order))
}

func (c *RegisterState) proposerEvents(events []Event) []Event {
	for at, p := range c.proposers {
		if c.plan.AtomicRounds && p.Preparing() {
			events = c.rounds(events, at)
		}
		for _, possible := range []struct {
			kind uint8
			now  bool
		}{
			{timer, p.Busy() && c.left.Timers > 0},
			{deadline, p.Queued() && c.left.Deadlines > 0},
			{restart, c.left.Restarts > 0},
			{learn, c.left.Learns > 0 && c.known[1-at].Newer(c.known[at])},
			{finish, c.left.Finishes > 0 && len(c.known[at].NextVoters) > 0 && !p.Busy()},
		} {
			if possible.now {
				events = append(events, Event{Kind: possible.kind, Target: uint8(at)})
			}
		}
		if c.left.Replacements > 0 {
			events = c.replacements(events, at)
		}
	}
	return events
}

// replacements are the changes of voters that a node would begin by what it knows: of a lost voter, or of any, if planned.
func (c *RegisterState) replacements(events []Event, at int) []Event {
	known := c.known[at]
	if len(known.NextVoters) > 0 || c.spare(known) < 0 {
		return events
	}
	for place, v := range known.Voters {
		if c.diskOf(v.Disk) < 0 || c.plan.PlannedReplacements {
			events = append(events, Event{Kind: replace, Target: uint8(at), Arg: uint16(place)})
		}
	}
	return events
}

// spare is a disk that is there and does not vote.
func (c *RegisterState) spare(known *register.Value) int {
	return slices.IndexFunc(c.disks, func(d disk) bool {
		return !slices.ContainsFunc(known.AllVoters(), func(v register.Voter) bool { return v.Disk == d.acceptor.Disk })
	})
}

func (c *RegisterState) diskEvents(events []Event) []Event {
	for at, d := range c.disks {
		what := uint8(at)
		if d.unwritten() {
			events = append(events, Event{Kind: syncDisk, Target: what})
		}
		if c.left.Crashes > 0 && (d.unwritten() || c.plan.Protocol.ReplyBeforeWrite) {
			events = append(events, Event{Kind: crashDisk, Target: what})
		}
		if c.left.Wipes > 0 && c.mayLose(d.acceptor.Disk) {
			events = append(events, Event{Kind: wipe, Target: what})
		}
	}
	return events
}

// mayLose keeps to the tolerance: a disk may be lost if no more than the tolerated number of voters is lost with it, and while a
// change of voters is under way only as the first.
func (c *RegisterState) mayLose(id string) bool {
	dropped := c.lost(c.latest.AllVoters())
	if !slices.ContainsFunc(c.latest.AllVoters(), func(v register.Voter) bool { return v.Disk == id }) {
		return false
	}
	return dropped < tolerated && (len(c.latest.NextVoters) == 0 || c.left.Wipes == c.plan.Budget.Wipes)
}

// Describe tells what an event of this state is.
func (c *RegisterState) Describe(e Event) string {
	name := func() string { return string(rune('p'+e.Target)) + string(rune('1'+c.boots[e.Target])) }
	switch e.Kind {
	case deliver:
		return "delivered: " + c.mail[e.Arg].String()
	case double:
		return "delivered and kept to come again: " + c.mail[e.Arg].String()
	case mute:
		return "delivered, answer lost: " + c.mail[e.Arg].String()
	case syncDisk:
		return "disk " + c.disks[e.Target].acceptor.Disk + " has written"
	case submit:
		o := c.plan.Requests[e.Target]
		return fmt.Sprintf("order %s is sent to %s", o, c.proposers[o.FirstProposer].ID)
	case resend:
		o := c.plan.Requests[e.Target]
		return fmt.Sprintf("order %s is sent again, to %s", o, c.proposers[1-o.FirstProposer].ID)
	case timer:
		return "timer of " + name()
	case deadline:
		return "deadline at " + name()
	case round:
		return name() + " is promised its ballot by" + c.pathNames(e.Arg)
	case leave:
		return "the caller of " + c.plan.callID(int(e.Target)) + " leaves"
	case crashDisk:
		return "disk " + c.disks[e.Target].acceptor.Disk + " crashes and restarts"
	case restart:
		return name() + " restarts and forgets what it was doing"
	case wipe:
		return "disk " + c.disks[e.Target].acceptor.Disk + " is lost; its machine comes back with an empty one"
	case replace:
		return fmt.Sprintf("%s begins to replace voter %s by %s", name(), c.known[e.Target].Voters[e.Arg].Disk, c.disks[c.spare(c.known[e.Target])].acceptor.Disk)
	case finish:
		return name() + " finishes a change of voters that it heard of"
	}
	return name() + " hears of the newest value that the other one knows"
}

// String names the order, its kind and base.
func (o OperatorRequest) String() string {
	switch o.Kind {
	case Put:
		return fmt.Sprintf("%s (put on revision %d)", o.ID, o.BaseVersion)
	case Edit:
		return fmt.Sprintf("%s (edit of revision %d)", o.ID, o.BaseVersion)
	case Evacuate:
		return o.ID + " (evacuate)"
	case Restore:
		return o.ID + " (restore)"
	case FullRead:
		return o.ID + " (read of all)"
	}
	return o.ID + " (read)"
}

func (m mail) String() string {
	from := string(rune('p' + m.proposer))
	switch r := m.msg.(type) {
	case register.Prepare:
		return fmt.Sprintf("%s asks %s to prepare %d%s (look %t)", from, r.Disk, r.Ballot.N, r.Ballot.By, r.ReadOnly)
	case register.Accept:
		return fmt.Sprintf("%s asks %s to accept %d%s: %s", from, r.Disk, r.Ballot.N, r.Ballot.By, brief(r.Value))
	case register.Promise:
		return fmt.Sprintf("%s answers %s: promise %t of %d%s, accepted %d%s: %s", r.Disk, from, r.OK, r.Promised.N, r.Promised.By, r.Accepted.N, r.Accepted.By, brief(r.Value))
	case register.Accepted:
		return fmt.Sprintf("%s answers %s: accepted %t, promised %d%s", r.Disk, from, r.OK, r.Promised.N, r.Promised.By)
	}
	return ""
}

func brief(v *register.Value) string {
	if v == nil {
		return "nothing"
	}
	text := fmt.Sprintf("revision %d epoch %d %q voters", v.Version, v.Epoch, v.Document)
	for _, w := range v.Voters {
		text += " " + w.Disk
	}
	if len(v.NextVoters) > 0 {
		text += " next"
	}
	for _, w := range v.NextVoters {
		text += " " + w.Disk
	}
	return text
}
