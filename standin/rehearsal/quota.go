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

// quotaRehearsal is a run under way.
type quotaRehearsal struct {
	QuotaOptions
	fleet    *Fleet
	platform *Platform
	runs     chan ledger.QuotaRun
	answers  chan quotaAnswer
	report   QuotaReport
	ran      []ledger.QuotaRun
	// usual and usualRefused count requests outside of hot times, of tenants with a limit.
	usual, usualRefused int
}

// runBuffer is how many runs and answers may wait to be counted.
const runBuffer = 1 << 14

// RunQuotas starts a platform and a fleet, lets tenants ask for less and for much more than their limits while nodes are killed, stopped,
// frozen and reloaded in series and the limits change, and judges what the replicas ran.
func RunQuotas(o QuotaOptions) (QuotaReport, error) {
	r := &quotaRehearsal{QuotaOptions: o, runs: make(chan ledger.QuotaRun, runBuffer), answers: make(chan quotaAnswer, runBuffer)}
	faults := Faults{Refuse: 0.05, Vanish: 0.02, CutReset: 0.03}
	if o.Calm {
		faults = Faults{}
	}
	var err error
	if r.platform, err = StartPlatform(o.Replicas, o.Seed, faults, r.sawRun); err != nil {
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
	limits, err := r.play()
	r.fleet.Stop()
	r.judge(limits)
	return r.report, err
}

// sawRun notes a request that a replica begins to run, by this process's clock.
func (r *quotaRehearsal) sawRun(run ReplicaRun) {
	q := run.Request
	prompt, most := platform.ParseTokens(q.Header.Get(platform.HeaderTokenUsage))
	r.runs <- ledger.QuotaRun{AtMs: time.Now().UnixMilli(), Tenant: q.Header.Get(platform.HeaderTenant), Cost: float64(prompt + most)}
}

// play lets clients ask, nodes fail and operators change limits until the end, and gives the limits that were in force.
func (r *quotaRehearsal) play() ([]ledger.QuotaLimit, error) {
	end := time.Now().Add(r.For)
	operator := newQuotaOperator(r.fleet.Controls(), r.Seed)
	var failing []*striker
	if !r.Calm {
		failing = strikers(r.fleet, r.platform, r.stream)
	}
	var failed error
	var all sync.WaitGroup
	all.Go(func() { operator.run(end, r.Unchanged) })
	all.Go(func() { r.clients(end) })
	all.Go(func() { r.report.FaultCounts, failed = strikeAll(failing, end) })
	done := make(chan struct{})
	go func() {
		all.Wait()
		close(done)
	}()
	err := r.collect(done)
	r.report.Revisions = operator.acknowledged
	return operator.limits, cmp.Or(err, failed)
}

// collect counts runs and answers until everybody is done.
func (r *quotaRehearsal) collect(done chan struct{}) error {
	lines := json.NewEncoder(r.Ledger)
	for {
		select {
		case run := <-r.runs:
			r.ran = append(r.ran, run)
			if err := lines.Encode(run); err != nil {
				return err
			}
		case a := <-r.answers:
			r.count(a)
		case <-done:
			return nil
		}
	}
}

func (r *quotaRehearsal) count(a quotaAnswer) {
	r.report.Asked++
	switch a.status {
	case http.StatusOK:
	case http.StatusTooManyRequests:
		r.report.OverQuota++
	case http.StatusUnauthorized:
		r.report.Unauthorized++
	default:
		r.report.Unanswered++
	}
	if a.usual {
		r.usual++
		if a.status == http.StatusTooManyRequests {
			r.usualRefused++
		}
	}
}

func (r *quotaRehearsal) judge(limits []ledger.QuotaLimit) {
	for {
		select {
		case run := <-r.runs:
			r.ran = append(r.ran, run)
			continue
		default:
		}
		break
	}
	r.report.Ran, r.report.Races = len(r.ran), r.fleet.Races()
	r.report.UsualRefused = float64(r.usualRefused) / float64(max(r.usual, 1))
	r.report.Windows = ledger.FullestWindows(r.ran, limits, quotaRule)
	r.report.Breaches = ledger.CheckQuotas(r.report.Windows)
}

// stream gives each part of a rehearsal random numbers of its own.
func (r *quotaRehearsal) stream(n uint64) *rand.Rand { return rand.New(rand.NewPCG(r.Seed, n)) }
