package scheduler

import (
	"time"

	"github.com/mallowbridge/mallowbridge/prefixindex"
)

type Config struct {
	Self       string
	Domain     string
	Backlog    int
	Feed       time.Duration
	Silence    time.Duration
	PredWeight float64
	Home       float64
	Doubt      float64
	Kept       float64
	// Told is the least number of unread tokens of a prompt that other routers are told of; ToldEach is the same for each router, so
	// that large fleets tell less.
	Told, ToldEach int
	// Reread is the cost of reading 1000 shared tokens again, Cross of passing a request to another domain and CrossToken for 1000
	// tokens of it, all in late first events.
	Reread, Cross, CrossToken float64
	RoundRobin                bool
	Index                     prefixindex.Config
}

func Defaults(self, domain string) (c Config) {
	return Config{Self: self, Domain: domain, Backlog: 256, Feed: time.Second, Silence: 8 * time.Second, PredWeight: 0.7, Home: 4, Doubt: 1.2, Kept: 2, Told: 4000, ToldEach: 150, Reread: 0.3, Cross: 0.04, CrossToken: 0.01, Index: prefixindex.Defaults()}
}

const firstHold = 500 * time.Millisecond

type ActKind uint8

const (
	Place ActKind = iota + 1
	Send
	Recall
	Deny
	Cancel
	Unknown
	Partial
	Done
	Peek
)

type Act struct {
	Kind  ActKind
	Ask   int
	Go    uint64
	Rep   int
	Pre   int
	Why   string
	After time.Duration
	Late  bool
	Conf  int
	Pred  int

	Once   bool
	Repeat bool
	Spare  time.Duration

	Until   time.Duration
	Resumes bool
	// Rank is that of the prompt among others at the replica, -1 where replicas do not batch.
	Rank int
	// Unread is how many tokens it has to read, where other routers should know.
	Unread int
}

type Counters struct {
	Arrived, Placed, Firsts, Seconds, SecondsSpared     uint64
	DeniedEarly, DeniedLate, Unknowns, Partials, Dones  uint64
	ConfirmedTokens, PredictedTokens, PrefixTokens      uint64
	Rechecked, Silent, Unreached, Refused, FirstTokenOK uint64
	Steps, Visited                                      uint64
	Ejected                                             uint64
}

type Market struct {
	cfg     Config
	Asks    Asks
	Offers  []Offer
	Reps    []Replica
	Index   *prefixindex.Index
	routers []string
	rows    []RouterRow
	divs    []division
	ripe    bool
	waiting []int
	goSeq   uint64
	fed     time.Duration
	why     string
	turn    int
	soonest time.Duration
	// unreported and unjudged tell that failures are to be told to others, or to be judged.
	unreported, unjudged bool
	reported, judgedAt   time.Duration
	acts                 []Act
	N                    Counters
}

func New(cfg Config) (m *Market) {
	return &Market{cfg: cfg, Index: prefixindex.New(cfg.Index), why: "no picture yet"}
}

func (m *Market) AddReplica(r Replica, keep int) (id int) {
	r.factor = 1
	m.Reps = append(m.Reps, r)
	m.Index.Add(keep)
	return len(m.Reps) - 1
}

// Renew gives the row of a replica that is gone to another; nothing may run there any more.
func (m *Market) Renew(id int, r Replica, keep int) {
	r.factor = 1
	m.Reps[id] = r
	m.Index.Reset(id, 0)
	m.Index.SetKeep(id, keep)
}

func (m *Market) AddOffer(o Offer) (id int) {
	o.hold = firstHold
	m.Offers = append(m.Offers, o)
	return len(m.Offers) - 1
}

// KindID names a kind's row.
type KindID struct{ Offer, Kind int }

// KindsInUse are those that some request still refers to.
func (m *Market) KindsInUse() (used map[KindID]bool) {
	used = map[KindID]bool{}
	for i := range m.Asks.rows {
		if a := &m.Asks.rows[i]; a.live {
			used[KindID{a.Offer, a.Kind}] = true
		}
	}
	return used
}

func (m *Market) Retune(now time.Duration) {
	for i := range m.Reps {
		m.Reps[i].coldKnown = false
	}
	for i := range m.Offers {
		o := &m.Offers[i]
		o.second.limit(o.SecondShare, float64(Share("second/"+o.Name, o.SecondPlus, m.routers, m.cfg.Self)))
	}
	m.redivide(now)
}

func (m *Market) SetSelf(now time.Duration, self, domain string) {
	m.cfg.Self, m.cfg.Domain = self, domain
	m.Retune(now)
}

func (m *Market) Feed(now time.Duration, why string) { m.fed, m.why = now, why }

func (m *Market) stalled(now time.Duration) (why string) {
	if m.why != "" {
		return m.why
	}
	if now-m.fed > m.cfg.Feed {
		return "picture is stale"
	}
	return ""
}

// Unsent counts those let in whose go has not left yet.
func (m *Market) Unsent() (n int) {
	for i := range m.Asks.rows {
		if a := &m.Asks.rows[i]; a.live && a.State != Begun && !a.Confirmed && (a.State != Sent || !a.settled(m)) {
			n++
		}
	}
	return n
}

func (m *Market) Stalled(now time.Duration) (why string) { return m.stalled(now) }

func (m *Market) Cold(now time.Duration, rep int, age time.Duration) {
	r := &m.Reps[rep]
	r.ColdAt, r.Warm, r.Doubt, r.eff, r.factor = now-age, false, 0, -1, 1
}

// Same says that a report as of then came from the instance that is known already, which was seen first at since.
func (m *Market) Same(asOf, since time.Duration, rep int) {
	r := &m.Reps[rep]
	if asOf > r.Doubt {
		r.Doubt, r.eff = 0, -1
	}
	r.ColdAt = min(r.ColdAt, since)
}

func (m *Market) Report(asOf time.Duration, rep, usage int) { m.Reps[rep].report(asOf, usage) }

func (m *Market) Arrive(now time.Duration, a Ask) (id int) {
	k := m.Offers[a.Offer].Kinds[a.Kind]
	a.At, a.Due, a.Deadline, a.State, a.Rep, a.Prefill = now, now+k.Bound, now+k.Bound, Waiting, -1, -1
	if k.routed() {
		a.Deadline = now + k.Timeout
	}
	if a.Patience > 0 {
		a.Deadline = min(a.Deadline, now+a.Patience)
	}
	id = m.Asks.add(a)
	m.N.Arrived++
	m.waiting = append(m.waiting, id)
	return id
}

func (m *Market) Tick(now time.Duration) (acts []Act) {
	m.N.Steps++
	m.N.Visited += uint64(m.Index.Open() + len(m.Asks.rows))
	m.Index.Tick(now)
	m.age(now)
	m.silence(now)
	m.judge(now)
	m.match(now)
	acts, m.acts = m.acts, nil
	return acts
}

func (m *Market) do(a Act) { m.acts = append(m.acts, a) }

func (m *Market) free(now time.Duration, rep int) (n int) {
	r := &m.Reps[rep]
	o := &m.Offers[r.Offer]
	if m.chilled(now, rep) {
		return 0
	}
	if o.Queues {
		return r.Room - m.taken(now, rep)
	}
	cold := r.coldness(now, o.ColdRamp)
	eff := r.Room
	if cold > 0 {
		low := min(o.ColdRoom, r.Room)
		eff = low + int(float64(r.Room-low)*(1-cold))
	}
	if eff != r.eff {
		r.eff = eff
		r.share = m.share(now, r, eff)
	}
	return r.share - r.Own
}
