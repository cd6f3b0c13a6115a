package mallowbridge

import (
	"strconv"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/prefixindex"
	"github.com/mallowbridge/mallowbridge/scheduler"
)

type Config struct {
	Self    string
	Boot    string
	Domain  string
	Market  scheduler.Config
	OnceFor time.Duration
	OnceMax int
}

func Defaults(self, boot, domain string) (c Config) {
	return Config{Self: self, Boot: boot, Domain: domain, Market: scheduler.Defaults(self, domain), OnceFor: 10 * time.Minute, OnceMax: 100000}
}

type seat struct {
	name, addr, instance string
	listing              string

	discovered bool
	row        Instance
	gone       time.Duration
}

type asked struct {
	request string
	route   *config.Route
}

type kindKey struct {
	name  string
	route bool
}

type Router struct {
	cfg    Config
	m      *scheduler.Scheduler
	pic    *config.Snapshot
	offers map[string]int
	kinds  []map[kindKey]int
	reps   map[string]int
	seats  []seat
	asks   map[string]int
	names  map[int]asked
	hosts  map[string][]*config.Route
	roster Roster
	read   time.Duration
	listed bool
	once   *once
	front  string
}

func New(cfg Config) (r *Router) {
	return &Router{
		cfg: cfg, m: scheduler.New(cfg.Market), offers: map[string]int{}, reps: map[string]int{},
		asks: map[string]int{}, names: map[int]asked{}, once: newOnce(cfg.OnceFor, cfg.OnceMax),
		front: cfg.Self + "." + cfg.Boot + ".",
	}
}

func (r *Router) Mark() (mark uint64) {
	if r.pic == nil {
		return 0
	}
	return r.pic.Mark
}

func (r *Router) Counters() (c scheduler.Counters) { return r.m.Counters }

func (r *Router) Hints() (c prefixindex.Counters, t time.Duration) {
	return r.m.Index.Counters, r.m.Index.TTL()
}

func (r *Router) Alerts() (early, stale bool) { return r.m.Index.Alerts() }

func (r *Router) Stalled(now time.Duration) (why string) { return r.m.NotServing(now) }

// Ready tells why requests should be sent elsewhere, or nothing.
func (r *Router) Ready(now time.Duration) (why string) {
	if why = r.m.NotServing(now); why != "" {
		return why
	}
	return r.m.NoCapacity(now)
}

// Trusts names the instance that the replica is held to be, or nothing while it is down or in doubt.
func (r *Router) Trusts(replica string) (instance string) {
	id, ok := r.reps[replica]
	if !ok || !r.m.Replicas[id].Up || r.m.Replicas[id].SuspectSince > 0 {
		return ""
	}
	return r.seats[id].instance
}

// Next is when the router needs the time again without an event, if ever.
func (r *Router) Next(now time.Duration) (at time.Duration, any bool) { return r.m.Next(now) }

func (r *Router) Running() (n int) { return len(r.asks) }

func (r *Router) Unsent() (n int) { return r.m.Unsent() }

func (r *Router) IndexOff() { r.m.Index.Off = true }

// RoundRobin places requests in turn wherever there is room, for comparisons.
func (r *Router) RoundRobin() { r.m.RoundRobin() }

