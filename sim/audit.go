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
	secondShare   = 0.2
	secondPlus    = 24
	gossipTravel  = 500 * time.Millisecond
	storyLines    = 90
)

// Kinds of breach of the rules.
const (
	OldSnapshot    = "old configuration obeyed"
	OlderSnapshot  = "older configuration came back"
	ToEvacuated    = "work for an emptied domain"
	ToLeaving      = "work for a leaving replica"
	TooManySeconds = "too many second goes"
	Flooded        = "cold replica flooded"
	LostMark       = "accepted configuration was lost"
	NoReturn       = "service did not return"
	TwoValues      = "one mark, two configurations"
	TwoHolders     = "two holders of one claim"
	Unreadable     = "a frame that a neighbouring build cannot read"
	Undue          = "contents of a configuration not obeyed"
	RepeatedUnsafe = "second go of a kind that may not be repeated"
	StaleGuess     = "warm guess outlived its time"
	Unproved       = "counted as confirmed without proof"
)

// A fact is known outside the nodes; domain is where it was told.
type fact struct {
	at     time.Duration
	domain string
	mark   uint64
}

type span struct {
	domain      string
	from, until time.Duration
}

type stamp struct {
	at   time.Duration
	mark uint64
}

// Audit checks the rules of the fleet as the run goes, by what was told outside the nodes. Breaches holds the first 50 breaches, Story the
// trace before the first, Exempt how many attempts only a network cut excuses.
type Audit struct {
	w        *World
	Breaches []ledger.Breach
	marks    []fact
	high     uint64
	emptyAt  map[string]fact
	leftAt   map[string]fact
	obeyed   map[string]uint64
	bodies   map[uint64]string
	contents []*content
	cuts     []span
	firsts   []time.Duration
	seconds  []time.Duration
	guesses  map[guessKey]time.Duration
	proofs   map[guessKey]bool
	Story    []string
	Exempt   int
	orders   map[string][]stamp
}

func newAudit(w *World) *Audit {
	return &Audit{
		w: w, emptyAt: map[string]fact{}, leftAt: map[string]fact{}, obeyed: map[string]uint64{}, bodies: map[uint64]string{},
		guesses: map[guessKey]time.Duration{}, proofs: map[guessKey]bool{}, orders: map[string][]stamp{},
	}
}

// known tells from when on a node must count with a fact: a cut-off domain has until the cut heals for what was told
// outside, and no node has longer.
func (a *Audit) known(n *Node, f fact) time.Duration {
	at := f.at
	for _, s := range a.cuts {
		if (n.Domain == s.domain) != (f.domain == s.domain) && at >= s.from-gossipTravel && at < s.until {
			at = s.until
		}
	}
	return at
}

// late tells whether a node acts against a fact longer than it may; gos that only a cut excuses are counted.
func (a *Audit) late(n *Node, f fact, within time.Duration) bool {
	if a.w.now-f.at <= within {
		return false
	}
	if a.w.now-a.known(n, f) <= within {
		a.Exempt++
		return false
	}
	return true
}

func (a *Audit) breach(what, who, detail string) {
	a.w.Say("BREACH %s: %s: %s", what, who, detail)
	if len(a.Breaches) == 0 {
		a.Story = slices.Clone(a.w.Trace[max(0, len(a.w.Trace)-storyLines):])
	}
	if len(a.Breaches) < 50 {
		a.Breaches = append(a.Breaches, ledger.Breach{What: what, Request: who, Detail: fmt.Sprintf("at %s: %s", a.w.now, detail)})
	}
}

func (a *Audit) accepted(n *Node, v *register.Value) {
	a.same(v)
	if v.Version > a.high {
		a.high = v.Version
		a.marks = append(a.marks, fact{at: a.w.now, mark: v.Version, domain: n.Domain})
		a.w.Say("accepted mark %d", v.Version)
	}
}

func (a *Audit) same(v *register.Value) {
	text := string(v.Document) + fmt.Sprint(v.EvacuatedZones)
	if old, ok := a.bodies[v.Version]; ok && old != text {
		a.breach(TwoValues, fmt.Sprint(v.Version), "")
	}
	a.bodies[v.Version] = text
}

func (a *Audit) emptied(n *Node, domain string, yes bool) {
	delete(a.emptyAt, domain)
	if yes {
		a.emptyAt[domain] = fact{at: a.w.now, domain: n.Domain}
	}
}

func (a *Audit) leaves(n *Node, rep string) {
	if _, ok := a.leftAt[rep]; !ok {
		a.leftAt[rep] = fact{at: a.w.now, domain: n.Domain}
	}
}

func (a *Audit) back(rep string) { delete(a.leftAt, rep) }

func (a *Audit) due(n *Node) uint64 {
	for i := len(a.marks) - 1; i >= 0; i-- {
		f := a.marks[i]
		if a.w.now-f.at > orderWithin && a.w.now-a.known(n, f) > orderWithin {
			return f.mark
		}
	}
	return 0
}

func (a *Audit) sent(f *flight, c *conn) {
	now, n := a.w.now, f.n
	mark, due := n.router.Version(), a.due(n)
	if mark < due {
		a.breach(OldSnapshot, n.Name, fmt.Sprintf("mark %d, due %d", mark, due))
	}
	for i := len(a.marks) - 1; i >= 0 && a.marks[i].mark > mark; i-- {
		if a.marks[i].mark > due && now-a.marks[i].at > orderWithin {
			a.Exempt++
			break
		}
	}
	if mark < a.obeyed[n.Name] {
		a.breach(OlderSnapshot, n.Name, fmt.Sprintf("mark %d after %d", mark, a.obeyed[n.Name]))
	}
	a.obeyed[n.Name] = max(a.obeyed[n.Name], mark)
	if left, ok := a.leftAt[c.rep.Name]; ok && a.late(n, left, leavingWithin) {
		a.breach(ToLeaving, c.rep.Name, n.Name)
	}
	a.obeysContents(f, c, due)
	if f.gos == 1 {
		a.firsts = append(a.firsts, now)
		return
	}
	a.w.Report.Seconds++
	a.seconds = append(a.seconds, now)
	in := func(ts []time.Duration) int {
		var k int
		for i := len(ts) - 1; i >= 0 && now-ts[i] < secondWindow; i-- {
			k++
		}
		return k
	}
	if s, fst := in(a.seconds), in(a.firsts); float64(s) > secondShare*float64(fst)+secondPlus {
		a.breach(TooManySeconds, n.Name, fmt.Sprintf("%d for %d", s, fst))
	}
}

func (a *Audit) begun(r *Rep) {
	if r.m.Floods > 0 {
		a.breach(Flooded, r.Name, fmt.Sprintf("%d running, bears %d, cold for %s", len(r.m.running), r.m.Bears(a.w.now), a.w.now-r.m.born))
		a.w.Report.Floods += r.m.Floods
		r.m.Floods = 0
	}
}

func (a *Audit) checkLeases() {
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
	a.w.after(100*time.Millisecond, a.checkLeases)
}

func (a *Audit) obeys(n *Node) {
	a.orders[n.Name] = append(a.orders[n.Name], stamp{at: a.w.now, mark: n.router.Version()})
}

// Obeyed tells for each accepted mark how long the slowest node took to obey it or a later one.
func (a *Audit) Obeyed() []int64 {
	var ms []int64
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
