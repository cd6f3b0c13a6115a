package rehearsal

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/mallowbridge/mallowbridge/ledger"
)

// StreamOptions configures a rehearsal of streams.
type StreamOptions struct {
	Options
	Faults FaultRates
}

// StreamReport contains the counts and the breaches of a rehearsal of streams.
type StreamReport struct {
	// Responses counts responses with status 200, Complete those that ended properly, Resumed those to requests that named the last event of an
	// earlier response.
	Responses, Complete, Resumed int
	// Kills, Stops and Freezes count the faults of nodes, Releases and Crashes those of replicas.
	Kills, Stops, Freezes, Releases, Crashes int
	// DataRaces counts the race detector's reports in the nodes' logs.
	DataRaces int
	// Revisions counts the revisions of the configuration that were acknowledged to the operator, Reads the successful reads of the configuration.
	Revisions, Reads uint64
	// Breaches are the violated rules, both on responses and on the configuration.
	Breaches []ledger.Breach
}

// The pause between two faults of the platform or of a node is minFaultPause plus a random time below faultPauseRange. A stopped node is started
// again after at most maxDowntime.
const (
	minFaultPause   = 150 * time.Millisecond
	faultPauseRange = 500 * time.Millisecond
	maxDowntime     = 600 * time.Millisecond
)

// freezeFactor is how many times longer a node is frozen than a killed one stays down.
const freezeFactor = 3

// breachBuffer is the number of breaches of the configuration that may wait to be collected.
const breachBuffer = 1 << 16

// streamRehearsal is the state of a running rehearsal of streams.
type streamRehearsal struct {
	StreamOptions
	fleet     *Fleet
	platform  *Platform
	report    StreamReport
	responses []ledger.StreamResponse
}

// RunStreams starts a platform and a fleet, lets clients send requests while it injects faults, and checks what the clients received.
func RunStreams(o StreamOptions) (StreamReport, error) {
	r := &streamRehearsal{StreamOptions: o}
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
	end := time.Now().Add(o.Duration)
	operators := &operators{controls: r.fleet.ControlAddrs(), seed: o.Seed, breaches: make(chan ledger.Breach, breachBuffer),
		documents: unchangedRoutes{rng: rand.New(rand.NewPCG(o.Seed, changePauseStream))}}
	operators.acknowledged.Store(1)
	go operators.run(end)
	err = r.serve(end)
	for b := range operators.breaches {
		r.report.Breaches = append(r.report.Breaches, b)
	}
	r.fleet.Stop()
	r.report.Revisions, r.report.Reads, r.report.DataRaces = operators.acknowledged.Load(), operators.reads.Load(), r.fleet.CountDataRaces()
	r.report.Breaches = append(r.report.Breaches, ledger.CheckStreams(r.responses)...)
	r.report.Breaches = append(r.report.Breaches, r.fleet.exits.breaches()...)
	return r.report, err
}

// serve runs the clients and the fault injection until the end, and collects the responses.
func (r *streamRehearsal) serve(end time.Time) error {
	responses, done := make(chan ledger.StreamResponse), make(chan struct{})
	var clients sync.WaitGroup
	for n := range r.Clients {
		c := NewClient(n, r.Seed, r.fleet.FrontendAddrs())
		clients.Go(func() {
			for number := 0; time.Now().Before(end); number++ {
				c.Fetch(number, func(a ledger.StreamResponse) { responses <- a })
			}
		})
	}
	failed := make(chan error, 1)
	go func() { failed <- r.injectFaults(end) }()
	go func() {
		clients.Wait()
		close(done)
	}()
	ledgerRows := json.NewEncoder(r.Ledger)
	for {
		select {
		case a := <-responses:
			r.count(a)
			if err := ledgerRows.Encode(a); err != nil {
				return err
			}
		case <-done:
			return <-failed
		}
	}
}

func (r *streamRehearsal) count(a ledger.StreamResponse) {
	r.responses = append(r.responses, a)
	r.report.Responses++
	if a.Complete {
		r.report.Complete++
	}
	if a.After > 0 {
		r.report.Resumed++
	}
}

// injectFaults injects random faults into replicas and, concurrently, into nodes until the end.
func (r *streamRehearsal) injectFaults(end time.Time) error {
	nodes := make(chan error, 1)
	go func() { nodes <- r.repeatFaults(end, rand.New(rand.NewPCG(r.Seed, nodeFaultStream)), r.failNode) }()
	err := r.repeatFaults(end, rand.New(rand.NewPCG(r.Seed, replicaFaultStream)), r.failReplica)
	return errors.Join(err, <-nodes)
}

// Streams of the random generator of a rehearsal of streams. Streams from 0 on belong to the clients.
const (
	nodeFaultStream = 1<<32 + iota
	replicaFaultStream
	changePauseStream
	operatorStream
)

// repeatFaults calls inject with random pauses until the end or the first error.
func (*streamRehearsal) repeatFaults(end time.Time, rng *rand.Rand, inject func(rng *rand.Rand) error) error {
	for time.Now().Before(end) {
		time.Sleep(minFaultPause + time.Duration(rng.Int64N(int64(faultPauseRange))))
		if err := inject(rng); err != nil {
			return err
		}
	}
	return nil
}

// failReplica releases a new version of a random replica, or crashes one.
func (r *streamRehearsal) failReplica(rng *rand.Rand) error {
	at := rng.IntN(1 << 20)
	if rng.IntN(2) == 0 {
		r.report.Releases++
		return r.platform.Release(at)
	}
	r.report.Crashes++
	return r.platform.Crash(at)
}

// failNode freezes a random node, or kills or stops it and starts it again.
func (r *streamRehearsal) failNode(rng *rand.Rand) error {
	at, downtime := rng.IntN(len(r.fleet.nodes)), time.Duration(rng.Int64N(int64(maxDowntime)))
	switch rng.IntN(3) {
	case 0:
		r.report.Freezes++
		r.fleet.Freeze(at, freezeFactor*downtime)
		return nil
	case 1:
		r.report.Kills++
		r.fleet.SignalAndWait(at, syscall.SIGKILL)
	default:
		r.report.Stops++
		r.fleet.SignalAndWait(at, syscall.SIGTERM)
	}
	time.Sleep(downtime)
	return r.fleet.Start(at)
}
