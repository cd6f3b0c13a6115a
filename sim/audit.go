package sim

import (
	"fmt"
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/ledger"
	"github.com/mallowbridge/mallowbridge/register"
)

// Bounds of the audit's rules.
const (
	// drainWithin, applyWithin and fleetEvacuateWithin are how long a node may still act against a drained replica, a new version and an
	// evacuation that it must know of.
	drainWithin         = 3 * time.Second
	applyWithin         = 2 * time.Second
	fleetEvacuateWithin = 5 * time.Second
	// Within fleetRetryWindow there may be fleetRetryExtra retries more than the ratio of first attempts.
	fleetRetryWindow = 10 * time.Second
	fleetRetryExtra  = 24
	// gossipDelay is how long gossip may take to reach all nodes.
	gossipDelay = 500 * time.Millisecond
	// breachTraceLines is how many trace lines before the first breach are kept.
	breachTraceLines = 90
)

// Kinds of breach of the audit's rules.
const (
	StaleSnapshot        = "old configuration obeyed"
	SnapshotWentBack     = "older configuration came back"
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

// versionFact is an accepted version, an evacuation or the draining of a replica. It became known at a time to a node in zone, through which the
// other nodes must learn of it. version is 0 unless the fact is an accepted version.
type versionFact struct {
	at      time.Duration
	zone    string
	version uint64
}

// partitionSpan is the time in which a zone was partitioned from the others.
type partitionSpan struct {
	zone        string
	from, until time.Duration
}

// versionAt is the version that a node applied at a time.
type versionAt struct {
	at      time.Duration
	version uint64
}

// Audit checks the rules of the fleet during the run. It uses only what clients, replicas, operators and the platform can observe.
type Audit struct {
	w *World
	// Breaches contains the first 50 breaches, TraceBeforeBreach the trace lines before the first one.
	Breaches []ledger.Breach
	versions []versionFact
	// highest is the newest accepted version.
	highest uint64
	// evacuatedAt contains the evacuated zones by name, drainedAt the draining or removed replicas by name.
	evacuatedAt map[string]versionFact
	drainedAt   map[string]versionFact
	// newestApplied is the newest version with which each node sent an attempt, by node name.
	newestApplied map[string]uint64
	// documents contains the contents of each version. A version must have the same contents at all nodes.
	documents      map[uint64]string
	configContents []*configContent
	partitions     []partitionSpan
	firstAttempts  []time.Duration
	retries        []time.Duration
	// predictions contains the time until which a frontend may count on a predicted prefix block, proofs the blocks that a replica's response
	// confirmed.
	predictions       map[predictionKey]time.Duration
	proofs            map[predictionKey]bool
	TraceBeforeBreach []string
	// ExcusedAttempts counts attempts that would break a rule if a partition did not excuse them.
	ExcusedAttempts int
	// appliedVersions are the versions that each node applied, in order.
	appliedVersions map[string][]versionAt
}

func newAudit(w *World) *Audit {
	return &Audit{
		w: w, evacuatedAt: map[string]versionFact{}, drainedAt: map[string]versionFact{}, newestApplied: map[string]uint64{}, documents: map[uint64]string{},
		predictions: map[predictionKey]time.Duration{}, proofs: map[predictionKey]bool{}, appliedVersions: map[string][]versionAt{},
	}
}

// mustKnowAt returns the time from which on a node must know a fact. A fact that is known on the other side of a zone's partition, or became known just
// before the partition began, must be known when the partition heals.
func (a *Audit) mustKnowAt(n *Node, f versionFact) time.Duration {
	at := f.at
	for _, partition := range a.partitions {
		if (n.Zone == partition.zone) != (f.zone == partition.zone) && at >= partition.from-gossipDelay && at < partition.until {
			at = partition.until
		}
	}
	return at
}

// overdue reports whether a node that acts against a fact has had longer than within to learn of it. It counts attempts that only a partition excuses.
func (a *Audit) overdue(n *Node, f versionFact, within time.Duration) bool {
	if a.w.Now-f.at <= within {
		return false
	}
	if a.w.Now-a.mustKnowAt(n, f) <= within {
		a.ExcusedAttempts++
		return false
	}
	return true
}

func (a *Audit) breach(kind, subject, detail string) {
	a.w.Tracef("BREACH %s: %s: %s", kind, subject, detail)
	if len(a.Breaches) == 0 {
		a.TraceBeforeBreach = slices.Clone(a.w.Trace[max(0, len(a.w.Trace)-breachTraceLines):])
	}
	if len(a.Breaches) < 50 {
		a.Breaches = append(a.Breaches, ledger.Breach{Kind: kind, Request: subject, Detail: fmt.Sprintf("at %s: %s", a.w.Now, detail)})
	}
}

func (a *Audit) configAccepted(n *Node, v *register.Value) {
	a.checkSameConfig(v)
	if v.Version > a.highest {
		a.highest = v.Version
		a.versions = append(a.versions, versionFact{at: a.w.Now, version: v.Version, zone: n.Zone})
		a.w.Tracef("accepted version %d", v.Version)
	}
}

func (a *Audit) checkSameConfig(v *register.Value) {
	text := string(v.Document) + fmt.Sprint(v.EvacuatedZones)
	if old, ok := a.documents[v.Version]; ok && old != text {
		a.breach(TwoConfigs, fmt.Sprint(v.Version), "")
	}
	a.documents[v.Version] = text
}

func (a *Audit) zoneEvacuated(n *Node, zone string, evacuated bool) {
	delete(a.evacuatedAt, zone)
	if evacuated {
		a.evacuatedAt[zone] = versionFact{at: a.w.Now, zone: n.Zone}
	}
}

func (a *Audit) replicaDraining(n *Node, replica string) {
	if _, ok := a.drainedAt[replica]; !ok {
		a.drainedAt[replica] = versionFact{at: a.w.Now, zone: n.Zone}
	}
}

func (a *Audit) replicaListedAgain(replica string) { delete(a.drainedAt, replica) }
