package rehearsal

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/mallowbridge/mallowbridge/ledger"
)

// SoakOptions are what a soak is run with.
type SoakOptions struct {
	// Dir takes the nodes' settings, disks and logs. Binary is the program that they run.
	Dir, Binary string
	// Seed draws the faults, their times, the changes, and what clients ask for.
	Seed uint64
	// For is how long clients ask; the faults end calmTime before.
	For                      time.Duration
	Nodes, Replicas, Clients int
	// Ledger gets a line for each request that a replica ran, and one for each answer.
	Ledger io.Writer
}

// SoakReport counts what happened.
type SoakReport struct {
	// Asked are requests that clients sent, Served those answered 200 and complete, Rejected those answered 503, Unanswered those without a
	// whole answer; Ran are runs of replicas.
	Asked, Served, Rejected, Unanswered, Ran int
	FaultCounts
	// Revisions and ZoneOrders were acknowledged, Reads of the configuration answered. HeldOrders were held up by a partition, HastyOrders left
	// by their callers early.
	Revisions, Reads                    uint64
	ZoneOrders, HeldOrders, HastyOrders int
	// CalmAsked and CalmServed are those of the last seconds, after the faults.
	CalmAsked, CalmServed int
	// Races are the reports of the race detector in the nodes' logs.
	Races    int
	Breaches []ledger.Breach
}

// soakRule is what is judged; the nodes are told the grace period.
var soakRule = ledger.SoakRule{Contact: 3 * time.Second, Evacuation: 5 * time.Second, Grace: gracePeriod}

const (
	// calmTime is how long a soak goes on after the last series of faults begins; requests sent calmLead after the last fault must be served
	// again.
	calmTime = 20 * time.Second
	calmLead = 12 * time.Second
	// leastCalmServed is the part of them that must be.
	leastCalmServed = 0.25
)

// soak is a run under way.
type soak struct {
	SoakOptions
	fleet    *Fleet
	platform *Platform
	routes   *soakRoutes
	zones    *zoneOperator
	runs     chan ReplicaRun
	answers  chan soakAnswer
	ran      []timedRun
	answered []soakAnswer
	report   SoakReport
}

// timedRun is a run and when it began, in milliseconds since 1970.
type timedRun struct {
	ReplicaRun
	atMs    int64
	altered string
}

// RunSoak starts a platform and a fleet. Clients keep using their connections while nodes are killed, told to end, frozen and reloaded in
// series that overlap, replicas break off and crash, and operators change routes and evacuate zones, some through partitions. Then it is judged.
func RunSoak(o SoakOptions) (SoakReport, error) {
	s := &soak{SoakOptions: o, runs: make(chan ReplicaRun, runBuffer), answers: make(chan soakAnswer, runBuffer)}
	s.routes = newSoakRoutes(s.stream(routeDraws))
	var err error
	faults := Faults{Refuse: 0.04, Vanish: 0.03, CutFIN: 0.04, CutReset: 0.04, CutFramed: 0.02}
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
	faultsOver, err := s.play()
	s.judge(faultsOver)
	s.fleet.Stop()
	return s.report, err
}

// stream gives each part of a soak random numbers of its own.
func (s *soak) stream(n uint64) *rand.Rand { return rand.New(rand.NewPCG(s.Seed, n)) }

// play lets clients ask, operators order and nodes fail, and gives the time of the last fault.
func (s *soak) play() (time.Time, error) {
	end := time.Now().Add(s.For)
	faultsOver := end.Add(-calmTime)
	operators := &operators{controls: s.fleet.Controls(), seed: s.Seed, breaches: make(chan ledger.Breach, maxBreaches), changes: s.routes}
	operators.acknowledged.Store(1)
	s.zones = &zoneOperator{controls: s.fleet.Controls(), rng: s.stream(zoneDraws), evacuations: map[string][]ledger.Span{}}
	var failed error
	var all sync.WaitGroup
	all.Go(func() { operators.run(end) })
	all.Go(func() { s.zones.run(end) })
	all.Go(func() {
		s.report.FaultCounts, failed = strikeAll(resting(strikers(s.fleet, s.platform, s.stream)), faultsOver)
		faultsOver = time.Now()
	})
	for n := range s.Clients {
		c := &soakClient{keptConnection: keptConnection{fronts: s.fleet.Fronts(), rng: s.stream(uint64(n))}, name: fmt.Sprintf("s%d", n)}
		all.Go(func() { c.run(end, func(a soakAnswer) { s.answers <- a }) })
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
	return faultsOver, cmp.Or(err, failed)
}

// collect takes runs and answers in until everybody is done.
func (s *soak) collect(done chan struct{}) error {
	lines := json.NewEncoder(s.Ledger)
	for {
		select {
		case run := <-s.runs:
			s.ran = append(s.ran, timedRun{ReplicaRun: run, atMs: time.Now().UnixMilli(), altered: altered(run.Request, run.Body)})
		case a := <-s.answers:
			s.answered = append(s.answered, a)
			if err := lines.Encode(a.SoakResponse); err != nil {
				return err
			}
		case <-done:
			return nil
		}
	}
}

func (s *soak) count(a *soakAnswer, faultsOver time.Time) {
	s.report.Asked++
	served := a.Status == http.StatusOK && a.Complete
	switch {
	case served:
		s.report.Served++
	case a.Status == http.StatusServiceUnavailable:
		s.report.Rejected++
	default:
		s.report.Unanswered++
	}
	if a.AtMs < faultsOver.Add(calmLead).UnixMilli() {
		return
	}
	s.report.CalmAsked++
	if served {
		s.report.CalmServed++
	}
}
