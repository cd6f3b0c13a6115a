package sim

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/ledger"
)

// ClassResult counts how the requests of one kind ended. Firsts are times to the first token, in milliseconds.
type ClassResult struct {
	Done, Rejected, Partial, Unknown, Lost, Repeated, RejectedLate int
	FirstTokenMs                                                   []int64
}

// Report is what a run came to. Reasons counts those of rejections, Retries second attempts, Predicted and Confirmed the prefix tokens that
// placements counted on. ReturnMs is how long the fleet took to serve after the full stop at the end.
type Report struct {
	Classes                                                          map[string]*ClassResult
	Reasons                                                          map[string]int
	Arrived, RejectedLate, Retries, PredictedTokens, ConfirmedTokens uint64
	WarmupOverloads, CachedTokens, PrefixTokens                      uint64
	ReplicaAdmitted, ReplicaRejected                                 uint64
	PutsAccepted, PutsRejected                                       int
	CrossBytes, Bytes, Messages, ResponseCrossBytes                  uint64
	RouterTicks, RowsVisited                                         uint64
	ExcusedAttempts                                                  int
	RecoveryMs                                                       int64
}

func (r *Report) take(f *fleetRequest) {
	k := r.Classes[f.ask.Class.Name]
	if k == nil {
		k = &ClassResult{}
		r.Classes[f.ask.Class.Name] = k
	}
	at := map[string]*int{
		"done": &k.Done, "denied": &k.Rejected, "partial": &k.Partial, "unknown": &k.Unknown, "lost": &k.Lost, "repeat": &k.Repeated,
	}[f.got.Outcome]
	if at != nil {
		*at++
	}
	if f.got.FirstMs > 0 {
		k.FirstTokenMs = append(k.FirstTokenMs, f.got.FirstMs)
	}
}

// Total sums up all kinds.
func (r *Report) Total() ClassResult {
	var k ClassResult
	for _, name := range sortedKeys(r.Classes) {
		o := r.Classes[name]
		k.Done += o.Done
		k.Rejected += o.Rejected
		k.Partial += o.Partial
		k.Unknown += o.Unknown
		k.Lost += o.Lost
		k.Repeated += o.Repeated
		k.FirstTokenMs = append(k.FirstTokenMs, o.FirstTokenMs...)
	}
	return k
}

// Quantile is the value below which the share q of the values lies; 0 for none.
func Quantile(ms []int64, q float64) int64 {
	if len(ms) == 0 {
		return 0
	}
	s := slices.Clone(ms)
	slices.Sort(s)
	return s[min(int(q*float64(len(s))), len(s)-1)]
}

// HitRate is the share of prefix tokens that replicas had cached.
func (r *Report) HitRate() float64 {
	return float64(r.CachedTokens) / float64(max(r.PrefixTokens, 1))
}

// Write prints the report as a table.
func (r *Report) Write(out io.Writer) {
	fmt.Fprintf(out, "%-10s %7s %7s %8s %8s %6s %9s %9s\n", "kind", "done", "denied", "partial", "unknown", "lost", "first p50", "first p95")
	row := func(name string, k *ClassResult) {
		fmt.Fprintf(out, "%-10s %7d %7d %8d %8d %6d %7dms %7dms\n", name, k.Done, k.Rejected, k.Partial, k.Unknown, k.Lost,
			Quantile(k.FirstTokenMs, 0.5), Quantile(k.FirstTokenMs, 0.95))
	}
	for _, name := range sortedKeys(r.Classes) {
		row(name, r.Classes[name])
	}
	all := r.Total()
	row("all", &all)
	fmt.Fprintf(out, "denied late %d, second goes %d, replicas full %d of %d\n", r.RejectedLate, r.Retries, r.ReplicaRejected, r.ReplicaAdmitted+r.ReplicaRejected)
	fmt.Fprintf(out, "prefix tokens in cache %.1f%%, counted on: confirmed %.1f%%, predicted %.1f%%\n", 100*r.HitRate(),
		100*float64(r.ConfirmedTokens)/float64(max(r.PrefixTokens, 1)), 100*float64(r.PredictedTokens)/float64(max(r.PrefixTokens, 1)))
	fmt.Fprintf(out, "control bytes %d, between domains %d\n", r.Bytes, r.CrossBytes)
	fmt.Fprintf(out, "gos that only a cut excuses: %d\n", r.ExcusedAttempts)
	for _, why := range sortedKeys(r.Reasons) {
		fmt.Fprintf(out, "denied because %s: %d\n", why, r.Reasons[why])
	}
}

func (w *World) collect() {
	for _, n := range w.Nodes {
		if n.Alive {
			c := n.router.Counters()
			w.Report.RouterTicks += c.Ticks
			w.Report.RowsVisited += c.RowsVisited
		}
	}
	for _, r := range w.Replicas {
		if r.Up {
			r.collect()
		}
	}
	w.Report.ExcusedAttempts = w.Audit.ExcusedAttempts
	w.Report.Bytes, w.Report.CrossBytes, w.Report.Messages = w.Net.Bytes, w.Net.CrossBytes, w.Net.Messages
}

const returnWithin = 12 * time.Second

func (w *World) finish() {
	w.collect()
	w.Net.Partitions = map[int]func(from, to string) bool{}
	w.Net.LossRatio, w.Net.DupRatio = 0, 0
	for _, n := range w.Nodes {
		n.thaw()
		n.kill()
		if n.Disk != nil {
			n.Disk.PowerLoss()
		}
		n.stall, n.slow = false, 0
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
	w.await(from, func() { w.dayEnd() })
	w.Run(from + returnWithin + 8*time.Second)
	if w.Report.RecoveryMs == 0 {
		w.Audit.breach(NotRecovered, "fleet", "nothing served after a full stop")
	}
	w.Audit.Breaches = append(w.Audit.Breaches, ledger.Check(w.Ran, w.Got)...)
}

func (w *World) await(from time.Duration, then func()) {
	ready := 0
	for _, n := range w.Nodes {
		if n.Alive && n.router.NotReady(n.local()) == "" {
			ready++
		}
	}
	if ready < len(w.Nodes) && w.Now-from < returnWithin+4*time.Second {
		w.After(100*time.Millisecond, func() { w.await(from, then) })
		return
	}
	w.Report.RecoveryMs = (w.Now - from).Milliseconds()
	if w.Now-from > returnWithin {
		w.Audit.breach(NotRecovered, "fleet", fmt.Sprintf("%d of %d nodes serve after %s", ready, len(w.Nodes), w.Now-from))
	}
	then()
}

func (w *World) dayEnd() {
	w.Call(w.someNode(), control.Get{}, func(a control.Answer) {
		if a.Err != nil {
			w.Audit.breach(LostVersion, "register", a.Err.Error())
			return
		}
		w.Audit.same(a.Value)
		if a.Value.Version < w.Audit.highest {
			w.Audit.breach(LostVersion, "register", fmt.Sprintf("mark %d, accepted %d", a.Value.Version, w.Audit.highest))
		}
	})
}
