package scheduler

import "time"

func (r *Replica) warmingUp(now time.Duration) bool { return now < r.WarmupUntil }

// ExtendWarmup has a replica warm up until then, or longer where that was known before.
func (s *Scheduler) ExtendWarmup(replica int, until time.Duration) {
	r := &s.Replicas[replica]
	r.WarmupUntil = max(r.WarmupUntil, until)
}

// warmupQuota is this router's part of the starts a second that a replica that warms up bears, the least of all divisions in force.
func (s *Scheduler) warmupQuota(now time.Duration, replica int) int {
	r := &s.Replicas[replica]
	if r.warmupQuotaKnown {
		return r.warmupQuota
	}
	r.warmupQuotaKnown, r.warmupQuota = true, 0
	if len(s.divisions) == 0 || s.divisions[0].at > now-divisionGrace {
		return 0
	}
	rate := int(s.Services[r.Service].WarmupRate)
	n := rate
	for i := range s.divisions {
		n = min(n, EvenShare("cold/"+r.Name, rate, s.divisions[i].members, s.cfg.Self))
	}
	r.warmupQuota = n
	return n
}

// warmupSpacing is the time between starts: over any second they stay at this router's share.
func (s *Scheduler) warmupSpacing(now time.Duration, replica int) time.Duration {
	return time.Duration(1.05 * float64(time.Second) / float64(max(s.warmupQuota(now, replica), 1)))
}

// warmupLimited tells that the starts at a replica are counted.
func (s *Scheduler) warmupLimited(now time.Duration, replica int) bool {
	r := &s.Replicas[replica]
	return s.Services[r.Service].WarmupRate > 0 && r.warmingUp(now)
}

// warmupBlocked tells that a replica that warms up may be given nothing now.
func (s *Scheduler) warmupBlocked(now time.Duration, replica int) bool {
	return s.warmupLimited(now, replica) && (now < s.Replicas[replica].nextWarmupStart || s.warmupQuota(now, replica) == 0)
}

// warmupBlockedAtSending is the same at sending, reckoned from what was really sent.
func (s *Scheduler) warmupBlockedAtSending(now time.Duration, replica int) bool {
	if !s.warmupLimited(now, replica) {
		return false
	}
	r := &s.Replicas[replica]
	return s.warmupQuota(now, replica) == 0 || (r.sentOnce && now < r.lastSentAt+s.warmupSpacing(now, replica))
}

func (s *Scheduler) reserveWarmupStart(now time.Duration, replica int) {
	if s.warmupLimited(now, replica) {
		s.Replicas[replica].nextWarmupStart = now + s.warmupSpacing(now, replica)
	}
}

func (s *Scheduler) recordSend(now time.Duration, replica int) {
	r := &s.Replicas[replica]
	r.lastSentAt, r.sentOnce = now, true
	s.reserveWarmupStart(now, replica)
}
