package scheduler

import "time"

func (r *Replica) cold(now time.Duration) bool { return now < r.ColdUntil }

// KeepCold keeps a replica cold until then; it never gets warm sooner by it.
func (s *Scheduler) KeepCold(rep int, until time.Duration) {
	r := &s.Replicas[rep]
	r.ColdUntil = max(r.ColdUntil, until)
}

// coldQuota is this router's part of the starts a second that a cold replica bears, the least of all divisions in force.
func (s *Scheduler) coldQuota(now time.Duration, rep int) int {
	r := &s.Replicas[rep]
	if r.coldKnown {
		return r.coldQuota
	}
	r.coldKnown, r.coldQuota = true, 0
	if len(s.divisions) == 0 || s.divisions[0].at > now-divisionGrace {
		return 0
	}
	rate := int(s.Services[r.Service].ColdRate)
	n := rate
	for i := range s.divisions {
		n = min(n, Quota("cold/"+r.Name, rate, s.divisions[i].members, s.cfg.Self))
	}
	r.coldQuota = n
	return n
}

// coldSpacing is the time between starts: over any second they stay at this router's share.
func (s *Scheduler) coldSpacing(now time.Duration, rep int) time.Duration {
	return time.Duration(1.05 * float64(time.Second) / float64(max(s.coldQuota(now, rep), 1)))
}

// coldLimited tells that the starts at a replica are counted.
func (s *Scheduler) coldLimited(now time.Duration, rep int) bool {
	r := &s.Replicas[rep]
	return s.Services[r.Service].ColdRate > 0 && r.cold(now)
}

// coldBlocked tells that a cold replica may be given nothing now.
func (s *Scheduler) coldBlocked(now time.Duration, rep int) bool {
	return s.coldLimited(now, rep) && (now < s.Replicas[rep].coldNext || s.coldQuota(now, rep) == 0)
}

// coldBlockedAtSending is the same at sending, reckoned from what was really sent.
func (s *Scheduler) coldBlockedAtSending(now time.Duration, rep int) bool {
	if !s.coldLimited(now, rep) {
		return false
	}
	r := &s.Replicas[rep]
	return s.coldQuota(now, rep) == 0 || (r.sentOnce && now < r.coldSent+s.coldSpacing(now, rep))
}

func (s *Scheduler) reserveColdStart(now time.Duration, rep int) {
	if s.coldLimited(now, rep) {
		s.Replicas[rep].coldNext = now + s.coldSpacing(now, rep)
	}
}

func (s *Scheduler) noteSend(now time.Duration, rep int) {
	r := &s.Replicas[rep]
	r.coldSent, r.sentOnce = now, true
	s.reserveColdStart(now, rep)
}
