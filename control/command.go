package control

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/register"
)

const (
	within = 4 * time.Second
	// soon is how long an edit is tried before its caller is better served by another node.
	soon = 1500 * time.Millisecond
)

func (n *Node) command(now time.Duration, c Command) {
	switch op := c.Op.(type) {
	case Put:
		if _, err := n.cfg.Read(op.Body); err != nil {
			n.answer(c.ID, err)
			return
		}
		n.ask(now, within, put(op), false, n.replyTo(c.ID, op.ID))
	case Edit:
		n.ask(now, soon, edit(op), false, n.replyTo(c.ID, op.ID))
	case Get:
		n.ask(now, within, nil, false, n.replyTo(c.ID, ""))
	case Empty:
		n.ask(now, within, empty(op), false, n.replyTo(c.ID, op.ID))
	case Found:
		n.found(now, c.ID, op)
	case Swap:
		n.swap(now, c.ID, op)
	case Listed:
		n.listed(now, op)
		n.answer(c.ID, nil)
	case Witness:
		n.witness.ask(now, n, c.ID, op)
	case Libs:
		n.Kin.Update(now, func(m *membership.Member) { m.Libs = op.N })
		n.answer(c.ID, nil)
	case Seeds:
		n.cfg.Seeds = op.Addrs
		n.answer(c.ID, nil)
	case Depart:
		n.depart(now)
		n.answer(c.ID, nil)
	}
}

func (n *Node) answer(id uint64, err error) {
	n.out.Answers = append(n.out.Answers, Answer{ID: id, Err: err})
}

func put(op Put) (change register.Change) {
	return func(cur *register.Value) (next *register.Value, err error) {
		if _, done := cur.Done(op.ID); done {
			return nil, nil
		}
		if cur.Mark != op.Expect {
			return nil, &register.ConflictError{Mark: cur.Mark}
		}
		cur.Mark++
		cur.Body = op.Body
		cur.Note(op.ID)
		return cur, nil
	}
}

func edit(op Edit) (change register.Change) {
	return func(cur *register.Value) (next *register.Value, err error) {
		if _, done := cur.Done(op.ID); done {
			return nil, nil
		}
		body, err := op.Apply(cur.Body)
		if err != nil {
			return nil, err
		}
		cur.Mark++
		cur.Body = body
		cur.Note(op.ID)
		return cur, nil
	}
}

func empty(op Empty) (change register.Change) {
	return func(cur *register.Value) (next *register.Value, err error) {
		if _, done := cur.Done(op.ID); done {
			return nil, nil
		}
		at := slices.Index(cur.Emptied, op.Domain)
		if (at >= 0) != op.Restore {
			return nil, nil
		}
		if op.Restore {
			cur.Emptied = slices.Delete(cur.Emptied, at, at+1)
		} else {
			cur.Emptied = append(cur.Emptied, op.Domain)
		}
		cur.Mark++
		cur.Note(op.ID)
		return cur, nil
	}
}

func (n *Node) seats(names []string) (vs []register.Voter, err error) {
	for _, name := range names {
		m, ok := n.Kin.Table.Get(name)
		switch {
		case !ok:
			return nil, &NameError{Name: name, Why: "no such node is known"}
		case m.Disk == "":
			return nil, &NameError{Name: name, Why: "has no disk"}
		case !m.Live():
			return nil, &NameError{Name: name, Why: "is " + m.State.String()}
		case slices.ContainsFunc(vs, func(v register.Voter) bool { return v.Disk == m.Disk }):
			return nil, &NameError{Name: name, Why: "is named twice"}
		}
		vs = append(vs, register.Voter{Disk: m.Disk, Name: name})
	}
	if len(vs) == 0 {
		return nil, &NameError{Name: "voters", Why: "must be named"}
	}
	return vs, nil
}

func (n *Node) found(now time.Duration, id uint64, op Found) {
	vs, err := n.seats(op.Names)
	if err == nil && n.known() != nil {
		err = &register.ConflictError{Mark: n.known().Mark}
	}
	if err != nil {
		n.answer(id, err)
		return
	}
	fleet := fmt.Sprintf("%s.%s.%s", n.cfg.Name, n.cfg.Boot, strconv.FormatUint(n.cfg.Seed, 36))
	n.opSeq++
	n.waiting[n.opSeq] = n.replyTo(id, "")
	n.prop.Found(now, now+within, n.opSeq, &register.Value{Fleet: fleet, Voters: vs})
}

func (n *Node) swap(now time.Duration, id uint64, op Swap) {
	vs, err := n.seats(op.Names)
	if err != nil {
		n.answer(id, err)
		return
	}
	n.reseat(now, op.ID, vs, n.replyTo(id, ""))
}

func (n *Node) reseat(now time.Duration, id string, vs []register.Voter, done ending) {
	n.ask(now, within, begin(id, vs), false, func(now time.Duration, r register.Result) {
		if r.Err != nil {
			done(now, r)
			return
		}
		n.ask(now, within, settleVoters, false, done)
	})
}

func begin(id string, vs []register.Voter) (change register.Change) {
	return func(cur *register.Value) (next *register.Value, err error) {
		if _, done := cur.Done(id); done || slices.Equal(cur.Voters, vs) || slices.Equal(cur.Next, vs) {
			return nil, nil
		}
		if len(cur.Next) > 0 {
			return nil, &register.ConflictError{Mark: cur.Mark}
		}
		cur.Next = vs
		cur.Seat++
		cur.Note(id)
		return cur, nil
	}
}

func settleVoters(cur *register.Value) (next *register.Value, err error) {
	if len(cur.Next) == 0 {
		return nil, nil
	}
	cur.Voters, cur.Next = cur.Next, nil
	cur.Seat++
	return cur, nil
}

func (n *Node) depart(now time.Duration) {
	if n.left {
		return
	}
	n.left = true
	if n.value != nil {
		for _, d := range n.hold.Held() {
			n.toDisks(n.hold.Drop(d, n.value))
		}
	}
	n.Kin.Update(now, func(m *membership.Member) { m.State = membership.Left })
	n.spread(now)
	for _, p := range n.peers() {
		n.send(p.Addr, n.Rumor.News([]string{"m/" + n.cfg.Name}))
	}
	n.feed(now)
}
