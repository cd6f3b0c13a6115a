package rehearsal

import (
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/mallowbridge/mallowbridge/ledger"
)

// Options are what a rehearsal is run with.
type Options struct {
	// Dir takes the nodes' settings, disks and logs. Binary is the program that they run.
	Dir, Binary string
	// Seed draws the faults, their times, and what clients ask for.
	Seed uint64
	// For is how long clients ask.
	For                      time.Duration
	Nodes, Replicas, Clients int
	Faults                   Faults
	// Ledger gets a line for each answer.
	Ledger io.Writer
}

// Report counts what happened.
type Report struct {
	// Answers began with a 200; Complete ended as complete, Resumed went on for a client that named an event.
	Answers, Complete, Resumed int
	// Kills, Stops, Freezes, Releases and Crashes count the faults of nodes and of replicas.
	Kills, Stops, Freezes, Releases, Crashes int
	// Races are the reports of the race detector in the nodes' logs.
	Races int
	// Revisions were acknowledged to the operator, Reads of the configuration answered.
	Revisions, Reads uint64
	// Breaches are those of the answers and of the configuration.
	Breaches []ledger.Breach
}

// Pauses between two faults of the platform or of a node, and how long a killed node stays away.
const (
	leastPause = 150 * time.Millisecond
	pauseRange = 500 * time.Millisecond
	awayRange  = 600 * time.Millisecond
)

// frozenTimes is how many times longer a node stands still than a killed one stays away.
const frozenTimes = 3

// maxBreaches is how many breaches of the configuration may wait to be read.
const maxBreaches = 1 << 16

// rehearsal is a run under way.
type rehearsal struct {
	Options
	fleet    *Fleet
	platform *Platform
	report   Report
	answers  []ledger.StreamResponse
}

// Run starts a platform and a fleet, lets clients ask while things break, and judges what they got.
func Run(o Options) (Report, error) {
	r := &rehearsal{Options: o}
	var err error
	if r.platform, err = StartPlatform(o.Replicas, o.Seed, o.Faults, nil); err != nil {
		return r.report, err
	}
	defer r.platform.Stop()
	if r.fleet, err = NewFleet(o.Dir, o.Binary, r.platform.Addr, o.Nodes); err != nil {
		return r.report, err
	}
	defer r.fleet.Stop()
	if err = r.fleet.Boot(r.platform.Addr, configuration(1, nil)); err != nil {
		return r.report, err
	}
	end := time.Now().Add(o.For)
	operators := &operators{controls: r.fleet.Controls(), seed: o.Seed, breaches: make(chan ledger.Breach, maxBreaches),
		changes: sameRoutes{rng: rand.New(rand.NewPCG(o.Seed, changePauses))}}
	operators.acknowledged.Store(1)
	go operators.run(end)
	err = r.serve(end)
	for b := range operators.breaches {
		r.report.Breaches = append(r.report.Breaches, b)
	}
	r.fleet.Stop()
	r.report.Revisions, r.report.Reads, r.report.Races = operators.acknowledged.Load(), operators.reads.Load(), r.fleet.Races()
	r.report.Breaches = append(r.report.Breaches, ledger.CheckStreams(r.answers)...)
	return r.report, err
}

// serve lets the clients ask while faults strike, and takes in the answers.
func (r *rehearsal) serve(end time.Time) error {
	answers, done := make(chan ledger.StreamResponse), make(chan struct{})
	var clients sync.WaitGroup
	for n := range r.Clients {
		c := NewClient(n, r.Seed, r.fleet.Fronts())
		clients.Go(func() {
			for number := 0; time.Now().Before(end); number++ {
				c.Ask(number, func(a ledger.StreamResponse) { answers <- a })
			}
		})
	}
	failed := make(chan error, 1)
	go func() { failed <- r.strike(end) }()
	go func() {
		clients.Wait()
		close(done)
	}()
	lines := json.NewEncoder(r.Ledger)
	for {
		select {
		case a := <-answers:
			r.count(a)
			if err := lines.Encode(a); err != nil {
				return err
			}
		case <-done:
			return <-failed
		}
	}
}

func (r *rehearsal) count(a ledger.StreamResponse) {
	r.answers = append(r.answers, a)
	r.report.Answers++
	if a.Complete {
		r.report.Complete++
	}
	if a.After > 0 {
		r.report.Resumed++
	}
}

// strike draws faults of replicas and, beside them, of nodes until the end.
func (r *rehearsal) strike(end time.Time) error {
	nodes := make(chan error, 1)
	go func() { nodes <- r.strikeEach(end, rand.New(rand.NewPCG(r.Seed, nodeFaults)), r.strikeNode) }()
	err := r.strikeEach(end, rand.New(rand.NewPCG(r.Seed, replicaFaults)), r.strikeReplica)
	return errors.Join(err, <-nodes)
}

// Streams of the seed, beside those of the clients, which count from 0.
const (
	nodeFaults = 1<<32 + iota
	replicaFaults
	changePauses
	operatorCalls
)

func (*rehearsal) strikeEach(end time.Time, rng *rand.Rand, one func(rng *rand.Rand) error) error {
	for time.Now().Before(end) {
		time.Sleep(leastPause + time.Duration(rng.Int64N(int64(pauseRange))))
		if err := one(rng); err != nil {
			return err
		}
	}
	return nil
}

func (r *rehearsal) strikeReplica(rng *rand.Rand) error {
	at := rng.IntN(1 << 20)
	if rng.IntN(2) == 0 {
		r.report.Releases++
		return r.platform.Release(at)
	}
	r.report.Crashes++
	return r.platform.Crash(at)
}

// strikeNode freezes a node, or kills it or tells it to end and starts it again.
func (r *rehearsal) strikeNode(rng *rand.Rand) error {
	at, away := rng.IntN(len(r.fleet.nodes)), time.Duration(rng.Int64N(int64(awayRange)))
	switch rng.IntN(3) {
	case 0:
		r.report.Freezes++
		r.fleet.Freeze(at, frozenTimes*away)
		return nil
	case 1:
		r.report.Kills++
		r.fleet.Signal(at, syscall.SIGKILL)
	default:
		r.report.Stops++
		r.fleet.Signal(at, syscall.SIGTERM)
	}
	time.Sleep(away)
	return r.fleet.Start(at)
}
