package rehearsal

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/mallowbridge/mallowbridge/ledger"
)

// SoakReport contains the counts and the breaches of a soak.
type SoakReport struct {
	// Requests counts the requests that clients sent, Served those with a complete response with status 200, Rejected those with status 503, Failed
	// all others. Runs counts the requests that replicas started to run.
	Requests, Served, Rejected, Failed, Runs int
	FaultCounts
	// Revisions counts the acknowledged revisions of the configuration, Reads the successful reads of it.
	Revisions, Reads uint64
	// ZoneRequests counts the acknowledged evacuations and cancellations of evacuations, DelayedRequests those that a partition delayed,
	// AbandonedRequests those whose caller disconnected early.
	ZoneRequests, DelayedRequests, AbandonedRequests int
	// RequestsAfterFaults and ServedAfterFaults count the requests that were sent recoveryDelay or more after the last fault, and those of them that
	// were served.
	RequestsAfterFaults, ServedAfterFaults int
	// DataRaces counts the race detector's reports in the nodes' logs.
	DataRaces int
	Breaches  []ledger.Breach
}

// soakRule contains the bounds that a soak is checked against. The nodes are configured with the same grace period.
var soakRule = ledger.SoakRule{Contact: 3 * time.Second, Evacuation: 5 * time.Second, Grace: gracePeriod}

const (
	// recoveryTime is how long a soak continues after the last series of faults starts. Requests that are sent recoveryDelay or more after the last
	// fault must be served again.
	recoveryTime  = 20 * time.Second
	recoveryDelay = 12 * time.Second
	// minServedRatio is the fraction of those requests that must be served.
	minServedRatio = 0.25
)

// soak is the state of a running soak.
type soak struct {
	Options
	fleet    *Fleet
	platform *Platform
	routes   *soakRoutes
	zones    *zoneOperator
	// runs and responses pass what replicas ran and what clients received to collect, which appends them to recordedRuns and recordedResponses.
	runs              chan ReplicaRun
	responses         chan soakResponse
	recordedRuns      []timedRun
	recordedResponses []soakResponse
	report            SoakReport
}

// timedRun is a run with its start in Unix milliseconds. alteration describes how the request differs from what the client sent; it is empty if they
// are equal.
type timedRun struct {
	ReplicaRun
	atMs       int64
	alteration string
}

// RunSoak starts a platform and a fleet. Clients keep using their connections while nodes are killed, stopped, frozen and reloaded in overlapping
// series, voters lose their disks, replicas cut their responses and crash, and operators change routes and evacuate zones, some of them through
// partitions. The faults end recoveryTime before the clients. Then it checks what happened against the rules of soaks.
func RunSoak(o Options) (SoakReport, error) {
	s := &soak{Options: o, runs: make(chan ReplicaRun, runBuffer), responses: make(chan soakResponse, runBuffer)}
	s.routes = newSoakRoutes(s.newRand(routeStream))
	var err error
	faults := FaultRates{Reject: 0.04, Reset: 0.03, TruncateFIN: 0.04, TruncateReset: 0.04, TruncateFramed: 0.02}
	if s.platform, err = StartPlatform(o.Replicas, o.Seed, faults, func(run ReplicaRun) { s.runs <- run }); err != nil {
		return s.report, err
	}
	defer s.platform.Stop()
	if s.fleet, err = NewFleet(o.Dir, o.Binary, s.platform.Addr, o.Nodes); err != nil {
		return s.report, err
	}
	defer s.fleet.Stop()
	if err = s.fleet.Boot(s.platform.Addr, s.routes.first()); err != nil {
		return s.report, err
	}
	faultsOver, err := s.runWorkload()
	s.check(faultsOver)
	s.fleet.Stop()
	return s.report, err
}

// newRand returns the random generator of a stream. Each part of a soak uses its own stream.
func (s *soak) newRand(n uint64) *rand.Rand { return rand.New(rand.NewPCG(s.Seed, n)) }

// runWorkload runs the clients, the operators and the fault injectors until the end, and returns the time of the last fault.
func (s *soak) runWorkload() (time.Time, error) {
	end := time.Now().Add(s.Duration)
	faultsOver := end.Add(-recoveryTime)
	operators := &operators{controls: s.fleet.ControlAddrs(), seed: s.Seed, breaches: make(chan ledger.Breach, breachBuffer), documents: s.routes}
	operators.acknowledged.Store(1)
	s.zones = &zoneOperator{controls: s.fleet.ControlAddrs(), rng: s.newRand(zoneStream), evacuations: map[string][]ledger.Span{}}
	var injectionErr error
	var all sync.WaitGroup
	all.Go(func() { operators.run(end) })
	all.Go(func() { s.zones.run(end) })
	all.Go(func() {
		s.report.FaultCounts, injectionErr = runFaultInjectors(synchronizePauses(newSoakInjectors(s.fleet, s.platform, s.newRand)), faultsOver)
		faultsOver = time.Now()
	})
	for n := range s.Clients {
		c := &soakClient{keepAliveConn: keepAliveConn{frontends: s.fleet.FrontendAddrs(), rng: s.newRand(uint64(n))}, name: fmt.Sprintf("s%d", n)}
		all.Go(func() { c.run(end, func(a soakResponse) { s.responses <- a }) })
	}
	done := make(chan struct{})
	go func() {
		all.Wait()
		close(done)
	}()
	err := s.collect(done)
	for b := range operators.breaches {
		s.report.Breaches = append(s.report.Breaches, b)
	}
	s.report.Revisions, s.report.Reads = operators.acknowledged.Load(), operators.reads.Load()
	return faultsOver, cmp.Or(err, injectionErr)
}

// collect records runs and responses until done is closed and none waits. It returns the first error of the ledger, but goes on, so that nobody
// waits for it.
func (s *soak) collect(done chan struct{}) error {
	ledgerRows := json.NewEncoder(s.Ledger)
	var failed error
	for {
		select {
		case run := <-s.runs:
			s.recordedRuns = append(s.recordedRuns, timedRun{ReplicaRun: run, atMs: time.Now().UnixMilli(), alteration: describeAlteration(run.Request, run.Body)})
		case a := <-s.responses:
			s.recordedResponses = append(s.recordedResponses, a)
			failed = cmp.Or(failed, ledgerRows.Encode(a.SoakResponse))
		case <-done:
			if len(s.runs)+len(s.responses) == 0 {
				return failed
			}
		}
	}
}

// count adds a response to the counts of the report.
func (s *soak) count(a *soakResponse, faultsOver time.Time) {
	s.report.Requests++
	served := a.Status == http.StatusOK && a.Complete
	switch {
	case served:
		s.report.Served++
	case a.Status == http.StatusServiceUnavailable:
		s.report.Rejected++
	default:
		s.report.Failed++
	}
	if a.AtMs < faultsOver.Add(recoveryDelay).UnixMilli() {
		return
	}
	s.report.RequestsAfterFaults++
	if served {
		s.report.ServedAfterFaults++
	}
}
