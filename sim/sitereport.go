package sim

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/router"
)

// ClassReport counts the requests of one class. InTime counts the served requests whose first event and longest gap were within the class's
// targets. FirstEventMs are times to the first event in milliseconds.
type ClassReport struct {
	Requests, Served, InTime int
	FirstEventMs             []int64
}

// SiteReport contains the figures of a run at a site.
type SiteReport struct {
	// Requested counts all requests, Classes those that ended, by class.
	Requested int
	Classes   map[string]*ClassReport
	// Outcomes counts attempts by how they ended for the client, Reasons rejections by reason.
	Outcomes, Reasons map[string]int
	// ClientDisconnects counts attempts that clients gave up, LateEvents events that were forwarded too late, Retries the times that an attempt
	// was sent to a replica again, Resumed responses that continued a stream.
	ClientDisconnects, LateEvents, Retries, Resumed int
	ListCalls, ListCallsRejected                    int
	PutsAccepted, PutsRejected                      int
	// ConfigReads counts reads of the configuration by operators, ResentChanges responses to accepted changes that were sent again.
	ConfigReads, ResentChanges int
	// Dials counts connections to replicas, WrongInstance requests that arrived at an instance for which they were not meant.
	Dials, WrongInstance int
	// ConfirmedTokens and PredictedTokens are the prefix tokens that placements counted on.
	ConfirmedTokens, PredictedTokens int
	// PromptTokens, CachedTokens, ReplicaAdmitted, ReplicaRejected and Preempted are sums over all engines.
	PromptTokens, CachedTokens                  uint64
	ReplicaAdmitted, ReplicaRejected, Preempted uint64
	// recoverBy is when requests must be served again after the closing faults, 0 without such faults.
	recoverBy                                  time.Duration
	requestsAfterRecovery, servedAfterRecovery int
}

func (r *SiteReport) addPlacement(d *router.Decision) {
	r.ConfirmedTokens += d.ConfirmedTokens
	r.PredictedTokens += d.PredictedTokens
}

func (s *site) addEngineCounters(i *Instance) {
	r, engine := &s.report, i.engine
	r.PromptTokens, r.CachedTokens = r.PromptTokens+engine.PromptTokens, r.CachedTokens+engine.CachedTokens
	r.ReplicaAdmitted, r.ReplicaRejected, r.Preempted = r.ReplicaAdmitted+engine.Admitted, r.ReplicaRejected+engine.Rejected, r.Preempted+engine.Preempted
}

// countRequest counts a request that ended, unless it was a configuration probe.
func (r *SiteReport) countRequest(q *clientRequest) {
	if q.class.Name == "look" {
		return
	}
	if r.Classes == nil {
		r.Classes = map[string]*ClassReport{}
	}
	class := r.Classes[q.class.Name]
	if class == nil {
		class = &ClassReport{}
		r.Classes[q.class.Name] = class
	}
	class.Requests++
	afterRecovery := r.recoverBy > 0 && q.arrivedAt > r.recoverBy
	if afterRecovery {
		r.requestsAfterRecovery++
	}
	if !q.served {
		return
	}
	class.Served++
	if afterRecovery {
		r.servedAfterRecovery++
	}
	class.FirstEventMs = append(class.FirstEventMs, (q.firstEventAt - q.arrivedAt).Milliseconds())
	if q.firstEventAt-q.arrivedAt <= q.class.LatencyTarget && (q.class.TargetGap == 0 || q.longestGap <= q.class.TargetGap) {
		class.InTime++
	}
}

// Served returns the share of requests that were served.
func (r *SiteReport) Served() float64 {
	requests, served := 0, 0
	for _, class := range r.Classes {
		requests, served = requests+class.Requests, served+class.Served
	}
	return float64(served) / float64(max(requests, 1))
}

