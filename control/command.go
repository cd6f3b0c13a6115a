package control

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/register"
)

// proposeTimeout is the timeout of the node's own operations, and of a Put without a deadline.
const proposeTimeout = 4 * time.Second

// votersScope is the scope under which changes of voters are logged in the order log. No zone has this name.
const votersScope = "\x00voters"

func (n *Node) command(now time.Duration, c Command) {
	switch op := c.Op.(type) {
	case Put:
		if _, err := n.config.Read(op.Document); err != nil {
			n.answer(Answer{ID: c.ID, Err: err})
			return
		}
		if c.Deadline == 0 {
			c.Deadline = now + proposeTimeout
		}
		n.submitRequest(now, c, putChange(op), n.replyTo(c.ID, op.ID))
	case Edit:
		n.submitRequest(now, c, editChange(op), n.replyTo(c.ID, op.ID))
	case Get:
		n.submitRequest(now, c, nil, n.replyTo(c.ID, ""))
	case Evacuate:
		n.submitGuardedRequest(now, c, evacuateChange(op), n.replyTo(c.ID, op.ID))
	case Bootstrap:
		n.bootstrap(now, c.ID, op)
	case ReplaceVoters:
		n.replaceVoters(now, c.ID, op)
	case SetReplicaStates:
		n.setReplicaStates(now, op)
		n.answer(Answer{ID: c.ID})
	case Witness:
		n.witness.ask(now, n, c.ID, op)
	case SetEmbeddedRouters:
		n.Members.Update(now, func(m *membership.Member) { m.EmbeddedRouters = op.Count })
		n.answer(Answer{ID: c.ID})
	case SetSeeds:
		n.config.Seeds = op.Addrs
		n.answer(Answer{ID: c.ID})
	case Retire:
		n.Members.Update(now, func(m *membership.Member) { m.Retiring = true })
		n.answer(Answer{ID: c.ID})
	case Leave:
		n.leave(now)
		n.answer(Answer{ID: c.ID})
	}
}

func (n *Node) votersNamed(names []string) ([]register.Voter, error) {
	var vs []register.Voter
	for _, name := range names {
		m, ok := n.Members.Table.Get(name)
		switch {
		case !ok:
			return nil, &NameError{Name: name, Cause: ErrUnknownNode}
		case m.Disk == "":
			return nil, &NameError{Name: name, Cause: ErrNoDisk}
		case !m.Live():
			return nil, &NameError{Name: name, Cause: &NodeStateError{State: m.State}}
		case slices.ContainsFunc(vs, func(v register.Voter) bool { return v.Disk == m.Disk }):
			return nil, &NameError{Name: name, Cause: ErrNamedTwice}
		}
		vs = append(vs, register.Voter{Disk: m.Disk, Name: name})
	}
	if len(vs) == 0 {
		return nil, &NameError{Name: "voters", Cause: ErrNoneNamed}
	}
	return vs, nil
}

func (n *Node) bootstrap(now time.Duration, id uint64, op Bootstrap) {
	vs, err := n.votersNamed(op.Names)
	if err == nil && n.knownValue() != nil {
		err = &register.ConflictError{Version: n.knownValue().Version}
	}
	if err != nil {
		n.answer(Answer{ID: id, Err: err})
		return
	}
	fleet := fmt.Sprintf("%s.%s.%s", n.config.Name, n.config.BootID, strconv.FormatUint(n.config.Seed, 36))
	n.proposer.Bootstrap(now, now+proposeTimeout, n.operations.add(now, n.replyTo(id, "")), &register.Value{Fleet: fleet, Voters: vs})
}

func (n *Node) replaceVoters(now time.Duration, id uint64, op ReplaceVoters) {
	vs, err := n.votersNamed(op.Names)
	if err != nil {
		n.answer(Answer{ID: id, Err: err})
		return
	}
	n.changeVoters(now, op.ID, vs, n.replyTo(id, ""))
}

func (n *Node) changeVoters(now time.Duration, id string, vs []register.Voter, done completion) {
	n.proposeUrgent(now, beginVoterChange(id, vs), func(now time.Duration, r register.Result) {
		if r.Err != nil {
			done(now, r)
			return
		}
		n.proposeUrgent(now, finishVoterChangeAt(r.Value.Epoch), done)
	})
}

func beginVoterChange(id string, vs []register.Voter) register.Change {
	return func(cur *register.Value) (*register.Value, error) {
		if _, done := cur.AppliedAt(id); done || slices.Equal(cur.Voters, vs) || slices.Equal(cur.NextVoters, vs) {
			return nil, nil
		}
		if len(cur.NextVoters) > 0 {
			return nil, &register.ConflictError{Version: cur.Version}
		}
		cur.NextVoters = vs
		cur.Epoch++
		cur.LogScoped(votersScope, id, false)
		return cur, nil
	}
}

func (n *Node) leave(now time.Duration) {
	if n.serving.leaving {
		return
	}
	n.serving.leaving = true
	if n.value != nil {
		for _, role := range n.leases.Roles() {
			n.sendToGrantors(n.leases.Release(role, n.value))
		}
	}
	n.Members.Update(now, func(m *membership.Member) { m.State = membership.Left })
	n.publishMembers(now)
	for _, p := range n.peers() {
		n.send(p.Addr, n.Gossip.Update([]string{"m/" + n.config.Name}))
	}
	n.publishServing(now)
}
