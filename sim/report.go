package sim

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/ledger"
)

// ClassResult counts the requests of one class by outcome. FirstTokenMs are times to first token in milliseconds.
type ClassResult struct {
	Done, Rejected, Partial, Unknown, Lost, Repeated, RejectedLate int
	FirstTokenMs                                                   []int64
}

// Report contains the figures of a fleet's run.
type Report struct {
	// Classes are the outcomes by class, Reasons counts rejections by reason.
	Classes map[string]*ClassResult
	Reasons map[string]int
	// Arrived counts requests, RejectedLate rejections after a wait. PredictedTokens and ConfirmedTokens are the prefix tokens that placements
	// counted on.
	Arrived, RejectedLate, Retries, PredictedTokens, ConfirmedTokens uint64
	// WarmupOverloads, CachedTokens and PrefixTokens are sums over all replicas (see package replica).
	WarmupOverloads, CachedTokens, PrefixTokens uint64
	ReplicaAdmitted, ReplicaRejected            uint64
	PutsAccepted, PutsRejected                  int
	// Bytes and Messages count the traffic between nodes, CrossBytes its part between zones, ResponseCrossBytes the bytes of requests and responses
	// between zones.
	CrossBytes, Bytes, Messages, ResponseCrossBytes uint64
	// RouterTicks and RowsVisited are sums over the routers' counters.
	RouterTicks, RowsVisited uint64
	// ExcusedAttempts is Audit.ExcusedAttempts.
	ExcusedAttempts int
	// RecoveryMs is how many milliseconds all nodes took to serve after the full stop at the end.
	RecoveryMs int64
}

func (r *Report) addOutcome(f *fleetRequest) {
	class := r.Classes[f.request.Class.Name]
	if class == nil {
		class = &ClassResult{}
		r.Classes[f.request.Class.Name] = class
	}
	counter := map[string]*int{
		"done": &class.Done, "denied": &class.Rejected, "partial": &class.Partial, "unknown": &class.Unknown, "lost": &class.Lost, "repeat": &class.Repeated,
	}[f.result.Outcome]
	if counter != nil {
		*counter++
	}
	if f.result.FirstChunkMs > 0 {
		class.FirstTokenMs = append(class.FirstTokenMs, f.result.FirstChunkMs)
	}
}

// Total returns the sums over all classes.
func (r *Report) Total() ClassResult {
	var total ClassResult
	for _, name := range sortedKeys(r.Classes) {
		class := r.Classes[name]
		total.Done += class.Done
		total.Rejected += class.Rejected
		total.Partial += class.Partial
		total.Unknown += class.Unknown
		total.Lost += class.Lost
		total.Repeated += class.Repeated
		total.FirstTokenMs = append(total.FirstTokenMs, class.FirstTokenMs...)
	}
	return total
}

// Quantile returns the value below which the share q of the values lies, 0 without values.
func Quantile(ms []int64, q float64) int64 {
	if len(ms) == 0 {
		return 0
	}
	s := slices.Clone(ms)
	slices.Sort(s)
	return s[min(int(q*float64(len(s))), len(s)-1)]
}

// HitRate returns the share of prefix tokens that replicas had cached.
func (r *Report) HitRate() float64 {
	return float64(r.CachedTokens) / float64(max(r.PrefixTokens, 1))
}

