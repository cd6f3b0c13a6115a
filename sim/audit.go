package sim

import (
	"fmt"
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/ledger"
	"github.com/mallowbridge/mallowbridge/register"
)

const (
	leavingWithin = 3 * time.Second
	orderWithin   = 2 * time.Second
	emptyWithin   = 5 * time.Second
	secondWindow  = 10 * time.Second
	secondPlus    = 24
	gossipTravel  = 500 * time.Millisecond
	storyLines    = 90
)

// Classes of breach of the rules.
const (
	OldSnapshot          = "old configuration obeyed"
	OlderSnapshot        = "older configuration came back"
	ToEvacuated          = "work for an emptied domain"
	ToDraining           = "work for a leaving replica"
	TooManyRetries       = "too many second goes"
	WarmupOverloaded     = "cold replica flooded"
	LostVersion          = "accepted configuration was lost"
	NotRecovered         = "service did not return"
	TwoConfigs           = "one mark, two configurations"
	TwoLeaseHolders      = "two holders of one claim"
	UnreadableFrame      = "a frame that a neighbouring build cannot read"
	ConfigNotApplied     = "contents of a configuration not obeyed"
	RetriedNonIdempotent = "second go of a kind that may not be repeated"
	StalePrediction      = "warm guess outlived its time"
	UnprovenConfirmation = "counted as confirmed without proof"
)

// A fact is known outside the nodes; zone is where it was told.
type versionFact struct {
	at      time.Duration
	zone    string
	version uint64
}

type partitionSpan struct {
	zone        string
	from, until time.Duration
}

type versionAt struct {
	at      time.Duration
	version uint64
}

// Audit checks the rules of the fleet as the run goes, by what was told outside the nodes. Breaches holds the first 50 breaches, Story the
// trace before the first, Exempt how many attempts only a network cut excuses.
type Audit struct {
	w                 *World
	Breaches          []ledger.Breach
	versions          []versionFact
	highest           uint64
	evacuatedAt       map[string]versionFact
	drainedAt         map[string]versionFact
	applied           map[string]uint64
	bodies            map[uint64]string
	contents          []*content
	partitions        []partitionSpan
	firstAttempts     []time.Duration
	retries           []time.Duration
	predictions       map[predictionKey]time.Duration
	proofs            map[predictionKey]bool
	TraceBeforeBreach []string
	ExcusedAttempts   int
	orders            map[string][]versionAt
}

func newAudit(w *World) *Audit {
	return &Audit{
		w: w, evacuatedAt: map[string]versionFact{}, drainedAt: map[string]versionFact{}, applied: map[string]uint64{}, bodies: map[uint64]string{},
		predictions: map[predictionKey]time.Duration{}, proofs: map[predictionKey]bool{}, orders: map[string][]versionAt{},
	}
}

// known tells from when on a node must count with a fact: a cut-off zone has until the cut heals for what was told
// outside, and no node has longer.
func (a *Audit) known(n *Node, f versionFact) time.Duration {
	at := f.at
	for _, s := range a.partitions {
		if (n.Zone == s.zone) != (f.zone == s.zone) && at >= s.from-gossipTravel && at < s.until {
			at = s.until
		}
	}
	return at
}

// late tells whether a node acts against a fact longer than it may; attempts that only a partition excuses are counted.
func (a *Audit) late(n *Node, f versionFact, within time.Duration) bool {
	if a.w.Now-f.at <= within {
		return false
	}
	if a.w.Now-a.known(n, f) <= within {
		a.ExcusedAttempts++
		return false
	}
	return true
}

func (a *Audit) breach(what, who, detail string) {
	a.w.Tracef("BREACH %s: %s: %s", what, who, detail)
	if len(a.Breaches) == 0 {
		a.TraceBeforeBreach = slices.Clone(a.w.Trace[max(0, len(a.w.Trace)-storyLines):])
	}
	if len(a.Breaches) < 50 {
		a.Breaches = append(a.Breaches, ledger.Breach{What: what, Request: who, Detail: fmt.Sprintf("at %s: %s", a.w.Now, detail)})
	}
}

func (a *Audit) accepted(n *Node, v *register.Value) {
	a.same(v)
	if v.Version > a.highest {
		a.highest = v.Version
		a.versions = append(a.versions, versionFact{at: a.w.Now, version: v.Version, zone: n.Zone})
		a.w.Tracef("accepted mark %d", v.Version)
	}
}

