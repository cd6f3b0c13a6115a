package modelcheck

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mallowbridge/mallowbridge/lease"
	"github.com/mallowbridge/mallowbridge/register"
)

const (
	holders   = 2
	leaseRole = "d"
)

// LeaseBudget is how often each thing may happen in one trace. Loss, delay and reordering of requests, and cuts, need no budget.
// Acquires are for each holder; Mutes lose a grant, unless grants are queued.
type LeaseBudget struct{ Acquires, ClockAdvances, Restarts, Duplicates, LostGrants uint8 }

// LeaseProtocol are the functions that a world of leases is made of. Tests put one that misbehaves in place of a real one.
type LeaseProtocol struct {
	HandleRequest func(g *lease.Grantor, now time.Duration, m lease.Request) lease.Grant
	Restart       func(g *lease.Grantor, now time.Duration) *lease.Grantor
	ChangeEpoch   func(g *lease.Grantor, now time.Duration, epoch uint64)
	Holds         func(h *lease.Holder, now time.Duration) bool
	// IgnoresEpoch tells that Request may grant in an epoch that is over, so that such requests matter.
	IgnoresEpoch bool
}

// ProductionLeaseProtocol are the rules as they run.
func ProductionLeaseProtocol() LeaseProtocol {
	return LeaseProtocol{
		HandleRequest: func(g *lease.Grantor, now time.Duration, m lease.Request) lease.Grant {
			r, _ := g.HandleRequest(now, m)
			return r
		},
		Restart: func(g *lease.Grantor, now time.Duration) *lease.Grantor {
			return lease.NewGrantor(g.Disk, g.Records(), now+lease.TTL)
		},
		ChangeEpoch: (*lease.Grantor).ChangeEpoch,
		Holds: func(h *lease.Holder, now time.Duration) bool {
			_, yes := h.Holds(now, leaseRole)
			return yes
		},
	}
}

// LeaseModel is a bounded world of leases: two holders of one role, the disks of all epochs as grantors. Voters are the values of
// the register in the order in which they are chosen. Clocks run at HolderRate and GrantorRate thousandths of true time, which goes
// on by one of Steps at a time.
type LeaseModel struct {
	Epochs                  []*register.Value
	ClockSteps              []time.Duration
	HolderRate, GrantorRate [holders]int
	Budget                  LeaseBudget
	// QueuedGrants has grants wait in the network like requests; otherwise a grant arrives with its request, or is muted.
	QueuedGrants bool
	Protocol     LeaseProtocol
}

// leaseMail is a message on its way between a grantor and a holder.
type leaseMail struct {
	grantor, holder int
	msg             leaseMessage
}

// leaseMessage is a Request, a Release or a Grant of package lease.
type leaseMessage any

// LeaseState is one state of a world of leases.
type LeaseState struct {
	plan     *LeaseModel
	left     LeaseBudget
	acquires [holders]uint8
	now      time.Duration
	holders  [holders]*lease.Holder
	views    [holders]int
	grantors []*lease.Grantor
	mail     []leaseMail
	broken   error
}

// NewLeaseState is the first state of a world: nobody holds the role, everybody is in the first epoch and no grace runs.
func NewLeaseState(plan LeaseModel) *LeaseState {
	l := &LeaseState{plan: &plan, left: plan.Budget, now: time.Hour}
	for _, value := range plan.Epochs {
		for _, v := range value.AllVoters() {
			if l.grantorOf(v.Disk) < 0 {
				g := lease.NewGrantor(v.Disk, nil, 0)
				g.ChangeEpoch(0, plan.Epochs[0].Epoch)
				l.grantors = append(l.grantors, g)
			}
		}
	}
	for at := range l.holders {
		l.holders[at] = lease.NewHolder(string(rune('h'+at)), 0).Clone()
		l.acquires[at] = plan.Budget.Acquires
	}
	return l
}

func (l *LeaseState) grantorOf(disk string) int {
	return slices.IndexFunc(l.grantors, func(g *lease.Grantor) bool { return g.Disk == disk })
}

func (l *LeaseState) holderClock(at int) time.Duration {
	return l.now * time.Duration(l.plan.HolderRate[at]) / 1000
}

// grantorClock gives every second grantor the second rate.
func (l *LeaseState) grantorClock(at int) time.Duration {
	return l.now * time.Duration(l.plan.GrantorRate[at%len(l.plan.GrantorRate)]) / 1000
}

func (l *LeaseState) clone() *LeaseState {
	n := &LeaseState{}
	*n = *l
	n.grantors, n.mail = slices.Clone(l.grantors), slices.Clone(l.mail)
	return n
}

// Broken is the invariant that the last step broke.
func (l *LeaseState) BrokenInvariant() error { return l.broken }

// Fingerprint is a hash of the whole state; the order of mail does not count, nor does true time itself.
func (l *LeaseState) Fingerprint() uint64 {
	var space [1024]byte
	b := append(space[:0], l.left.ClockAdvances, l.left.Restarts, l.left.Duplicates, l.left.LostGrants)
	for at, h := range l.holders {
		b = h.AppendFingerprint(append(b, l.acquires[at], byte(l.views[at])), l.holderClock(at))
	}
	b = append(b, truth(l.broken != nil))
	return xxhash.Sum64(l.appendGrantors(b))
}

// appendGrantors appends a hash for each grantor and its mail. In a single epoch grantors whose clocks run alike are alike.
func (l *LeaseState) appendGrantors(b []byte) []byte {
	var hashes [8]uint64
	alike := len(l.plan.Epochs) == 1 && l.plan.GrantorRate[0] == l.plan.GrantorRate[1]
	for at, g := range l.grantors {
		hashes[at] = l.hashGrantor(at, g)
	}
	if alike {
		slices.Sort(hashes[:len(l.grantors)])
	}
	for _, hash := range hashes[:len(l.grantors)] {
		b = binary.LittleEndian.AppendUint64(b, hash)
	}
	return b
}

func (l *LeaseState) hashGrantor(at int, g *lease.Grantor) uint64 {
	var space [256]byte
	b := g.AppendFingerprint(space[:0], l.grantorClock(at))
	for _, h := range l.holders {
		b = append(b, truth(h.GrantedBy(leaseRole, g.Disk)))
	}
	hash := xxhash.Sum64(b)
	for _, m := range l.mail {
		if m.grantor == at {
			hash += m.hash()
		}
	}
	return hash
}

func (m leaseMail) hash() uint64 {
	var space [64]byte
	b := append(space[:0], byte(m.holder))
	var token lease.Token
	var requestID, epoch uint64
	switch msg := m.msg.(type) {
	case lease.Request:
		b, token, requestID, epoch = append(b, 'r'), msg.Token, msg.RequestID, msg.Epoch
	case lease.Release:
		b, token = append(b, 'l'), msg.Token
	case lease.Grant:
		b, token, requestID = append(append(b, 'g', truth(msg.OK)), msg.Holder...), msg.Token, msg.RequestID
	}
	for _, n := range []uint64{token.Epoch, token.Number, requestID, epoch} {
		b = binary.AppendUvarint(b, n)
	}
	return xxhash.Sum64(b)
}