// Write prints the report.
func (r *Report) Write(out io.Writer) {
	fmt.Fprintf(out, "%-10s %7s %7s %8s %8s %6s %9s %9s\n", "class", "done", "denied", "partial", "unknown", "lost", "first p50", "first p95")
	row := func(name string, class *ClassResult) {
		fmt.Fprintf(out, "%-10s %7d %7d %8d %8d %6d %7dms %7dms\n", name, class.Done, class.Rejected, class.Partial, class.Unknown, class.Lost,
			Quantile(class.FirstTokenMs, 0.5), Quantile(class.FirstTokenMs, 0.95))
	}
	for _, name := range sortedKeys(r.Classes) {
		row(name, r.Classes[name])
	}
	all := r.Total()
	row("all", &all)
	fmt.Fprintf(out, "rejected late %d, retries %d, rejected by full replicas %d of %d\n", r.RejectedLate, r.Retries, r.ReplicaRejected, r.ReplicaAdmitted+r.ReplicaRejected)
	fmt.Fprintf(out, "prefix tokens found in cache %.1f%%, expected there: confirmed %.1f%%, predicted %.1f%%\n", 100*r.HitRate(),
		100*float64(r.ConfirmedTokens)/float64(max(r.PrefixTokens, 1)), 100*float64(r.PredictedTokens)/float64(max(r.PrefixTokens, 1)))
	fmt.Fprintf(out, "control bytes %d, between zones %d\n", r.Bytes, r.CrossBytes)
	fmt.Fprintf(out, "attempts excused only by a partition: %d\n", r.ExcusedAttempts)
	for _, reason := range sortedKeys(r.Reasons) {
		fmt.Fprintf(out, "rejected because %s: %d\n", reason, r.Reasons[reason])
	}
}

func (w *World) collectCounters() {
	for _, n := range w.Nodes {
		if n.Alive {
			c := n.router.Counters()
			w.Report.RouterTicks += c.Ticks
			w.Report.RowsVisited += c.RowsVisited
		}
	}
	for _, r := range w.Replicas {
		if r.Up {
			r.collectCounters()
		}
	}
	w.Report.ExcusedAttempts = w.Audit.ExcusedAttempts
	w.Report.Bytes, w.Report.CrossBytes, w.Report.Messages = w.Net.Bytes, w.Net.CrossBytes, w.Net.Messages
}

// recoverWithin is how long after a full stop all nodes must serve.
const recoverWithin = 12 * time.Second

// finish stops the whole fleet, starts it again without faults and checks that it recovers with its newest configuration.
func (w *World) finish() {
	w.collectCounters()
	w.Net.Partitions = map[int]func(from, to string) bool{}
	w.Net.LossRatio, w.Net.DupRatio = 0, 0
	for _, n := range w.Nodes {
		n.thaw()
		n.kill()
		if n.Disk != nil {
			n.Disk.PowerLoss()
		}
		n.diskStalled, n.syncDelay = false, 0
	}
	for _, r := range w.Replicas {
		r.Unreachable = false
		if !r.Up {
			r.start(w.Now)
		}
	}
	from := w.Now
	for _, n := range w.Nodes {
		w.After(time.Duration(w.rng.Int64N(int64(time.Second))), n.start)
	}
	w.awaitRecovery(from, func() { w.checkFinalConfig() })
	w.Run(from + recoverWithin + 8*time.Second)
	if w.Report.RecoveryMs == 0 {
		w.Audit.breach(NotRecovered, "fleet", "not all nodes were ready after a full stop")
	}
	w.Audit.Breaches = append(w.Audit.Breaches, ledger.Check(w.Ran, w.Got)...)
}

// awaitRecovery calls then when all nodes are ready, or 4 s after the bound.
func (w *World) awaitRecovery(from time.Duration, then func()) {
	ready := 0
	for _, n := range w.Nodes {
		if n.Alive && n.router.NotReady(n.localTime()) == "" {
			ready++
		}
	}
	if ready < len(w.Nodes) && w.Now-from < recoverWithin+4*time.Second {
		w.After(100*time.Millisecond, func() { w.awaitRecovery(from, then) })
		return
	}
	w.Report.RecoveryMs = (w.Now - from).Milliseconds()
	if w.Now-from > recoverWithin {
		w.Audit.breach(NotRecovered, "fleet", fmt.Sprintf("%d of %d nodes are ready after %s", ready, len(w.Nodes), w.Now-from))
	}
	then()
}

// checkFinalConfig checks that the newest accepted version survived the full stop.
func (w *World) checkFinalConfig() {
	w.Call(w.someNode(), control.Get{}, func(a control.Answer) {
		if a.Err != nil {
			w.Audit.breach(LostVersion, "register", a.Err.Error())
			return
		}
		w.Audit.checkSameConfig(a.Value)
		if a.Value.Version < w.Audit.highest {
			w.Audit.breach(LostVersion, "register", fmt.Sprintf("version %d, but version %d was accepted", a.Value.Version, w.Audit.highest))
		}
	})
}
