package ledger

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
)

type Ran struct {
	AtMs     int64  `json:"atMs"`
	Replica  string `json:"replica"`
	Instance string `json:"instanceId"`
	Request  string `json:"request"`
	Go       string `json:"go"`
	Event    string `json:"event"`
	Pieces   int    `json:"pieces,omitempty"`
}

type Got struct {
	AtMs       int64    `json:"atMs"`
	Node       string   `json:"node"`
	Request    string   `json:"request"`
	Kind       string   `json:"kind"`
	Repeatable bool     `json:"repeatable"`
	Outcome    string   `json:"outcome"`
	Pieces     []string `json:"pieces,omitempty"`
	FirstMs    int64    `json:"firstMs,omitempty"`
}

type Breach struct {
	What    string `json:"what"`
	Request string `json:"request"`
	Detail  string `json:"detail"`
}

func (b Breach) String() (s string) { return b.What + ": " + b.Request + ": " + b.Detail }

const (
	RanTwice  = "ran twice"
	DeniedRan = "denied and ran"
	Mixed     = "another's answer"
	Spliced   = "two runs spliced"
	Gap       = "piece lost or repeated"
	Truncated = "partial that looks complete"
	Unrun     = "done without a run"
	Reused    = "one id for two gos"
)

func Piece(request, goID string, i int) (text string) {
	return request + "|" + goID + "|" + strconv.Itoa(i)
}

type runs struct {
	begun []Ran
	done  map[string]int
}

func (x *runs) ids() (ids []string) {
	for _, r := range x.begun {
		ids = append(ids, r.Go)
	}
	return ids
}

// by picks the gos of one boot of a node; go ids begin with both.
func (x *runs) by(node string, from, until int64) (ids []string) {
	for _, r := range x.begun {
		if node != "" && strings.HasPrefix(r.Go, node+".") && r.AtMs >= from && r.AtMs < until {
			ids = append(ids, r.Go)
		}
	}
	return ids
}

func Check(ran []Ran, got []Got) (breaches []Breach) {
	byReq, gos := map[string]*runs{}, map[string]string{}
	for _, r := range ran {
		if r.Event == "begun" {
			if other, twice := gos[r.Go]; twice {
				breaches = append(breaches, Breach{What: Reused, Request: r.Request, Detail: r.Go + ", before for " + other})
			}
			gos[r.Go] = r.Request
		}
		x := byReq[r.Request]
		if x == nil {
			x = &runs{done: map[string]int{}}
			byReq[r.Request] = x
		}
		switch r.Event {
		case "begun":
			x.begun = append(x.begun, r)
		case "done":
			x.done[r.Go] = r.Pieces
		}
	}
	asked := map[string][]Got{}
	for _, g := range got {
		asked[g.Request] = append(asked[g.Request], g)
	}
	for _, name := range slices.Sorted(maps.Keys(asked)) {
		x := byReq[name]
		if x == nil {
			x = &runs{done: map[string]int{}}
		}
		slices.SortStableFunc(asked[name], func(a, b Got) int { return cmp.Compare(a.AtMs, b.AtMs) })
		breaches = append(breaches, fates(name, x, asked[name])...)
		for _, g := range asked[name] {
			if b, bad := strand(g, x); bad {
				breaches = append(breaches, b)
			}
		}
	}
	return breaches
}

func notRun(g Got) (yes bool) { return g.Outcome == "denied" || g.Outcome == "bad" }

// A denial speaks for one sending at one node: no go of that node may follow it before the next sending, and where the
// request may not be repeated none may have gone before.
func fates(name string, x *runs, gots []Got) (bs []Breach) {
	if !gots[0].Repeatable && len(x.begun) > 1 {
		bs = append(bs, Breach{What: RanTwice, Request: name, Detail: strings.Join(x.ids(), " ")})
	}
	open := slices.ContainsFunc(gots, func(g Got) bool { return !notRun(g) && g.Outcome != "repeat" })
	if !open && len(x.begun) > 0 {
		return append(bs, Breach{What: DeniedRan, Request: name, Detail: strings.Join(x.ids(), " ")})
	}
	for i, g := range gots {
		if !notRun(g) {
			continue
		}
		from, until := g.AtMs, int64(math.MaxInt64)
		if !g.Repeatable {
			from = math.MinInt64
		}
		for _, next := range gots[i+1:] {
			if next.Node == g.Node {
				until = next.AtMs
				break
			}
		}
		if ids := x.by(g.Node, from, until); len(ids) > 0 {
			bs = append(bs, Breach{What: DeniedRan, Request: name, Detail: "by " + g.Node + ": " + strings.Join(ids, " ")})
		}
	}
	return bs
}

func strand(g Got, x *runs) (b Breach, bad bool) {
	goID := ""
	for i, p := range g.Pieces {
		f := strings.Split(p, "|")
		if len(f) != 3 || f[0] != g.Request {
			return Breach{What: Mixed, Request: g.Request, Detail: p}, true
		}
		if goID != "" && f[1] != goID {
			return Breach{What: Spliced, Request: g.Request, Detail: goID + " and " + f[1]}, true
		}
		goID = f[1]
		if f[2] != strconv.Itoa(i) {
			return Breach{What: Gap, Request: g.Request, Detail: fmt.Sprintf("piece %d says %s", i, f[2])}, true
		}
	}
	if g.Outcome != "done" {
		return b, false
	}
	n, ok := x.done[goID]
	switch {
	case !ok && len(g.Pieces) > 0 && slices.Contains(x.ids(), goID), ok && n != len(g.Pieces):
		return Breach{What: Truncated, Request: g.Request, Detail: fmt.Sprintf("%d pieces of %d", len(g.Pieces), n)}, true
	case !ok:
		return Breach{What: Unrun, Request: g.Request, Detail: "go " + strconv.Quote(goID)}, true
	}
	return b, false
}
