package tally

import (
	"fmt"
	"sort"
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
)

func Piece(request, goID string, i int) (text string) {
	return request + "|" + goID + "|" + strconv.Itoa(i)
}

type runs struct {
	begun []string
	done  map[string]int
}

func Check(ran []Ran, got []Got) (breaches []Breach) {
	byReq := map[string]*runs{}
	for _, r := range ran {
		x := byReq[r.Request]
		if x == nil {
			x = &runs{done: map[string]int{}}
			byReq[r.Request] = x
		}
		switch r.Event {
		case "begun":
			x.begun = append(x.begun, r.Go)
		case "done":
			x.done[r.Go] = r.Pieces
		}
	}
	asked := map[string][]Got{}
	for _, g := range got {
		asked[g.Request] = append(asked[g.Request], g)
	}
	var names []string
	for name := range asked {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		x := byReq[name]
		if x == nil {
			x = &runs{done: map[string]int{}}
		}
		breaches = append(breaches, fates(name, x, asked[name])...)
		for _, g := range asked[name] {
			if b, bad := strand(g, x); bad {
				breaches = append(breaches, b)
			}
		}
	}
	return breaches
}

func fates(name string, x *runs, gots []Got) (bs []Breach) {
	open := 0
	for _, g := range gots {
		if g.Outcome != "denied" && g.Outcome != "repeat" && g.Outcome != "bad" {
			open++
		}
	}
	if !gots[0].Repeatable && len(x.begun) > 1 {
		bs = append(bs, Breach{What: RanTwice, Request: name, Detail: strings.Join(x.begun, " ")})
	}
	if open == 0 && len(x.begun) > 0 {
		bs = append(bs, Breach{What: DeniedRan, Request: name, Detail: strings.Join(x.begun, " ")})
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
	case !ok && len(g.Pieces) > 0 && has(x.begun, goID), ok && n != len(g.Pieces):
		return Breach{What: Truncated, Request: g.Request, Detail: fmt.Sprintf("%d pieces of %d", len(g.Pieces), n)}, true
	case !ok:
		return Breach{What: Unrun, Request: g.Request, Detail: "go " + strconv.Quote(goID)}, true
	}
	return b, false
}

func has(list []string, s string) (yes bool) {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
