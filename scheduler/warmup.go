package scheduler

import "time"

func (r *Replica) warmingUp(now time.Duration) bool { return now < r.WarmupUntil }

// ExtendWarmup sets the end of a replica's warm-up, unless a later one is known.
func (s *Scheduler) ExtendWarmup(replica int, until time.Duration) {
	r := &s.Replicas[replica]
	r.WarmupUntil = max(r.WarmupUntil, until)
}

// warmupShare returns this router's share of the starts per second at a warming replica: the smallest one of all
// divisions in force.
func (s *Scheduler) warmupShare(now time.Duration, replica int) int {
	r := &s.Replicas[replica]
	if r.warmupShareKnown {
		return r.warmupShare
	}
	r.warmupShareKnown, r.warmupShare = true, 0
	if len(s.divisions) == 0 || s.divisions[0].at > now-divisionGrace {
		return 0
	}
	rate := int(s.Services[r.Service].WarmupRate)
	n := rate
	for i := range s.divisions {
		n = min(n, EvenShare("cold/"+r.Name, rate, s.divisions[i].members, s.cfg.Self))
	}
	r.warmupShare = n
	return n
}

// warmupSpacing returns the minimum time between two starts. It is 5 % longer than the share requires, so that no second
// contains more starts than the share.
func (s *Scheduler) warmupSpacing(now time.Duration, replica int) time.Duration {
	return time.Duration(1.05 * float64(time.Second) / float64(max(s.warmupShare(now, replica), 1)))
}

// warmupLimited reports whether the rate of starts at the replica is limited.
func (s *Scheduler) warmupLimited(now time.Duration, replica int) bool {
	r := &s.Replicas[replica]
	return s.Services[r.Service].WarmupRate > 0 && r.warmingUp(now)
}

// warmupBlocked reports whether the warm-up limit forbids placing a request at the replica now.
func (s *Scheduler) warmupBlocked(now time.Duration, replica int) bool {
	return s.warmupLimited(now, replica) && (now < s.Replicas[replica].nextWarmupStart || s.warmupShare(now, replica) == 0)
}

// warmupBlockedAtSending is warmupBlocked for the time of sending. It is based on what was actually sent, not on
// placements.
func (s *Scheduler) warmupBlockedAtSending(now time.Duration, replica int) bool {
	if !s.warmupLimited(now, replica) {
		return false
	}
	r := &s.Replicas[replica]
	return s.warmupShare(now, replica) == 0 || (r.sentOnce && now < r.lastSentAt+s.warmupSpacing(now, replica))
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
