package scheduler

import "time"

// tellLag is what a told load is older than its arrival.
const tellLag = 2 * time.Millisecond

// Told takes in what a replica said of itself in an answer.
func (m *Market) Told(now time.Duration, rep, load int) {
	m.heardFrom(now, rep)
	m.Reps[rep].report(now-tellLag, load)
}

// taken estimates how much of a queueing replica is taken; what others have there is believed less the older the news are.
func (m *Market) taken(now time.Duration, rep int) (n int) {
	r := &m.Reps[rep]
	n = r.load()
	others, age, hold := n-r.Own, now-r.UsageAsOf, max(m.Offers[r.Offer].hold, coarse)
	if others <= 0 || age <= hold {
		return n
	}
	return r.Own + int(float64(others)*float64(hold)/float64(age))
}

func (m *Market) fullness(now time.Duration, rep int) (f float64) {
	r := &m.Reps[rep]
	if !m.Offers[r.Offer].Queues {
		return r.fullness()
	}
	return float64(m.taken(now, rep)) / float64(max(r.Room, 1))
}

func (r *Replica) crowded() (yes bool) { return 2*r.load() > r.Room }

// opening is what a queueing replica adds to the capacity of its offer.
func (m *Market) opening(now time.Duration, rep int) (n int) {
	switch {
	case !m.limited(now, rep):
		return m.Reps[rep].Room
	case m.coldShare(now, rep) > 0:
		return 1
	}
	return 0
}

// Part is this node's part of a number that all routers share, at least 1 where there is any.
func (m *Market) Part(total float64) (n int) {
	if total <= 0 {
		return 0
	}
	return max(int(total)/max(len(m.routers), 1), 1)
}
