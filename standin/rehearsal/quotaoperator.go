package rehearsal

import (
	"math"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/mallowbridge/mallowbridge/ledger"
)

const (
	// maxLimitPause bounds the time between two changes of the limits.
	maxLimitPause = 6 * time.Second
	// maxApplyTime bounds the time until a superseded configuration is out of force on all nodes: its limits don't apply to windows that start later.
	// It is the sum of the settings configApplyMs and contactMs of the grown deployment.
	maxApplyTime = 6500 * time.Millisecond
)

// quotaOperator changes the limits of the tenants and records when each limit was in force.
type quotaOperator struct {
	controls []string
	rng      *rand.Rand
	limits   []ledger.QuotaLimit
	// acknowledged counts the changes that a node has acknowledged.
	acknowledged int
}

// newQuotaOperator returns an operator that has recorded the limits of the first configuration.
func newQuotaOperator(controls []string, seed uint64) *quotaOperator {
	o := &quotaOperator{controls: controls, rng: rand.New(rand.NewPCG(seed, limitStream))}
	o.beginLimits(quotaTenants(1, true))
	return o
}

// run puts one change after another until the end, or none if fixedConfiguration is set. A call without a conclusive response is repeated unchanged at
// another node.
func (o *quotaOperator) run(end time.Time, fixedConfiguration bool) {
	for revision := uint64(2); !fixedConfiguration; revision++ {
		time.Sleep(time.Duration(o.rng.Int64N(int64(maxLimitPause))))
		tenants := quotaTenants([]float64{0.5, 1, 2}[o.rng.IntN(3)], o.rng.IntN(4) > 0)
		previous := len(o.limits)
		o.beginLimits(tenants)
		if !o.put(revision, configuration(revision, tenants), end) {
			return
		}
		o.acknowledged++
		o.endLimits(previous)
	}
}

// put sends a document until a node accepts it, and returns false if the end comes first.
func (o *quotaOperator) put(revision uint64, document string, end time.Time) bool {
	for time.Now().Before(end) {
		if status, _ := putConfiguration(o.controls[o.rng.IntN(len(o.controls))], revision, document); status == http.StatusOK {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// beginLimits records limits that are in force from now on. Limits of tenants that the change leaves out stay in force.
func (o *quotaOperator) beginLimits(tenants []tenantDocument) {
	for _, t := range tenants {
		if t.Rate > 0 {
			o.limits = append(o.limits, ledger.QuotaLimit{Tenant: t.Name, FromMs: time.Now().UnixMilli(), UntilMs: math.MaxInt64, Rate: t.Rate, Burst: t.Burst})
		}
	}
}

// endLimits records that limits among the first n were superseded by later limits of the same tenants.
func (o *quotaOperator) endLimits(n int) {
	renewed := map[string]bool{}
	for _, l := range o.limits[n:] {
		renewed[l.Tenant] = true
	}
	for i := range o.limits[:n] {
		if l := &o.limits[i]; renewed[l.Tenant] && l.UntilMs == math.MaxInt64 {
			l.UntilMs = time.Now().Add(maxApplyTime).UnixMilli()
		}
	}
}