func (a *Audit) same(v *register.Value) {
	text := string(v.Document) + fmt.Sprint(v.EvacuatedZones)
	if old, ok := a.bodies[v.Version]; ok && old != text {
		a.breach(TwoConfigs, fmt.Sprint(v.Version), "")
	}
	a.bodies[v.Version] = text
}

func (a *Audit) emptied(n *Node, zone string, yes bool) {
	delete(a.evacuatedAt, zone)
	if yes {
		a.evacuatedAt[zone] = versionFact{at: a.w.Now, zone: n.Zone}
	}
}

func (a *Audit) drains(n *Node, replica string) {
	if _, ok := a.drainedAt[replica]; !ok {
		a.drainedAt[replica] = versionFact{at: a.w.Now, zone: n.Zone}
	}
}

func (a *Audit) back(replica string) { delete(a.drainedAt, replica) }

func (a *Audit) due(n *Node) uint64 {
	for i := len(a.versions) - 1; i >= 0; i-- {
		f := a.versions[i]
		if a.w.Now-f.at > orderWithin && a.w.Now-a.known(n, f) > orderWithin {
			return f.version
		}
	}
	return 0
}

func (a *Audit) sent(f *fleetRequest, c *fleetConn) {
	now, n := a.w.Now, f.n
	version, due := n.router.Version(), a.due(n)
	if version < due {
		a.breach(OldSnapshot, n.Name, fmt.Sprintf("mark %d, due %d", version, due))
	}
	for i := len(a.versions) - 1; i >= 0 && a.versions[i].version > version; i-- {
		if a.versions[i].version > due && now-a.versions[i].at > orderWithin {
			a.ExcusedAttempts++
			break
		}
	}
	if version < a.applied[n.Name] {
		a.breach(OlderSnapshot, n.Name, fmt.Sprintf("mark %d after %d", version, a.applied[n.Name]))
	}
	a.applied[n.Name] = max(a.applied[n.Name], version)
	if left, ok := a.drainedAt[c.replica.Name]; ok && a.late(n, left, leavingWithin) {
		a.breach(ToDraining, c.replica.Name, n.Name)
	}
	a.appliesContents(f, c, due)
	if f.attempts == 1 {
		a.firstAttempts = append(a.firstAttempts, now)
		return
	}
	a.w.Report.Retries++
	a.retries = append(a.retries, now)
	in := func(ts []time.Duration) int {
		var k int
		for i := len(ts) - 1; i >= 0 && now-ts[i] < secondWindow; i-- {
			k++
		}
		return k
	}
	if s, fst := in(a.retries), in(a.firstAttempts); float64(s) > retryRatio*float64(fst)+secondPlus {
		a.breach(TooManyRetries, n.Name, fmt.Sprintf("%d for %d", s, fst))
	}
}

func (a *Audit) begun(r *FleetReplica) {
	if r.model.WarmupOverloads > 0 {
		a.breach(WarmupOverloaded, r.Name, fmt.Sprintf("%d running, bears %d, cold for %s", len(r.model.Running), r.model.RunningLimit(a.w.Now), a.w.Now-r.model.StartedAt))
		a.w.Report.WarmupOverloads += r.model.WarmupOverloads
		r.model.WarmupOverloads = 0
	}
}

func (a *Audit) checkLeases() {
	by := map[string]string{}
	for _, n := range a.w.Nodes {
		if !n.Alive || n.frozen {
			continue
		}
		for _, d := range n.node.HeldRoles(n.local()) {
			if by[d] != "" {
				a.breach(TwoLeaseHolders, d, by[d]+" and "+n.Name)
			}
			by[d] = n.Name
		}
	}
	a.w.After(100*time.Millisecond, a.checkLeases)
}

func (a *Audit) applies(n *Node) {
	a.orders[n.Name] = append(a.orders[n.Name], versionAt{at: a.w.Now, version: n.router.Version()})
}

// ApplyTimes tells for each accepted version how long the slowest node took to obey it or a later one.
func (a *Audit) ApplyTimes() []int64 {
	var ms []int64
	for _, s := range a.versions {
		var slowest int64
		for _, n := range a.w.Nodes {
			elapsed := (a.w.Now - s.at).Milliseconds()
			for _, o := range a.orders[n.Name] {
				if o.version >= s.version {
					elapsed = max((o.at - s.at).Milliseconds(), 0)
					break
				}
			}
			slowest = max(slowest, elapsed)
		}
		ms = append(ms, slowest)
	}
	return ms
}
