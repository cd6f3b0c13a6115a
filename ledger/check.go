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

// Breach is a promise that the ledgers show to be broken.
type Breach struct {
	// Kind is one of the constants below.
	Kind    string `json:"what"`
	Request string `json:"request"`
	Detail  string `json:"detail"`
}

func (b Breach) String() string { return b.Kind + ": " + b.Request + ": " + b.Detail }

// The kinds of breaches.
const (
	// RanTwice: a request that may not be repeated was run more than once.
	RanTwice = "ran twice"
	// RejectedButRan: a request that was called not run was run.
	RejectedButRan = "denied and ran"
	// WrongRequest: a piece belongs to another request.
	WrongRequest = "another's answer"
	// Spliced: an answer has pieces of two attempts.
	Spliced = "two runs spliced"
	// OutOfSequence: a piece is missing or there twice.
	OutOfSequence = "piece lost or repeated"
	// Truncated: an answer that is called whole lacks pieces.
	Truncated = "partial that looks complete"
	// CompletedWithoutRun: an answer that is called whole has no run.
	CompletedWithoutRun = "done without a run"
	// RevisionRegressed: a configuration was read that is older than one acknowledged or read before.
	RevisionRegressed = "number went back"
	// OperatorRequestRejected: an order on the newest revision was refused.
	OperatorRequestRejected = "order refused"
	// AttemptIDReused: two runs have one attempt id.
	AttemptIDReused = "one id for two gos"
	// OverQuota: a tenant's requests that ran within a window cost more than its limit allows.
	OverQuota = "over quota"
	// RequestAltered: a replica ran a request with another path, query or body than the client's.
	RequestAltered = "request altered"
	// InEvacuatedZone: a request reached a zone long after its evacuation was acknowledged.
	InEvacuatedZone = "request in an evacuated zone"
	// ResponseLost: a process that was told to end took a request, passed it on and gave no whole answer.
	ResponseLost = "answer lost at a shutdown"
	// NotRecovered: long after the last fault most requests are not served.
	NotRecovered = "not recovered"
)

// runs are all runs of one request.
type runs struct {
	begun []RunEvent
	// done is how many pieces each finished attempt has.
	done map[string]int
}

func (x *runs) attempts() []string {
	var ids []string
	for _, r := range x.begun {
		ids = append(ids, r.AttemptID)
	}
	return ids
}

// attemptsOf picks the attempts of one boot of a node within a time; attempt ids begin with both.
func (x *runs) attemptsOf(node string, from, until int64) []string {
	if node == "" {
		return nil
	}
	var ids []string
	for _, r := range x.begun {
		if strings.HasPrefix(r.AttemptID, node+".") && r.AtMs >= from && r.AtMs < until {
			ids = append(ids, r.AttemptID)
		}
	}
	return ids
}

type runsByRequest map[string]*runs

func (all runsByRequest) of(request string) *runs {
	if all[request] == nil {
		all[request] = &runs{done: map[string]int{}}
	}
	return all[request]
}

// Check compares the ledgers of replicas and clients and gives every breach, those of attempt ids first, then by request.
func Check(ran []RunEvent, got []SendResult) []Breach {
	all, breaches := collect(ran)
	asked := map[string][]SendResult{}
	for _, g := range got {
		asked[g.Request] = append(asked[g.Request], g)
	}
	for _, request := range slices.Sorted(maps.Keys(asked)) {
		x := all.of(request)
		slices.SortStableFunc(asked[request], func(a, b SendResult) int { return cmp.Compare(a.AtMs, b.AtMs) })
		breaches = append(breaches, checkRejections(request, x, asked[request])...)
		for _, g := range asked[request] {
			if b, bad := checkAnswer(g, x); bad {
				breaches = append(breaches, b)
			}
		}
	}
	return breaches
}

func collect(ran []RunEvent) (runsByRequest, []Breach) {
	all := runsByRequest{}
	requestOf := map[string]string{}
	var breaches []Breach
	for _, r := range ran {
		x := all.of(r.Request)
		switch r.Event {
		case EventStarted:
			if other, twice := requestOf[r.AttemptID]; twice {
				breaches = append(breaches, Breach{Kind: AttemptIDReused, Request: r.Request, Detail: r.AttemptID + ", before for " + other})
			}
			requestOf[r.AttemptID] = r.Request
			x.begun = append(x.begun, r)
		case EventCompleted:
			x.done[r.AttemptID] = r.Chunks
		}
	}
	return all, breaches
}

func notRun(g SendResult) bool { return g.Outcome == outcomeDenied || g.Outcome == outcomeBad }

// checkRejections holds what clients were told against what ran. A rejection speaks for one sending at one node: no attempt of that
// node may follow it before the next sending, and where the request may not be repeated none may have gone before.
func checkRejections(request string, x *runs, gots []SendResult) []Breach {
	var bs []Breach
	if !gots[0].Idempotent && len(x.begun) > 1 {
		bs = append(bs, Breach{Kind: RanTwice, Request: request, Detail: strings.Join(x.attempts(), " ")})
	}
	mayHaveRun := slices.ContainsFunc(gots, func(g SendResult) bool { return !notRun(g) && g.Outcome != outcomeRepeat })
	if !mayHaveRun && len(x.begun) > 0 {
		return append(bs, Breach{Kind: RejectedButRan, Request: request, Detail: strings.Join(x.attempts(), " ")})
	}
	for i, g := range gots {
		if !notRun(g) {
			continue
		}
		from := g.AtMs
		if !g.Idempotent {
			from = math.MinInt64
		}
		if ids := x.attemptsOf(g.Node, from, nextSending(g.Node, gots[i+1:])); len(ids) > 0 {
			bs = append(bs, Breach{Kind: RejectedButRan, Request: request, Detail: "by " + g.Node + ": " + strings.Join(ids, " ")})
		}
	}
	return bs
}

func nextSending(node string, later []SendResult) int64 {
	for _, next := range later {
		if next.Node == node {
			return next.AtMs
		}
	}
	return math.MaxInt64
}

// checkAnswer reads an answer's pieces, which must be those of one attempt in order, and all of them where it is called whole.
func checkAnswer(g SendResult, x *runs) (Breach, bool) {
	attempt := ""
	for i, p := range g.Chunks {
		f := strings.Split(p, "|")
		if len(f) != 3 || f[0] != g.Request {
			return Breach{Kind: WrongRequest, Request: g.Request, Detail: p}, true
		}
		if attempt != "" && f[1] != attempt {
			return Breach{Kind: Spliced, Request: g.Request, Detail: attempt + " and " + f[1]}, true
		}
		attempt = f[1]
		if f[2] != strconv.Itoa(i) {
			return Breach{Kind: OutOfSequence, Request: g.Request, Detail: fmt.Sprintf("piece %d says %s", i, f[2])}, true
		}
	}
	var b Breach
	if g.Outcome != outcomeDone {
		return b, false
	}
	n, ok := x.done[attempt]
	switch {
	case !ok && len(g.Chunks) > 0 && slices.Contains(x.attempts(), attempt), ok && n != len(g.Chunks):
		return Breach{Kind: Truncated, Request: g.Request, Detail: fmt.Sprintf("%d pieces of %d", len(g.Chunks), n)}, true
	case !ok:
		return Breach{Kind: CompletedWithoutRun, Request: g.Request, Detail: "attempt " + strconv.Quote(attempt)}, true
	}
	return b, false
}
