package scheduler

import (
	"slices"
	"time"
)

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
	m.silent(now, a, 1)
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
		if was != Placed && !r.crowded() {
			m.fault(now, r, 1)
		}
	case Unreached:
		m.N.Unreached++
		m.ail(now, r)
		m.fault(now, r, 1)
	case Broken:
		m.ail(now, r)
		m.fault(now, r, 1)
	}
	if k.routed() {
		m.reroute(now, id, a, was, end)
		return
	}
	if was == Begun {
		m.partial(id, goID, rep)
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

func (m *Market) partial(id int, goID uint64, rep int) {
	m.N.Partials++
	m.do(Act{Kind: Partial, Ask: id, Go: goID, Rep: rep})
	m.Asks.drop(id)
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
