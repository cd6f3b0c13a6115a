package scheduler

import (
	"time"

	"github.com/mallowbridge/mallowbridge/prefixindex"
)

// HadOne is why a request that may not be repeated is not run again.
const HadOne = "request had its one go"

type End uint8

const (
	Whole End = iota + 1
	Refused
	Broken
	Unreached
	Hung
	Withheld
	Unvouched
)

func (m *Market) current(id int, goID uint64) (a *Ask) {
	a = m.Asks.get(id)
	if a == nil || a.Go != goID || a.State == Waiting {
		return nil
	}
	return a
}

func (m *Market) Leave(now time.Duration, id int, goID uint64) {
	a := m.current(id, goID)
	if a == nil || (a.State != Placed && (a.State != Sent || a.settled(m))) {
		m.do(Act{Kind: Recall, Ask: id, Go: goID, Rep: -1})
		return
	}
	o := &m.Offers[a.Offer]
	r := &m.Reps[a.Rep]
	vouched := a.State == Sent
	r.restart(a.Began, now)
	a.Began = now
	k := &o.Kinds[a.Kind]
	if k.routed() {
		a.Second = a.Sends > 0
	}
	sound := m.stalled(now) == "" && m.mayLeave(now, a) && !k.Gone
	if sound && (vouched || !a.Second || o.second.spend()) {
		a.State, a.Sent, a.Vouched = Sent, now, vouched
		a.Sends++
		a.Silent = false
		o.flow.decay(now)
		o.flow.n++
		m.sent(now, a.Rep)
		if !vouched {
			m.paid(a, o)
		}
		m.do(Act{Kind: Send, Ask: id, Go: goID, Rep: a.Rep})
		return
	}
	m.N.Rechecked++
	m.do(Act{Kind: Recall, Ask: id, Go: goID, Rep: a.Rep})
	m.release(now, a)
	a.MayRan = a.MayRan || vouched
	if sound {
		m.N.SecondsSpared++
		o.Spared++
		m.deny(now, id, "second goes are spent", 2*time.Second)
		return
	}
	m.again(id, a)
}

func (m *Market) paid(a *Ask, o *Offer) {
	if a.Second {
		m.N.Seconds++
		o.Again++
		return
	}
	if a.Paid {
		return
	}
	a.Paid = true
	m.N.Firsts++
	o.Firsts++
	o.second.earn()
}

func (m *Market) again(id int, a *Ask) {
	a.State, a.Rep, a.Prefill, a.Go, a.Vouched, a.Forced = Waiting, -1, -1, 0, false, false
	m.waiting = append(m.waiting, id)
}

func (m *Market) release(now time.Duration, a *Ask) {
	m.Reps[a.Rep].ended(now, a.Began)
	m.Reps[a.Rep].prefills.remove(a.Go)
	m.Index.Settle(a.Go)
}

func (m *Market) Head(now time.Duration, id int, goID uint64) {
	a := m.current(id, goID)
	if a == nil || a.Confirmed {
		return
	}
	a.Confirmed = true
	took, ok := m.Index.Confirm(now, m.keeper(a), a.Go)
	if now <= a.Due && !a.Resume {
		m.N.FirstTokenOK++
	}
	r := &m.Reps[a.Rep]
	r.breaks = 0
	r.prefills.remove(a.Go)
	m.heardFrom(now, a.Rep)
	if !ok {
		return
	}
	m.learn(a, r, took)
}

// Failed tells that the replica answered, with a failure of its own: that confirms nothing and teaches nothing about its speed.
func (m *Market) Failed(now time.Duration, id int, goID uint64) {
	a := m.current(id, goID)
	if a == nil || a.Confirmed {
		return
	}
	a.Confirmed = true
	r := &m.Reps[a.Rep]
	r.prefills.remove(a.Go)
	m.heardFrom(now, a.Rep)
	m.ail(now, r)
	m.fault(now, r, 1)
}

func (m *Market) Begin(id int, goID uint64) {
	if a := m.current(id, goID); a != nil {
		a.State = Begun
	}
}

func (m *Market) learn(a *Ask, r *Replica, took time.Duration) {
	o := &m.Offers[a.Offer]
	if o.Batches {
		m.paced(a, r, took)
		return
	}
	miss := o.Base + time.Duration(a.Tail+prefixindex.Tokens(a.Parts))*o.PerToken
	hit := miss - time.Duration(a.Conf)*o.PerToken
	if a.Conf > 0 && a.Pred == 0 && !(o.Queues && r.crowded()) && hit < miss/2 && float64(took) > 0.8*float64(miss)*r.factor && float64(took) > 1.5*float64(a.Est) {
		m.Index.Evicted(m.keeper(a), a.Parts)
		return
	}
	r.factor *= 1 + 0.05*(float64(took)/float64(max(a.Est, time.Millisecond))-1)
	r.factor = min(max(r.factor, 0.25), 4)
}
