package scheduler

import (
	"sort"
	"time"
)

func (m *Market) judge(now time.Duration) {
	if !m.unjudged || now-m.judgedAt < judgeGap {
		return
	}
	m.unjudged, m.judgedAt = false, now
	for i := range m.Offers {
		m.judgeOffer(now, &m.Offers[i])
	}
}

type suspect struct {
	r     *Replica
	share float64
}

func (m *Market) judgeOffer(now time.Duration, o *Offer) {
	open, out := 0, 0
	by := map[string]int{}
	for _, id := range o.Reps {
		r := &m.Reps[id]
		if !r.open() {
			continue
		}
		open++
		if now < r.judged.ejected {
			out++
		}
		for name, c := range r.judged.charges {
			if now-c.at > faultWindow {
				delete(r.judged.charges, name)
				continue
			}
			by[name]++
		}
	}
	if len(by) == 0 || open < 2 {
		return
	}
	o.flow.decay(now)
	expected := o.flow.window() * float64(max(len(m.routers), 1)) / float64(open)
	var suspects []suspect
	for _, id := range o.Reps {
		r := &m.Reps[id]
		if !r.open() || now < r.judged.back {
			continue
		}
		// A replica that is busier than others has failed more requests when the same share of them failed.
		busy := float64(r.load()) * float64(faultWindow) / float64(max(o.hold, 10*time.Millisecond))
		if share, yes := m.outlier(now, r, by, open, max(expected, min(busy, 3*expected))); yes {
			suspects = append(suspects, suspect{r, share})
		}
	}
	sort.SliceStable(suspects, func(i, j int) bool { return suspects[i].share > suspects[j].share })
	for _, s := range suspects {
		if now >= s.r.judged.ejected {
			if out++; out > int(ejectMost*float64(open)) {
				return
			}
		}
		m.eject(now, s.r)
	}
}

// outlier leaves out routers that complain of more than half of the replicas: what ails these is their own way there.
func (m *Market) outlier(now time.Duration, r *Replica, by map[string]int, open int, expected float64) (share float64, yes bool) {
	total, accusers := 0.0, 0
	for name, c := range r.judged.charges {
		if by[name] > max(open/2, 2) {
			continue
		}
		total += c.weight(now)
		accusers++
	}
	least := float64(faultLeast)
	if v := &r.judged; v.times > 0 && now < v.back+m.trials() {
		expected *= float64(now-v.back) / float64(m.trials())
		least = trialLeast
	}
	share = total / max(expected, total, 1)
	return share, accusers >= min(2, len(m.routers)) && total >= least && share >= faultShare
}

// trials is how long it takes until all routers have come back to an ejected replica.
func (m *Market) trials() (t time.Duration) {
	return max(time.Duration(len(m.routers))*trialStep, time.Second)
}

// eject keeps a replica from being chosen while another has room; the routers come back to it one after the other.
func (m *Market) eject(now time.Duration, r *Replica) {
	v := &r.judged
	if now-v.ejected > ejectMemo {
		v.times = 0
	}
	v.times = min(v.times+1, 3)
	above, mine := 0, Rank("trial/"+r.Name, m.cfg.Self)
	for _, name := range m.routers {
		if Rank("trial/"+r.Name, name) > mine {
			above++
		}
	}
	v.back = now + ejectFor<<(v.times-1)
	v.ejected = v.back + time.Duration(above)*trialStep
	r.Backoff = max(r.Backoff, v.ejected)
	clear(v.charges)
	v.own = nil
	m.N.Ejected++
}
