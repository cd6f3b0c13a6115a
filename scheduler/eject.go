package scheduler

import (
	"sort"
	"time"
)

func (s *Scheduler) judgeReplicas(now time.Duration) {
	if !s.unjudgedFailures || now-s.judgedAt < judgeGap {
		return
	}
	s.unjudgedFailures, s.judgedAt = false, now
	for i := range s.Services {
		s.judgeService(now, &s.Services[i])
	}
}

type suspect struct {
	r     *Replica
	ratio float64
}

// serviceFailures is what is known of a service's open replicas: how many there are, how many of them are ejected, and of how many
// each router has reported failures.
type serviceFailures struct {
	open, ejected int
	byRouter      map[string]int
}

func (s *Scheduler) failuresOf(now time.Duration, svc *Service) serviceFailures {
	var f serviceFailures
	f.byRouter = map[string]int{}
	for _, id := range svc.Replicas {
		r := &s.Replicas[id]
		if !r.open() {
			continue
		}
		f.open++
		if now < r.failures.ejectedUntil {
			f.ejected++
		}
		for router, report := range r.failures.byRouter {
			if now-report.at > failureWindow {
				delete(r.failures.byRouter, router)
				continue
			}
			f.byRouter[router]++
		}
	}
	return f
}

// judgeService ejects the replicas that failed too many requests, the worst first.
func (s *Scheduler) judgeService(now time.Duration, svc *Service) {
	f := s.failuresOf(now, svc)
	if len(f.byRouter) == 0 || f.open < 2 {
		return
	}
	for _, accused := range s.suspects(now, svc, f) {
		if now >= accused.r.failures.ejectedUntil {
			if f.ejected++; f.ejected > int(maxEjectedRatio*float64(f.open)) {
				return
			}
		}
		s.eject(now, accused.r)
	}
}

func (s *Scheduler) suspects(now time.Duration, svc *Service, f serviceFailures) []suspect {
	svc.arrivals.decay(now)
	expected := svc.arrivals.window() * float64(max(len(s.routers), 1)) / float64(f.open)
	var suspects []suspect
	for _, id := range svc.Replicas {
		r := &s.Replicas[id]
		if !r.open() || now < r.failures.trialFrom {
			continue
		}
		// A replica that is busier than others has failed more requests when the same share of them failed.
		busy := float64(r.load()) * float64(failureWindow) / float64(max(svc.holdTime, 10*time.Millisecond))
		if ratio, yes := s.outlier(now, r, f, max(expected, min(busy, 3*expected))); yes {
			suspects = append(suspects, suspect{r, ratio})
		}
	}
	sort.SliceStable(suspects, func(i, j int) bool { return suspects[i].ratio > suspects[j].ratio })
	return suspects
}

// outlier tells whether a replica failed too many of the requests that it is expected to have had. It leaves out routers that report
// more than half of the replicas: the cause is then their own network.
func (s *Scheduler) outlier(now time.Duration, r *Replica, f serviceFailures, expected float64) (float64, bool) {
	total, accusers := 0.0, 0
	for name, c := range r.failures.byRouter {
		if f.byRouter[name] > max(f.open/2, 2) {
			continue
		}
		total += c.weight(now)
		accusers++
	}
	least := float64(minFailures)
	if v := &r.failures; v.ejections > 0 && now < v.trialFrom+s.trials() {
		expected *= float64(now-v.trialFrom) / float64(s.trials())
		least = minTrialFailures
	}
	ratio := total / max(expected, total, 1)
	return ratio, accusers >= min(2, len(s.routers)) && total >= least && ratio >= failureRatio
}

// trials is how long it takes until all routers have come back to an ejected replica.
func (s *Scheduler) trials() time.Duration {
	return max(time.Duration(len(s.routers))*trialStep, time.Second)
}

// eject keeps a replica from being chosen while another has room; the routers come back to it one after the other.
func (s *Scheduler) eject(now time.Duration, r *Replica) {
	v := &r.failures
	if now-v.ejectedUntil > ejectionMemory {
		v.ejections = 0
	}
	v.ejections = min(v.ejections+1, 3)
	above, mine := 0, RendezvousWeight("trial/"+r.Name, s.cfg.Self)
	for _, name := range s.routers {
		if RendezvousWeight("trial/"+r.Name, name) > mine {
			above++
		}
	}
	v.trialFrom = now + ejectFor<<(v.ejections-1)
	v.ejectedUntil = v.trialFrom + time.Duration(above)*trialStep
	r.BackoffUntil = max(r.BackoffUntil, v.ejectedUntil)
	clear(v.byRouter)
	v.local = nil
	s.Counters.Ejected++
}
