package scheduler

import (
	"math"
	"slices"
	"time"
)

// Outlier detection: routers judge replicas by their answers alone. At many routers each one sees a replica too seldom to judge it, so
// each tells the others how many failures it met; a replica is ejected when the failures of several routers are too many for
// the requests that it is held to have had.
const (
	faultWindow = 2500 * time.Millisecond
	// faultShare of its requests must have failed before a replica is ejected, and faultLeast failures.
	faultShare = 0.25
	faultLeast = 3
	// trialLeast are enough while only some routers have come back to it.
	trialLeast = 1.5
	// ejectMost bounds the ejected share of a service; more are never ejected, since the cause is then hardly theirs.
	ejectMost = 0.4
	ejectFor  = 1500 * time.Millisecond
	// trialStep keeps the routers apart that try an ejected replica again.
	trialStep = 40 * time.Millisecond
	ejectMemo = 10 * time.Second
	reportGap = 100 * time.Millisecond
	judgeGap  = 100 * time.Millisecond
	// silentAfter is how long a request may wait with nothing heard from its replica before that counts, for half a failure.
	silentAfter = 1200 * time.Millisecond
)

// Faults counts the failures that one router met at a replica within the window.
type Faults struct {
	Rep int
	N   float64
	// Gone says that another life of the replica answered in its place.
	Gone bool
}

type charge struct {
	at time.Duration
	n  float64
}

// record is what is held against a replica.
type record struct {
	charges map[string]charge
	own     []charge
	heard   time.Duration
	ejected time.Duration
	times   int
	// gone is when another life answered in its place, as this router saw it.
	gone time.Duration
	// back is when the first router tries it again.
	back time.Duration
}

// weight of a charge fades, since what it counts is as old as a window.
func (c charge) weight(now time.Duration) (n float64) {
	return c.n * max(1-float64(now-c.at)/float64(faultWindow), 0)
}

// A flow counts requests, the older ones less.
type flow struct {
	n     float64
	since time.Duration
	at    time.Duration
}

func (f *flow) decay(now time.Duration) {
	if f.at == 0 {
		f.since = now
	}
	f.n *= math.Exp(-float64(now-f.at) / float64(faultWindow))
	f.at = now
}

// window is how many requests there are within a window, also where less than one has passed.
func (f *flow) window() (n float64) {
	known := 1 - math.Exp(-float64(f.at-f.since)/float64(faultWindow))
	return f.n / max(known, 0.05)
}

// fault notes that a replica failed a request of this router.
func (m *Market) fault(now time.Duration, r *Replica, n float64) {
	if !r.open() || (r.cold(now) && n < 1) {
		return
	}
	r.judged.own = append(r.judged.own, charge{at: now, n: n})
	m.unreported = true
	m.charge(now, r, m.cfg.Self, r.judged.sum(now))
}

func (v *record) sum(now time.Duration) (n float64) {
	v.own = slices.DeleteFunc(v.own, func(c charge) bool { return now-c.at > faultWindow })
	for _, c := range v.own {
		n += c.n
	}
	return n
}

func (m *Market) charge(now time.Duration, r *Replica, by string, n float64) {
	if r.judged.charges == nil {
		r.judged.charges = map[string]charge{}
	}
	r.judged.charges[by] = charge{at: now, n: n}
	m.unjudged = true
}

// Charge takes in the failures that another router met; each report replaces the one before it.
func (m *Market) Charge(now time.Duration, by string, rows []Faults) {
	if by == m.cfg.Self {
		return
	}
	for _, f := range rows {
		m.charge(now, &m.Reps[f.Rep], by, f.N)
		if f.Gone {
			m.Reps[f.Rep].Up = false
		}
	}
}

// Gone says that another life of the replica answered in its place: that needs no second word, and is told.
func (m *Market) Gone(now time.Duration, rep int) {
	r := &m.Reps[rep]
	r.Up, r.judged.gone, m.unreported = false, max(now, 1), true
}

// Faults gives the failures that this router met within the window, when there are new ones to tell.
func (m *Market) Faults(now time.Duration) (rows []Faults) {
	if !m.unreported || now-m.reported < reportGap {
		return nil
	}
	m.reported, m.unreported = now, false
	for i := range m.Reps {
		r := &m.Reps[i]
		v := &r.judged
		if !r.Listed || (len(v.own) == 0 && v.gone == 0) {
			continue
		}
		f := Faults{Rep: i, N: v.sum(now), Gone: v.gone > 0 && now-v.gone < faultWindow}
		if f.N > 0 || f.Gone {
			rows = append(rows, f)
		}
	}
	return rows
}

// silent counts a request that its replica left without a word.
func (m *Market) silent(now time.Duration, a *Ask, n float64) {
	if a.State != Sent || a.Confirmed || now-a.Sent < silentAfter || m.Reps[a.Rep].judged.heard >= a.Sent {
		return
	}
	if n < 1 && a.Silent {
		return
	}
	if a.Silent {
		n /= 2
	}
	a.Silent = true
	m.fault(now, &m.Reps[a.Rep], n)
}

func (m *Market) heardFrom(now time.Duration, rep int) { m.Reps[rep].judged.heard = now }
