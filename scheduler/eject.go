package scheduler

import (
	"sort"
	"time"
)

// detectOutliers ejects outliers of all services if there are new failures, at most once in detectionInterval.
func (s *Scheduler) detectOutliers(now time.Duration) {
	if !s.unevaluatedFailures || now-s.outliersDetectedAt < detectionInterval {
		return
	}
	s.unevaluatedFailures, s.outliersDetectedAt = false, now
	for i := range s.Services {
		s.ejectOutliers(now, &s.Services[i])
	}
}

// outlierCandidate is a replica that fails too often, with its failure ratio.
type outlierCandidate struct {
	r     *Replica
	ratio float64
}

// serviceFailures summarizes a service's eligible replicas: their number, how many of them are ejected, and for each
// router the number of replicas whose failures it reported.
type serviceFailures struct {
	eligible, ejected int
	byRouter          map[string]int
}

func (s *Scheduler) failuresOf(now time.Duration, svc *Service) serviceFailures {
	var f serviceFailures
	f.byRouter = map[string]int{}
	for _, id := range svc.Replicas {
		r := &s.Replicas[id]
		if !r.eligible() {
			continue
		}
		f.eligible++
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

// ejectOutliers ejects the replicas that failed too many requests, those with the highest failure ratio first.
func (s *Scheduler) ejectOutliers(now time.Duration, svc *Service) {
	f := s.failuresOf(now, svc)
	if len(f.byRouter) == 0 || f.eligible < 2 {
		return
	}
	for _, candidate := range s.outlierCandidates(now, svc, f) {
		if now >= candidate.r.failures.ejectedUntil {
			if f.ejected++; f.ejected > int(maxEjectedRatio*float64(f.eligible)) {
				return
			}
		}
		s.eject(now, candidate.r)
	}
}

func (s *Scheduler) outlierCandidates(now time.Duration, svc *Service, f serviceFailures) []outlierCandidate {
	svc.arrivals.decay(now)
	expected := svc.arrivals.perWindow() * float64(max(len(s.routers), 1)) / float64(f.eligible)
	var candidates []outlierCandidate
	for _, id := range svc.Replicas {
		r := &s.Replicas[id]
		if !r.eligible() || now < r.failures.firstTrialAt {
			continue
		}
		// At an equal failure ratio, a busier replica has more failures. So its expected requests grow with its load.
		expectedByLoad := float64(r.load()) * float64(failureWindow) / float64(max(svc.holdTime, 10*time.Millisecond))
		if ratio, isOutlier := s.outlier(now, r, f, max(expected, min(expectedByLoad, 3*expected))); isOutlier {
			candidates = append(candidates, outlierCandidate{r, ratio})
		}
	}
	sort.SliceStable(candidates, func(i, j int) bool { return candidates[i].ratio > candidates[j].ratio })
	return candidates
}

// outlier returns a replica's failure ratio and whether it failed too many of the requests that it is expected to have
// received. It ignores routers that report more than half of the replicas, because the cause is then their own network.
func (s *Scheduler) outlier(now time.Duration, r *Replica, f serviceFailures, expected float64) (float64, bool) {
	total, reporters := 0.0, 0
	for name, c := range r.failures.byRouter {
		if f.byRouter[name] > max(f.eligible/2, 2) {
			continue
		}
		total += c.weight(now)
		reporters++
	}
	minTotal := float64(minFailures)
	if v := &r.failures; v.ejections > 0 && now < v.firstTrialAt+s.trialPeriod() {
		expected *= float64(now-v.firstTrialAt) / float64(s.trialPeriod())
		minTotal = minTrialFailures
	}
	ratio := total / max(expected, total, 1)
	return ratio, reporters >= min(2, len(s.routers)) && total >= minTotal && ratio >= failureRatio
}

// trialPeriod is how long it takes until all routers use an ejected replica again.
func (s *Scheduler) trialPeriod() time.Duration {
	return max(time.Duration(len(s.routers))*trialInterval, time.Second)
}

// eject keeps a replica from being chosen while another has capacity. The routers start to use it again one after the
// other, in an order that depends on its name.
func (s *Scheduler) eject(now time.Duration, r *Replica) {
	v := &r.failures
	if now-v.ejectedUntil > ejectionMemory {
		v.ejections = 0
	}
	v.ejections = min(v.ejections+1, 3)
	higher, ownWeight := 0, RendezvousWeight("trial/"+r.Name, s.cfg.Self)
	for _, name := range s.routers {
		if RendezvousWeight("trial/"+r.Name, name) > ownWeight {
			higher++
		}
	}
	v.firstTrialAt = now + baseEjectionTime<<(v.ejections-1)
	v.ejectedUntil = v.firstTrialAt + time.Duration(higher)*trialInterval
	r.BackoffUntil = max(r.BackoffUntil, v.ejectedUntil)
	clear(v.byRouter)
	v.local = nil
	s.Counters.Ejected++
}
