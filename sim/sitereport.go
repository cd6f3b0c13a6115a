package sim

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/router"
)

// ClassReport counts the requests of one class. Firsts are times to the first event, in milliseconds.
type ClassReport struct {
	Requests, Served, InTime int
	FirstEventMs             []int64
}

// SiteReport is what a day at a site came to.
type SiteReport struct {
	Requested                                       int
	Classes                                         map[string]*ClassReport
	Outcomes, Reasons                               map[string]int
	ClientDisconnects, LateEvents, Retries, Resumed int
	ListCalls, ListCallsRejected                    int
	PutsAccepted, PutsRejected                      int
	ConfigReads, ResentChanges                      int
	Dials, WrongInstance                            int
	ConfirmedTokens, PredictedTokens                int
	PromptTokens, CachedTokens                      uint64
	ReplicaAdmitted, ReplicaRejected, Preempted     uint64
	after                                           time.Duration
	requested, served                               int
}

func (r *SiteReport) take(d *router.Decision) {
	r.ConfirmedTokens += d.ConfirmedTokens
	r.PredictedTokens += d.PredictedTokens
}

func (s *site) tallied(i *Instance) {
	r, e := &s.report, i.engine
	r.PromptTokens, r.CachedTokens = r.PromptTokens+e.PromptTokens, r.CachedTokens+e.CachedTokens
	r.ReplicaAdmitted, r.ReplicaRejected, r.Preempted = r.ReplicaAdmitted+e.Admitted, r.ReplicaRejected+e.Rejected, r.Preempted+e.Preempted
}

func (r *SiteReport) end(q *clientRequest) {
	if q.class.Name == "look" {
		return
	}
	if r.Classes == nil {
		r.Classes = map[string]*ClassReport{}
	}
	c := r.Classes[q.class.Name]
	if c == nil {
		c = &ClassReport{}
		r.Classes[q.class.Name] = c
	}
	c.Requests++
	overdue := r.after > 0 && q.at > r.after
	if overdue {
		r.requested++
	}
	if !q.served {
		return
	}
	c.Served++
	if overdue {
		r.served++
	}
	c.FirstEventMs = append(c.FirstEventMs, (q.first - q.at).Milliseconds())
	if q.first-q.at <= q.class.LatencyTarget && (q.class.TargetGap == 0 || q.gap <= q.class.TargetGap) {
		c.InTime++
	}
}

// Served is the share of requests that were served.
func (r *SiteReport) Served() float64 {
	asked, served := 0, 0
	for _, c := range r.Classes {
		asked, served = asked+c.Requests, served+c.Served
	}
	return float64(served) / float64(max(asked, 1))
}

// Write prints the report as a table.
func (r *SiteReport) Write(out io.Writer) {
	fmt.Fprintf(out, "%-10s %6s %6s %7s %9s %9s\n", "class", "asked", "served", "in time", "first p50", "first p95")
	for _, name := range sortedKeys(r.Classes) {
		c := r.Classes[name]
		fmt.Fprintf(out, "%-10s %6d %6d %7d %7dms %7dms\n", name, c.Requests, c.Served, c.InTime, Quantile(c.FirstEventMs, 0.5), Quantile(c.FirstEventMs, 0.95))
	}
	fmt.Fprintf(out, "outcomes %v, gave up %d, events late %d\nwhy denied: %v\n", r.Outcomes, r.ClientDisconnects, r.LateEvents, r.Reasons)
	fmt.Fprintf(out, "second attempts %d, resumed %d, connections %d, misplaced %d, lists %d (%d refused)\n", r.Retries, r.Resumed, r.Dials, r.WrongInstance, r.ListCalls, r.ListCallsRejected)
	fmt.Fprintf(out, "documents taken %d, refused %d, read %d, sent again %d; replicas admitted %d, refused %d, preempted %d\n", r.PutsAccepted, r.PutsRejected, r.ConfigReads, r.ResentChanges, r.ReplicaAdmitted, r.ReplicaRejected, r.Preempted)
	fmt.Fprintf(out, "prompt parts in cache %.1f%%, counted on: confirmed %.1f%%, predicted %.1f%%\n", share(int(r.CachedTokens), r.PromptTokens), share(r.ConfirmedTokens, r.PromptTokens), share(r.PredictedTokens, r.PromptTokens))
}

func share(part int, of uint64) float64 { return 100 * float64(part) / float64(max(of, 1)) }

// Site reports of a world that plays one.
func (w *World) Site() *SiteReport { return &w.site.report }

// finish reads back what was acknowledged and sums up.
func (s *site) finish() {
	for _, i := range s.instances {
		if i.up {
			s.tallied(i)
		}
	}
	s.kept(s.w.Now + s.spec.Bounds.Settle)
	s.w.Run(s.w.Now + s.spec.Bounds.Settle + 3*time.Second)
	if s.report.after > 0 && (s.report.requested == 0 || 4*s.report.served < s.report.requested) {
		s.rules.breach(RuleRecovery, "fleet", "%d of %d served", s.report.served, s.report.requested)
	}
	if got := s.report.Served(); got < 0.4 {
		s.rules.breach(RuleTooFewServed, "fleet", "%.0f%%", 100*got)
	}
}

// kept asks for the document at one node after the other until one answers.
func (s *site) kept(until time.Duration) {
	w := s.w
	n := w.Nodes[s.ops.rng.IntN(len(w.Nodes))]
	if w.Now > until {
		s.rules.breach(RuleOrderLost, "document", "nobody gives it")
		return
	}
	repeated := func() { w.After(200*time.Millisecond, func() { s.kept(until) }) }
	if !n.Alive {
		repeated()
		return
	}
	w.Call(n, control.Get{}, func(a control.Answer) {
		if a.Err != nil {
			repeated()
			return
		}
		s.compare(n, a)
	})
}

func (s *site) compare(n *Node, a control.Answer) {
	at, _ := revisionIn(a.Value.Document)
	latest := s.rules.newest()
	if !s.rules.sent(at, a.Value.Document) {
		s.rules.breach(RuleOrderLost, "document", "revision %d is not what was sent", at)
	}
	if latest != nil && at < latest.revision {
		s.rules.breach(RuleOrderLost, "document", "%s gives revision %d, %d was acknowledged", n.Name, at, latest.revision)
	}
	for _, d := range sortedKeys(s.rules.evacs) {
		if e := s.rules.evacs[d]; !e.lifted && !slices.Contains(a.Value.EvacuatedZones, d) {
			s.rules.breach(RuleOrderLost, "evacuation", "%s does not know that %s is evacuated", n.Name, d)
		}
	}
	for _, d := range sortedKeys(s.rules.reopened) {
		if slices.Contains(a.Value.EvacuatedZones, d) {
			s.rules.breach(RuleOrderLost, "evacuation", "%s holds %s evacuated, which was taken back", n.Name, d)
		}
	}
}