// Write prints the report.
func (r *SiteReport) Write(out io.Writer) {
	fmt.Fprintf(out, "%-10s %6s %6s %7s %9s %9s\n", "class", "asked", "served", "in time", "first p50", "first p95")
	for _, name := range sortedKeys(r.Classes) {
		c := r.Classes[name]
		fmt.Fprintf(out, "%-10s %6d %6d %7d %7dms %7dms\n", name, c.Requests, c.Served, c.InTime, Quantile(c.FirstEventMs, 0.5), Quantile(c.FirstEventMs, 0.95))
	}
	fmt.Fprintf(out, "outcomes %v, client disconnects %d, late events %d\nreasons of rejections: %v\n", r.Outcomes, r.ClientDisconnects, r.LateEvents, r.Reasons)
	fmt.Fprintf(out, "retries %d, resumed %d, connections %d, sent to another instance %d, list calls %d (%d rejected)\n", r.Retries, r.Resumed, r.Dials, r.WrongInstance, r.ListCalls, r.ListCallsRejected)
	fmt.Fprintf(out, "configurations accepted %d, rejected %d, read %d, sent again %d; replicas admitted %d, rejected %d, preempted %d\n", r.PutsAccepted, r.PutsRejected, r.ConfigReads, r.ResentChanges, r.ReplicaAdmitted, r.ReplicaRejected, r.Preempted)
	fmt.Fprintf(out, "prefix tokens found in cache %.1f%%, expected there: confirmed %.1f%%, predicted %.1f%%\n", share(int(r.CachedTokens), r.PromptTokens), share(r.ConfirmedTokens, r.PromptTokens), share(r.PredictedTokens, r.PromptTokens))
}

func share(part int, of uint64) float64 { return 100 * float64(part) / float64(max(of, 1)) }

// Site returns the report of a world with a site.
func (w *World) Site() *SiteReport { return &w.site.report }

// finish reads the final configuration, checks it, and checks that enough requests were served.
func (s *site) finish() {
	for _, i := range s.instances {
		if i.up {
			s.addEngineCounters(i)
		}
	}
	s.readFinalDocument(s.w.Now + s.spec.Bounds.Settle)
	s.w.Run(s.w.Now + s.spec.Bounds.Settle + 3*time.Second)
	if s.report.recoverBy > 0 && (s.report.requestsAfterRecovery == 0 || 4*s.report.servedAfterRecovery < s.report.requestsAfterRecovery) {
		s.rules.breach(RuleRecovery, "fleet", "%d of %d requests served after the closing faults", s.report.servedAfterRecovery, s.report.requestsAfterRecovery)
	}
	if got := s.report.Served(); got < 0.4 {
		s.rules.breach(RuleTooFewServed, "fleet", "%.0f%% of requests served, at least 40%% required", 100*got)
	}
}

// readFinalDocument reads the configuration from random nodes until one responds, and checks it.
func (s *site) readFinalDocument(until time.Duration) {
	w := s.w
	n := w.Nodes[s.operators.rng.IntN(len(w.Nodes))]
	if w.Now > until {
		s.rules.breach(RuleOrderLost, "document", "no node returned it")
		return
	}
	retry := func() { w.After(200*time.Millisecond, func() { s.readFinalDocument(until) }) }
	if !n.Alive {
		retry()
		return
	}
	w.Call(n, control.Get{}, func(a control.Answer) {
		if a.Err != nil {
			retry()
			return
		}
		s.checkFinalState(n, a)
	})
}

// checkFinalState checks that acknowledged configurations and evacuations were not lost.
func (s *site) checkFinalState(n *Node, a control.Answer) {
	revision, _ := revisionIn(a.Value.Document)
	latest := s.rules.newestAcked()
	if !s.rules.matchesSent(revision, a.Value.Document) {
		s.rules.breach(RuleOrderLost, "document", "the content of revision %d is not what was sent", revision)
	}
	if latest != nil && revision < latest.revision {
		s.rules.breach(RuleOrderLost, "document", "%s returned revision %d, revision %d was acknowledged", n.Name, revision, latest.revision)
	}
	for _, zone := range sortedKeys(s.rules.evacuations) {
		if e := s.rules.evacuations[zone]; !e.restored && !slices.Contains(a.Value.EvacuatedZones, zone) {
			s.rules.breach(RuleOrderLost, "evacuation", "%s does not know that %s is evacuated", n.Name, zone)
		}
	}
	for _, zone := range sortedKeys(s.rules.restored) {
		if slices.Contains(a.Value.EvacuatedZones, zone) {
			s.rules.breach(RuleOrderLost, "evacuation", "%s considers %s evacuated, though the evacuation was ended", n.Name, zone)
		}
	}
}
