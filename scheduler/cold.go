package scheduler

import "time"

func (r *Replica) cold(now time.Duration) (yes bool) { return now < r.ColdUntil }

// Chill makes a replica cold until then; it never gets warm sooner by it.
func (m *Market) Chill(rep int, until time.Duration) {
	r := &m.Reps[rep]
	r.ColdUntil = max(r.ColdUntil, until)
}

func (m *Market) coldShare(now time.Duration, rep int) (n int) {
	r := &m.Reps[rep]
	if r.coldKnown {
		return r.coldPart
	}
	r.coldKnown, r.coldPart = true, 0
	if len(m.divs) == 0 || m.divs[0].at > now-grace {
		return 0
	}
	rate := int(m.Offers[r.Offer].ColdRate)
	n = rate
	for i := range m.divs {
		n = min(n, Share("cold/"+r.Name, rate, m.divs[i].names, m.cfg.Self))
	}
	r.coldPart = n
	return n
}

// spacing between starts: over any second they stay at this router's share.
func (m *Market) spacing(now time.Duration, rep int) (t time.Duration) {
	return time.Duration(1.05 * float64(time.Second) / float64(max(m.coldShare(now, rep), 1)))
}

func (m *Market) limited(now time.Duration, rep int) (yes bool) {
	r := &m.Reps[rep]
	return m.Offers[r.Offer].ColdRate > 0 && r.cold(now)
}

// chilled tells that a cold replica may be given nothing now.
func (m *Market) chilled(now time.Duration, rep int) (yes bool) {
	return m.limited(now, rep) && (now < m.Reps[rep].coldNext || m.coldShare(now, rep) == 0)
}

// coldHeld is the same at sending, reckoned from what was really sent.
func (m *Market) coldHeld(now time.Duration, rep int) (yes bool) {
	if !m.limited(now, rep) {
		return false
	}
	r := &m.Reps[rep]
	return m.coldShare(now, rep) == 0 || (r.sentOnce && now < r.coldSent+m.spacing(now, rep))
}

func (m *Market) reserve(now time.Duration, rep int) {
	if m.limited(now, rep) {
		m.Reps[rep].coldNext = now + m.spacing(now, rep)
	}
}

func (m *Market) sent(now time.Duration, rep int) {
	r := &m.Reps[rep]
	r.coldSent, r.sentOnce = now, true
	m.reserve(now, rep)
}
