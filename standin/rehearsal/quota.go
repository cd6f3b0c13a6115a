package rehearsal

import (
	"cmp"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/mallowbridge/mallowbridge/ledger"
	"github.com/mallowbridge/mallowbridge/platform"
)

// quotaRehearsal is the state of a running rehearsal of quotas.
type quotaRehearsal struct {
	QuotaOptions
	fleet    *Fleet
	platform *Platform
	// runs and responses pass what replicas ran and what clients received to collect.
	runs         chan ledger.QuotaRun
	responses    chan quotaResponse
	report       QuotaReport
	recordedRuns []ledger.QuotaRun
	// withinLimit counts the requests of tenants whose demand was below their limit, withinLimitRejected those of them that were rejected with status
	// 429.
	withinLimit, withinLimitRejected int
}

// runBuffer is the number of runs, and of responses, that may wait to be counted.
const runBuffer = 1 << 14

// RunQuotas starts a platform and a fleet and sends requests of tenants that stay below their limits or exceed them many times over. Meanwhile nodes
// are killed, stopped, frozen and reloaded in series, and the limits change. It checks what the replicas ran against the limits.
func RunQuotas(o QuotaOptions) (QuotaReport, error) {
	r := &quotaRehearsal{QuotaOptions: o, runs: make(chan ledger.QuotaRun, runBuffer), responses: make(chan quotaResponse, runBuffer)}
	faults := FaultRates{Reject: 0.05, Reset: 0.02, TruncateReset: 0.03}
	if o.NoFaults {
		faults = FaultRates{}
	}
	var err error
	if r.platform, err = StartPlatform(o.Replicas, o.Seed, faults, r.recordRun); err != nil {
		return r.report, err
	}
	defer r.platform.Stop()
	if r.fleet, err = NewFleet(o.Dir, o.Binary, r.platform.Addr, o.Nodes); err != nil {
		return r.report, err
	}
	defer r.fleet.Stop()
	if err = r.fleet.Boot(r.platform.Addr, configuration(1, quotaTenants(1, true))); err != nil {
		return r.report, err
	}
	limits, err := r.runWorkload()
	r.fleet.Stop()
	r.check(limits)
	return r.report, err
}

// recordRun records a request that a replica starts to run, with the time of this process's clock.
func (r *quotaRehearsal) recordRun(run ReplicaRun) {
	q := run.Request
	promptTokens, outputTokens := platform.ParseTokens(q.Header.Get(platform.HeaderTokenUsage))
	r.runs <- ledger.QuotaRun{AtMs: time.Now().UnixMilli(), Tenant: q.Header.Get(platform.HeaderTenant), Cost: float64(promptTokens + outputTokens)}
}

// runWorkload runs the clients, the fault injectors and the operator until the end, and returns the limits that were in force.
func (r *quotaRehearsal) runWorkload() ([]ledger.QuotaLimit, error) {
	end := time.Now().Add(r.Duration)
	operator := newQuotaOperator(r.fleet.ControlAddrs(), r.Seed)
	var injectors []*faultInjector
	if !r.NoFaults {
		injectors = newFaultInjectors(r.fleet, r.platform, r.newRand)
	}
	var injectionErr error
	var all sync.WaitGroup
	all.Go(func() { operator.run(end, r.FixedConfiguration) })
	all.Go(func() { r.clients(end) })
	all.Go(func() { r.report.FaultCounts, injectionErr = runFaultInjectors(injectors, end) })
	done := make(chan struct{})
	go func() {
		all.Wait()
		close(done)
	}()
	err := r.collect(done)
	r.report.Revisions = operator.acknowledged
	return operator.limits, cmp.Or(err, injectionErr)
}

// collect records runs and counts responses until done is closed.
func (r *quotaRehearsal) collect(done chan struct{}) error {
	ledgerRows := json.NewEncoder(r.Ledger)
	for {
		select {
		case run := <-r.runs:
			r.recordedRuns = append(r.recordedRuns, run)
			if err := ledgerRows.Encode(run); err != nil {
				return err
			}
		case a := <-r.responses:
			r.count(a)
		case <-done:
			return nil
		}
	}
}

func (r *quotaRehearsal) count(a quotaResponse) {
	r.report.Requests++
	switch a.status {
	case http.StatusOK:
	case http.StatusTooManyRequests:
		r.report.OverQuota++
	case http.StatusUnauthorized:
		r.report.Unauthorized++
	default:
		r.report.Failed++
	}
	if a.withinLimit {
		r.withinLimit++
		if a.status == http.StatusTooManyRequests {
			r.withinLimitRejected++
		}
	}
}

// check records the runs that are still buffered, completes the report and checks the runs against the limits.
func (r *quotaRehearsal) check(limits []ledger.QuotaLimit) {
	for {
		select {
		case run := <-r.runs:
			r.recordedRuns = append(r.recordedRuns, run)
			continue
		default:
		}
		break
	}
	r.report.Runs, r.report.DataRaces = len(r.recordedRuns), r.fleet.CountDataRaces()
	r.report.CompliantRejectRatio = float64(r.withinLimitRejected) / float64(max(r.withinLimit, 1))
	r.report.Windows = ledger.FullestWindows(r.recordedRuns, limits, quotaRule)
	r.report.Breaches = append(ledger.CheckQuotas(r.report.Windows), r.fleet.exits.breaches()...)
}

// newRand returns the random generator of a stream. Each part of a rehearsal uses its own stream.
func (r *quotaRehearsal) newRand(n uint64) *rand.Rand { return rand.New(rand.NewPCG(r.Seed, n)) }
