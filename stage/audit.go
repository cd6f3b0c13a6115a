package stage

import (
	"fmt"
	"time"

	"github.com/mallowbridge/mallowbridge/pact"
	"github.com/mallowbridge/mallowbridge/tally"
)

const (
	leavingWithin = 3 * time.Second
	orderWithin   = 2 * time.Second
	emptyWithin   = 5 * time.Second
	secondWindow  = 10 * time.Second
	secondShare   = 0.2
	secondPlus    = 24
)

const (
	OldPicture  = "old configuration obeyed"
	BackPicture = "older configuration came back"
	ToEmptied   = "work for an emptied domain"
	ToLeaving   = "work for a leaving replica"
	SecondGoes  = "too many second goes"
	Flooded     = "cold replica flooded"
	LostMark    = "accepted configuration was lost"
	NoReturn    = "service did not return"
	TwoValues   = "one mark, two configurations"
	TwoHolders  = "two holders of one claim"
)

type stamp struct {
	at   time.Duration
	mark uint64
}

type Audit struct {
	w        *World
	Breaches []tally.Breach
	marks    []stamp
	high     uint64
	emptyAt  map[string]time.Duration
	leftAt   map[string]time.Duration
	obeyed   map[string]uint64
	bodies   map[uint64]string
	away     map[string]time.Duration
	firsts   []time.Duration
	seconds  []time.Duration
	goes     map[string]int
	Exempt   uint64
	orders   map[string][]stamp
}

func newAudit(w *World) (a *Audit) {
	return &Audit{
		w: w, emptyAt: map[string]time.Duration{}, leftAt: map[string]time.Duration{}, obeyed: map[string]uint64{},
		bodies: map[uint64]string{}, away: map[string]time.Duration{}, goes: map[string]int{}, orders: map[string][]stamp{},
	}
}

func (a *Audit) breach(what, who, detail string) {
	a.w.Say("BREACH %s: %s: %s", what, who, detail)
	if len(a.Breaches) < 50 {
		a.Breaches = append(a.Breaches, tally.Breach{What: what, Request: who, Detail: fmt.Sprintf("at %s: %s", a.w.now, detail)})
	}
}

func (a *Audit) accepted(v *pact.Value) {
	a.same(v)
	if v.Mark > a.high {
		a.high = v.Mark
		a.marks = append(a.marks, stamp{at: a.w.now, mark: v.Mark})
		a.w.Say("accepted mark %d", v.Mark)
	}
}

func (a *Audit) same(v *pact.Value) {
	text := string(v.Body) + fmt.Sprint(v.Emptied)
	if old, ok := a.bodies[v.Mark]; ok && old != text {
		a.breach(TwoValues, fmt.Sprint(v.Mark), "")
	}
	a.bodies[v.Mark] = text
}

func (a *Audit) emptied(domain string, yes bool) {
	delete(a.emptyAt, domain)
	if yes {
		a.emptyAt[domain] = a.w.now
	}
}

func (a *Audit) leaves(rep string) {
	if _, ok := a.leftAt[rep]; !ok {
		a.leftAt[rep] = a.w.now
	}
}

func (a *Audit) back(rep string) { delete(a.leftAt, rep) }

func (a *Audit) due(before time.Duration) (mark uint64) {
	for _, s := range a.marks {
		if s.at <= before {
			mark = s.mark
		}
	}
	return mark
}

func (a *Audit) isAway(n *Node) (yes bool) {
	until, ok := a.away[n.Name]
	return ok && a.w.now < until
}

func (a *Audit) sent(f *flight, c *conn) {
	now, n := a.w.now, f.n
	mark := n.router.Mark()
	if due := a.due(now - orderWithin); mark < due {
		if a.isAway(n) {
			a.Exempt++
		} else {
			a.breach(OldPicture, n.Name, fmt.Sprintf("mark %d, due %d", mark, due))
		}
	}
	if mark < a.obeyed[n.Name] {
		a.breach(BackPicture, n.Name, fmt.Sprintf("mark %d after %d", mark, a.obeyed[n.Name]))
	}
	a.obeyed[n.Name] = max(a.obeyed[n.Name], mark)
	if at, ok := a.emptyAt[c.rep.Domain]; ok && now-at > emptyWithin && !a.isAway(n) {
		a.breach(ToEmptied, c.rep.Name, n.Name)
	}
	if at, ok := a.leftAt[c.rep.Name]; ok && now-at > leavingWithin && !a.isAway(n) {
		a.breach(ToLeaving, c.rep.Name, n.Name)
	}
	key := f.ask.Request + "/" + n.Name
	a.goes[key]++
	if a.goes[key] == 1 {
		a.firsts = append(a.firsts, now)
		return
	}
	a.w.Report.Seconds++
	a.seconds = append(a.seconds, now)
	in := func(ts []time.Duration) (k int) {
		for i := len(ts) - 1; i >= 0 && now-ts[i] < secondWindow; i-- {
			k++
		}
		return k
	}
	if s, fst := in(a.seconds), in(a.firsts); float64(s) > secondShare*float64(fst)+secondPlus {
		a.breach(SecondGoes, n.Name, fmt.Sprintf("%d for %d", s, fst))
	}
}

func (a *Audit) begun(r *Rep, f *flight, c *conn) {
	if r.m.Floods > 0 {
		a.breach(Flooded, r.Name, fmt.Sprintf("%d running, bears %d, cold for %s", len(r.m.running), r.m.Bears(a.w.now), a.w.now-r.m.born))
		a.w.Report.Floods += r.m.Floods
		r.m.Floods = 0
	}
}

func (a *Audit) claims() {
	by := map[string]string{}
	for _, n := range a.w.Nodes {
		if !n.Alive || n.frozen {
			continue
		}
		for _, d := range n.node.Holding(n.local()) {
			if by[d] != "" {
				a.breach(TwoHolders, d, by[d]+" and "+n.Name)
			}
			by[d] = n.Name
		}
	}
	a.w.after(100*time.Millisecond, a.claims)
}

func (a *Audit) obeys(n *Node) {
	a.orders[n.Name] = append(a.orders[n.Name], stamp{at: a.w.now, mark: n.router.Mark()})
}

// Obeyed tells for each accepted mark how long the slowest node took to obey it or a later one.
func (a *Audit) Obeyed() (ms []int64) {
	for _, s := range a.marks {
		var slowest int64
		for _, n := range a.w.Nodes {
			took := (a.w.now - s.at).Milliseconds()
			for _, o := range a.orders[n.Name] {
				if o.mark >= s.mark {
					took = max((o.at - s.at).Milliseconds(), 0)
					break
				}
			}
			slowest = max(slowest, took)
		}
		ms = append(ms, slowest)
	}
	return ms
}
