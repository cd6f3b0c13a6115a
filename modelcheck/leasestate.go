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
	numHolders = 2
	leaseRole  = "d"
)

// LeaseBudget is the number of times that each kind of event may happen in one trace. Loss, delay and reordering of messages and partitions need
// no budget, as any message may stay undelivered forever. Acquires counts for each holder. LostGrants lose the grant for a delivered request;
// models with queued grants need none.
type LeaseBudget struct{ Acquires, ClockAdvances, Restarts, Duplicates, LostGrants uint8 }

// LeaseProtocol contains the functions of package lease that are checked. Tests replace one of them by a faulty one.
type LeaseProtocol struct {
	HandleRequest func(g *lease.Grantor, now time.Duration, m lease.Request) lease.Grant
	Restart       func(g *lease.Grantor, now time.Duration) *lease.Grantor
	ChangeEpoch   func(g *lease.Grantor, now time.Duration, epoch uint64)
	Holds         func(h *lease.Holder, now time.Duration) bool
	// IgnoresEpoch reports that HandleRequest may grant requests of an earlier epoch, so that such requests are not obsolete.
	IgnoresEpoch bool
}

// ProductionLeaseProtocol returns the functions that run in production.
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

// LeaseModel is a bounded model of one lease with two holders. The voters of all epochs are the grantors.
type LeaseModel struct {
	// Epochs are the values of the register, one per epoch, in the order in which they are chosen.
	Epochs []*register.Value
	// ClockSteps are the durations by which real time can advance in one event.
	ClockSteps []time.Duration
	// HolderRate and GrantorRate are the speeds of the clocks in thousandths of real time. Grantors use the rates in turn.
	HolderRate, GrantorRate [numHolders]int
	Budget                  LeaseBudget
	// QueuedGrants keeps grants in the network like requests. Otherwise a grant is delivered in the same step as its request, or lost.
	QueuedGrants bool
	Protocol     LeaseProtocol
}

// leaseEnvelope is a message in transit between a grantor and a holder, which are given by their indexes.
type leaseEnvelope struct {
	grantor, holder int
	msg             leaseMessage
}

// leaseMessage is a Request, a Release or a Grant of package lease.
type leaseMessage any

// LeaseState is one state of a LeaseModel.
type LeaseState struct {
	model *LeaseModel
	// budget is what is left of the model's budget, acquires the number of times that each holder may still request the lease.
	budget   LeaseBudget
	acquires [numHolders]uint8
	// now is the real time.
	now     time.Duration
	holders [numHolders]*lease.Holder
	// knownEpochs is the index of the epoch that each holder knows.
	knownEpochs     [numHolders]int
	grantors        []*lease.Grantor
	inFlight        []leaseEnvelope
	brokenInvariant error
}

// NewLeaseState returns the first state of a model: nothing is granted, all holders and grantors are in the first epoch, and no grantor is in the
// grace period after a restart or change of epoch.
func NewLeaseState(model LeaseModel) *LeaseState {
	l := &LeaseState{model: &model, budget: model.Budget, now: time.Hour}
	for _, value := range model.Epochs {
		for _, v := range value.AllVoters() {
			if l.grantorIndex(v.Disk) < 0 {
				g := lease.NewGrantor(v.Disk, nil, 0)
				g.ChangeEpoch(0, model.Epochs[0].Epoch)
				l.grantors = append(l.grantors, g)
			}
		}
	}
	for i := range l.holders {
		l.holders[i] = lease.NewHolder(string(rune('h'+i)), 0).Clone()
		l.acquires[i] = model.Budget.Acquires
	}
	return l
}

// grantorIndex returns the index of the grantor on a disk, or -1.
func (l *LeaseState) grantorIndex(disk string) int {
	return slices.IndexFunc(l.grantors, func(g *lease.Grantor) bool { return g.Disk == disk })
}

func (l *LeaseState) holderClock(holder int) time.Duration {
	return l.now * time.Duration(l.model.HolderRate[holder]) / 1000
}

// grantorClock returns the time on a grantor's clock; grantors use the rates of GrantorRate in turn.
func (l *LeaseState) grantorClock(grantor int) time.Duration {
	return l.now * time.Duration(l.model.GrantorRate[grantor%len(l.model.GrantorRate)]) / 1000
}

func (l *LeaseState) clone() *LeaseState {
	n := &LeaseState{}
	*n = *l
	n.grantors, n.inFlight = slices.Clone(l.grantors), slices.Clone(l.inFlight)
	return n
}

// BrokenInvariant returns the invariant that this state breaks, or nil.
func (l *LeaseState) BrokenInvariant() error { return l.brokenInvariant }

// Fingerprint returns a hash of the whole state. It does not depend on the order of the messages in flight, nor on the real time itself.
func (l *LeaseState) Fingerprint() uint64 {
	var space [1024]byte
	b := append(space[:0], l.budget.ClockAdvances, l.budget.Restarts, l.budget.Duplicates, l.budget.LostGrants)
	for i, h := range l.holders {
		b = h.AppendFingerprint(append(b, l.acquires[i], byte(l.knownEpochs[i])), l.holderClock(i))
	}
	b = append(b, boolByte(l.brokenInvariant != nil))
	return xxhash.Sum64(l.appendGrantors(b))
}

// appendGrantors appends a hash for each grantor and its messages. In a model with a single epoch, grantors whose clocks have the same rate are
// equivalent, and their order is left out.
func (l *LeaseState) appendGrantors(b []byte) []byte {
	var hashes [8]uint64
	alike := len(l.model.Epochs) == 1 && l.model.GrantorRate[0] == l.model.GrantorRate[1]
	for i, g := range l.grantors {
		hashes[i] = l.hashGrantor(i, g)
	}
	if alike {
		slices.Sort(hashes[:len(l.grantors)])
	}
	for _, hash := range hashes[:len(l.grantors)] {
		b = binary.LittleEndian.AppendUint64(b, hash)
	}
	return b
}

func (l *LeaseState) hashGrantor(i int, g *lease.Grantor) uint64 {
	var space [256]byte
	b := g.AppendFingerprint(space[:0], l.grantorClock(i))
	for _, h := range l.holders {
		b = append(b, boolByte(h.GrantedBy(leaseRole, g.Disk)))
	}
	hash := xxhash.Sum64(b)
	for _, m := range l.inFlight {
		if m.grantor == i {
			hash += m.hash()
		}
	}
	return hash
}

func (m leaseEnvelope) hash() uint64 {
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
		b, token, requestID = append(append(b, 'g', boolByte(msg.OK)), msg.Holder...), msg.Token, msg.RequestID
	}
	for _, n := range []uint64{token.Epoch, token.Number, requestID, epoch} {
		b = binary.AppendUvarint(b, n)
	}
	return xxhash.Sum64(b)
}
