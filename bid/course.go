package bid

import (
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/hint"
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
	sound := m.stalled(now) == "" && r.fit(now) && m.free(now, a.Rep) >= 0 && !o.Kinds[a.Kind].Gone
	if sound && (vouched || !a.Second || o.second.spend()) {
		a.State, a.Sent, a.Vouched = Sent, now, vouched
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
	a.State, a.Rep, a.Prefill, a.Go, a.Vouched = Waiting, -1, -1, 0, false
	m.waiting = append(m.waiting, id)
}

func (m *Market) release(now time.Duration, a *Ask) {
	m.Reps[a.Rep].ended(now, a.Began)
	m.Index.Settle(a.Go)
}

func (m *Market) Head(now time.Duration, id int, goID uint64) {
	a := m.current(id, goID)
	if a == nil || a.Confirmed {
		return
	}
	a.Confirmed = true
	took, ok := m.Index.Confirm(now, m.keeper(a), a.Go)
	if now <= a.Deadline {
		m.N.FirstTokenOK++
	}
	r := &m.Reps[a.Rep]
	r.breaks = 0
	if !ok {
		return
	}
	m.learn(a, r, took)
}

func (m *Market) Begin(id int, goID uint64) {
	if a := m.current(id, goID); a != nil {
		a.State = Begun
	}
}

func (m *Market) learn(a *Ask, r *Replica, took time.Duration) {
	o := &m.Offers[a.Offer]
	miss := o.Base + time.Duration(a.Tail+hint.Tokens(a.Parts))*o.PerToken
	hit := miss - time.Duration(a.Conf)*o.PerToken
	if a.Conf > 0 && a.Pred == 0 && hit < miss/2 && float64(took) > 0.8*float64(miss)*r.factor && float64(took) > 1.5*float64(a.Est) {
		m.Index.Evicted(m.keeper(a), a.Parts)
		return
	}
	r.factor *= 1 + 0.05*(float64(took)/float64(max(a.Est, time.Millisecond))-1)
	r.factor = min(max(r.factor, 0.25), 4)
}

func (m *Market) Finish(now time.Duration, id int, goID uint64, end End) {
	a := m.current(id, goID)
	if a == nil {
		return
	}
	if end == Whole {
		m.Head(now, id, goID)
	}
	m.finish(now, id, a, end)
}

// Withhold ends a request that another router was asked for before, as long as it did not leave here.
func (m *Market) Withhold(now time.Duration, id int) {
	a := m.Asks.get(id)
	if a == nil || a.State > Placed {
		return
	}
	if a.State == Placed {
		m.do(Act{Kind: Recall, Ask: id, Go: a.Go, Rep: a.Rep})
		m.release(now, a)
	}
	m.waiting = slices.DeleteFunc(m.waiting, func(w int) bool { return w == id })
	m.do(Act{Kind: Deny, Ask: id, Rep: -1, Why: HadOne, Repeat: true})
	m.Asks.drop(id)
}

func (m *Market) Hangup(now time.Duration, id int) {
	a := m.Asks.get(id)
	if a == nil {
		return
	}
	if a.State == Waiting {
		m.waiting = slices.DeleteFunc(m.waiting, func(w int) bool { return w == id })
		m.Asks.drop(id)
		return
	}
	m.do(Act{Kind: Cancel, Ask: id, Go: a.Go, Rep: a.Rep, Why: "agent hung up"})
	m.finish(now, id, a, Hung)
}

func (m *Market) finish(now time.Duration, id int, a *Ask, end End) {
	o := &m.Offers[a.Offer]
	k := o.Kinds[a.Kind]
	r := &m.Reps[a.Rep]
	was, goID, rep := a.State, a.Go, a.Rep
	m.release(now, a)
	switch end {
	case Whole:
		m.N.Dones++
		o.hold += (now - a.Sent - o.hold) / 16
		m.do(Act{Kind: Done, Ask: id, Go: goID, Rep: rep})
		m.Asks.drop(id)
		return
	case Hung:
		m.Asks.drop(id)
		return
	case Withheld:
		m.do(Act{Kind: Deny, Ask: id, Go: goID, Rep: rep, Why: HadOne, Repeat: true})
		m.Asks.drop(id)
		return
	case Unvouched:
		m.deny(now, id, "its witnesses did not answer", time.Second)
		return
	case Refused:
		m.N.Refused++
		r.Backoff = max(r.Backoff, now+200*time.Millisecond)
	case Unreached:
		m.N.Unreached++
		m.ail(now, r)
	case Broken:
		m.ail(now, r)
	}
	if was == Begun {
		m.N.Partials++
		m.do(Act{Kind: Partial, Ask: id, Go: goID, Rep: rep})
		m.Asks.drop(id)
		return
	}
	a.MayRan = a.MayRan || (was == Sent && end == Broken)
	if was == Placed {
		a.Second = true
		m.again(id, a)
		return
	}
	if k.Repeatable && o.second.now >= 1 && now < a.Deadline {
		a.Second = true
		m.again(id, a)
		return
	}
	if k.Repeatable && end == Refused {
		m.N.SecondsSpared++
		m.deny(now, id, "replica is full", time.Second)
		return
	}
	m.unknown(id, a, "replica broke down")
}

func (m *Market) unknown(id int, a *Ask, why string) {
	m.N.Unknowns++
	after := time.Duration(0)
	if m.Offers[a.Offer].Kinds[a.Kind].Repeatable {
		after = 2 * time.Second
	}
	m.do(Act{Kind: Unknown, Ask: id, Go: a.Go, Rep: a.Rep, Why: why, After: after})
	m.Asks.drop(id)
}

func (m *Market) ail(now time.Duration, r *Replica) {
	r.breaks = min(r.breaks+1, 5)
	r.Doubt = now
	r.Backoff = max(r.Backoff, now+time.Duration(r.breaks*r.breaks)*150*time.Millisecond)
}

func (m *Market) Rep(id int) (rep int) {
	a := m.Asks.get(id)
	if a == nil {
		return -1
	}
	return a.Rep
}