func (r *Router) Step(now time.Duration, ev Event) (out []Decision) {
	switch e := ev.(type) {
	case Arrive:
		if d, answered := r.arrive(now, e); answered {
			return []Decision{d}
		}
	case Order:
		r.order(now, e.Picture)
	case Listing:
		r.listing(now, e)
	case Usage:
		r.usage(now, e)
	case Roster:
		r.roll(now, e)
	case Load:
		if id, ok := r.reps[e.Replica]; ok {
			r.m.ReportOwnLoad(now, id, e.Running+e.Waiting)
		}
	case Prefill:
		if id, ok := r.reps[e.Replica]; ok && e.Tokens > 0 {
			r.m.ReportPrefill(now, id, float64(e.Tokens))
		}
	case Misplaced:
		if id, ok := r.reps[e.Replica]; ok {
			r.m.MarkReplaced(now, id)
		}
	case Failures:
		r.failures(now, e)
	case Doubt:
		if id, ok := r.reps[e.Replica]; ok {
			r.m.Replicas[id].SuspectSince = now
		}
	case Routers:
		r.m.SetRouters(now, e.rows(r.cfg.Domain))
	case Welcome:
		r.cfg.Self, r.cfg.Domain = e.Self, e.Domain
		for i := range r.m.Replicas {
			r.m.Replicas[i].SameZone = r.m.Replicas[i].Zone == e.Domain
		}
		r.m.SetSelf(now, e.Self, e.Domain)
	case Feed:
		r.m.SetFeed(now, e.Why)
	case Leave:
		if !r.with(e.Request, e.Go, func(id int, g uint64) { r.m.AuthorizeSend(now, id, g) }) {
			return []Decision{{Verdict: Recall, Request: e.Request, Go: e.Go}}
		}
	case Head:
		r.head(now, e)
	case Piece:
		r.with(e.Request, e.Go, func(id int, g uint64) { r.m.StreamBegan(id, g) })
	case End:
		r.with(e.Request, e.Go, func(id int, g uint64) { r.m.EndAttempt(now, id, g, ends[e.How]) })
	case Withhold:
		if id, ok := r.asks[e.Request]; ok {
			r.m.RejectRepeated(now, id)
		}
	case Hangup:
		if id, ok := r.asks[e.Request]; ok {
			r.m.ClientGone(now, id)
			defer r.forget(id)
		}
	}
	return r.render(now, r.m.Tick(now))
}

var ends = map[How]scheduler.End{Whole: scheduler.Whole, Refused: scheduler.Refused, Broken: scheduler.Broken, Unreached: scheduler.Unreached, Withheld: scheduler.Withheld, Unvouched: scheduler.NoQuorumOfWitnesses}

func (r *Router) with(req, goName string, act func(id int, g uint64)) (ok bool) {
	id, ok := r.asks[req]
	if !ok {
		return false
	}
	g, ok := r.goSeq(goName)
	if !ok {
		return false
	}
	act(id, g)
	return true
}

func (r *Router) goName(seq uint64) (name string) {
	return r.front + strconv.FormatUint(seq, 36)
}

func (r *Router) goSeq(name string) (seq uint64, ok bool) {
	front := r.front
	if len(name) <= len(front) || name[:len(front)] != front {
		return 0, false
	}
	seq, err := strconv.ParseUint(name[len(front):], 36, 64)
	return seq, err == nil
}

func (r *Router) head(now time.Duration, e Head) {
	id, ok := r.asks[e.Request]
	if !ok {
		return
	}
	if rep := r.m.ReplicaOf(id); rep >= 0 && e.InstanceID != "" && !r.seats[rep].discovered {
		g, _ := r.goSeq(e.Go)
		r.instance(now, rep, e.InstanceID, 0, g)
	}
	if e.Failed {
		r.with(e.Request, e.Go, func(id int, g uint64) { r.m.AnswerFailed(now, id, g) })
		return
	}
	r.with(e.Request, e.Go, func(id int, g uint64) { r.m.FirstAnswer(now, id, g) })
}

// Failures gives what this router is to tell the others of failing replicas, if anything.
func (r *Router) Failures(now time.Duration) (f Failures, any bool) {
	for _, row := range r.m.FailureReport(now) {
		f.Rows = append(f.Rows, Failure{Replica: r.seats[row.Replica].name, N: row.Count, Gone: row.Replaced})
	}
	f.By = r.cfg.Self
	return f, len(f.Rows) > 0
}

func (r *Router) failures(now time.Duration, e Failures) {
	var rows []scheduler.FailureCount
	for _, f := range e.Rows {
		if id, ok := r.reps[f.Replica]; ok {
			rows = append(rows, scheduler.FailureCount{Replica: id, Count: f.N, Replaced: f.Gone})
		}
	}
	r.m.TakeFailureReport(now, e.By, rows)
}
