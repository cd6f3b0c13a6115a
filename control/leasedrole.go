package control

import (
	"time"

	"github.com/mallowbridge/mallowbridge/lease"
)

// leasedRole is work that one node does for all others under a lease. While none is done under a lease for leaseAfter, members take turns to
// request it; while none is done at all for workAfter, they take turns to work without it. Work without a lease does not end the search for a
// node that can get one.
type leasedRole struct {
	work                  singletonRole
	leaseAfter, workAfter time.Duration
}

// lease returns the role of requesting the lease. While a turn lasts, the lease of an earlier holder ends.
func (r leasedRole) lease() singletonRole {
	role := r.work
	role.turn = lease.TTL
	return role
}

// workRecord records when the work of a leased role was last known to be done by any node, and when under a lease; 0: never.
type workRecord struct{ doneAt, leasedAt time.Duration }

func (w *workRecord) done(now time.Duration, leased bool) {
	w.doneAt = now
	if leased {
		w.leasedAt = now
	}
}

// workRight is a node's right to do the work of a leased role at some time.
type workRight uint8

const (
	// noRight means that the work is another node's.
	noRight workRight = iota
	// byTurn means that the node has its turn to work without a lease.
	byTurn
	// byLease means that the node has the lease.
	byLease
)

// seekRole returns this node's right to do the work of a role, and the token of its lease if it has one. Times are counted from when this node
// was first able to take part.
func (n *Node) seekRole(now time.Duration, role leasedRole, record workRecord, from time.Duration) (workRight, lease.Token) {
	if n.mayLead(now) {
		n.seekLease(now, role, record, from)
		if token, holds := n.leases.Holds(now, role.work.name); holds {
			return byLease, token
		}
	}
	if n.hasTurn(now, role.work, now-max(record.doneAt, from)-role.workAfter) {
		return byTurn, lease.Token{}
	}
	return noRight, lease.Token{}
}

// seekLease renews the lease of a role, or requests it when this node has its turn. After the turn it gives back what a minority has granted,
// which would keep the next node from a majority.
func (n *Node) seekLease(now time.Duration, role leasedRole, record workRecord, from time.Duration) {
	_, holds := n.leases.Holds(now, role.work.name)
	starts := record.leasedAt == 0 && n.ranksFirst(role.work)
	if holds || starts || n.hasTurn(now, role.lease(), now-max(record.leasedAt, from)-role.leaseAfter) {
		n.sendToGrantors(n.leases.Acquire(now, role.work.name, n.value))
		return
	}
	n.releaseRole(role)
}

func (n *Node) releaseRole(role leasedRole) {
	n.sendToGrantors(n.leases.Release(role.work.name, n.value))
}

// mayLead reports whether this node is up to date and in contact, so that it may work for the others.
func (n *Node) mayLead(now time.Duration) bool {
	return n.joining.joined && n.value != nil && !n.serving.leaving && !n.Members.Isolated(now)
}
