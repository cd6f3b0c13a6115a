package control

import (
	"time"

	"github.com/mallowbridge/mallowbridge/lease"
	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/register"
)

type Promised struct{ Ballot register.Ballot }

type AcceptedEntry struct {
	Ballot register.Ballot
	Value  *register.Value
}

type Granted struct {
	Duty   string
	Record lease.Record
}

const (
	stalledAfter = time.Second
	MaxHeld      = 256
)

func (n *Node) vote(now time.Duration, r Recv) {
	switch m := r.Msg.(type) {
	case register.Promise:
		n.prop.OnPromise(now, m)
		return
	case register.Accepted:
		n.prop.OnAccepted(now, m)
		return
	case lease.Grant:
		if n.value != nil {
			n.hold.OnGrant(now, m, n.value)
		}
		return
	}
	if n.voter == nil || n.broken != nil || len(n.held) >= MaxHeld {
		return
	}
	switch m := r.Msg.(type) {
	case register.Prepare:
		a, write := n.voter.Prepare(m)
		n.reply(now, r.From, a, a.Disk != "", write, Promised{Ballot: m.Ballot})
	case register.Accept:
		a, write := n.voter.Accept(m)
		if a.OK {
			n.grants.Reseat(now, m.Value.Seat)
		}
		n.reply(now, r.From, a, a.Disk != "", write, AcceptedEntry{Ballot: m.Ballot, Value: m.Value})
	case lease.Ask:
		g, write := n.grants.Ask(now, m)
		n.reply(now, r.From, g, g.Disk != "", write, Granted{Duty: m.Duty, Record: lease.Record{Holder: m.Holder, Mark: m.Mark}})
	case lease.Drop:
		n.grants.Drop(m)
	}
}

func (n *Node) reply(now time.Duration, to string, msg any, ours, write bool, entry any) {
	if !ours {
		return
	}
	if write {
		n.ticket++
		n.out.Writes = append(n.out.Writes, Write{Ticket: n.ticket, Entry: entry})
		if len(n.held) == 0 {
			n.oldest = now
		}
	}
	if !write && len(n.held) == 0 {
		n.send(to, msg)
		return
	}
	n.held = append(n.held, held{ticket: n.ticket, send: Send{To: to, Msg: msg}})
}

func (n *Node) saved(now time.Duration, s Saved) {
	if s.Err != nil {
		n.broken = s.Err
		n.held = nil
		n.change("disk broke down", s.Err.Error())
		n.unfit(now, true)
		return
	}
	if n.broken != nil && s.Mended {
		n.broken = nil
		n.change("disk works again", "")
	}
	for len(n.held) > 0 && n.held[0].ticket <= s.Ticket {
		n.send(n.held[0].send.To, n.held[0].send.Msg)
		n.held = n.held[1:]
		n.oldest = now
	}
}

func (n *Node) fitness(now time.Duration) {
	if n.voter == nil || n.broken != nil {
		return
	}
	n.unfit(now, len(n.held) > 0 && now-n.oldest > stalledAfter)
}

func (n *Node) unfit(now time.Duration, yes bool) {
	if n.Kin.Self.Unfit == yes {
		return
	}
	n.change("disk fitness", map[bool]string{true: "unfit", false: "fit"}[yes])
	n.Kin.Update(now, func(m *membership.Member) { m.Unfit = yes })
}

func (n *Node) ask(now, within time.Duration, change register.Change, full bool, done ending) {
	n.opSeq++
	n.waiting[n.opSeq] = done
	n.prop.Do(now, now+within, n.opSeq, change, full)
}

func (n *Node) read(now, within time.Duration, full bool) {
	n.reading = true
	n.ask(now, within, nil, full, func(time.Duration, register.Result) { n.reading = false })
}

func (n *Node) replyTo(id uint64, op string) (done ending) {
	return func(_ time.Duration, r register.Result) {
		a := Answer{ID: id, Value: r.Value, Err: r.Err}
		if r.Value != nil {
			a.Mark = r.Value.Mark
			if mark, ok := r.Value.Done(op); ok {
				a.Mark = mark
			}
		}
		n.out.Answers = append(n.out.Answers, a)
	}
}

func (n *Node) register(now time.Duration) {
	sends, results := n.prop.Take()
	n.toDisks(sends)
	for _, r := range results {
		if r.Value != nil {
			fresh := r.Value.Newer(n.value)
			n.learn(now, r.Value)
			if fresh {
				n.rumorSends(n.Rumor.Hurry(n.peers()))
			}
			n.caughtUp(now, "a majority was read")
		}
		done := n.waiting[r.ID]
		delete(n.waiting, r.ID)
		done(now, r)
	}
}

func (n *Node) mind(now time.Duration) {
	if n.voter == nil || n.broken != nil || !n.joined || n.reading || now < n.reread {
		return
	}
	mine := n.voter.Value
	switch {
	case mine.Newer(n.value):
		if n.ahead == 0 {
			n.ahead = now
		}
	case n.value != nil && n.value.Newer(mine) && n.votes():
		if n.behind == 0 {
			n.behind = now
		}
	default:
		n.ahead, n.behind = 0, 0
		return
	}
	if (n.ahead != 0 && now-n.ahead > 300*time.Millisecond) || (n.behind != 0 && now-n.behind > 500*time.Millisecond) {
		n.ahead, n.behind, n.reread = 0, 0, now+700*time.Millisecond
		n.read(now, 2*time.Second, true)
	}
}

func (n *Node) votes() (yes bool) {
	for _, v := range n.value.All() {
		if v.Disk == n.voter.Disk {
			return true
		}
	}
	return false
}
