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

// Breach is a broken guarantee that the ledgers show.
type Breach struct {
	// Kind is one of the constants below.
	Kind string `json:"what"`
	// Request is the id of the request or attempt; for OverQuota the tenant.
	Request string `json:"request"`
	Detail  string `json:"detail"`
}

func (b Breach) String() string { return b.Kind + ": " + b.Request + ": " + b.Detail }

// The kinds of breaches.
const (
	// RanTwice: a non-idempotent request ran more than once.
	RanTwice = "ran twice"
	// RejectedButRan: a response reported that the request did not run, but it ran.
	RejectedButRan = "denied and ran"
	// WrongRequest: a response contains a chunk or event of another request.
	WrongRequest = "another's answer"
	// Spliced: a response contains chunks of two attempts, or events of two runs or weights versions that may not be joined.
	Spliced = "two runs spliced"
	// OutOfSequence: a chunk or event of a response is missing or repeated.
	OutOfSequence = "piece lost or repeated"
	// Truncated: a response that ended as complete lacks chunks or events.
	Truncated = "partial that looks complete"
	// CompletedWithoutRun: a response ended as complete, but no replica ran the attempt.
	CompletedWithoutRun = "done without a run"
	// RevisionRegressed: a read returned an older configuration than one that was acknowledged or read before.
	RevisionRegressed = "number went back"
	// OperatorRequestRejected: an operator request that was based on the newest revision was rejected.
	OperatorRequestRejected = "order refused"
	// AttemptIDReused: two runs have the same attempt id.
	AttemptIDReused = "one id for two gos"
	// OverQuota: the requests of a tenant that ran within one window cost more than its limit allows.
	OverQuota = "over quota"
	// RequestAltered: a replica ran a request with another path, query or body than the client's.
	RequestAltered = "request altered"
	// InEvacuatedZone: a request reached a zone whose evacuation was acknowledged longer ago than SoakRule.Evacuation allows.
	InEvacuatedZone = "request in an evacuated zone"
	// ResponseLost: a node that was shutting down accepted a request and forwarded it, but returned no complete response.
	ResponseLost = "answer lost at a shutdown"
	// NotRecovered: most requests are still not served long after the last fault, or a control node can't be read.
	NotRecovered = "not recovered"
	// NodeExited: a node ended that nobody had told to.
	NodeExited = "node exited"
)

// requestRuns are all runs of one request.
type requestRuns struct {
	started []RunEvent
	// completed is the number of chunks of each completed attempt, by attempt id.
	completed map[string]int
}

func (runs *requestRuns) attempts() []string {
	var ids []string
	for _, r := range runs.started {
		ids = append(ids, r.AttemptID)
	}
	return ids
}

// attemptsOf returns the ids of the attempts that one boot of a node started at from or later and before until, in milliseconds. node is
// the name and boot of the node; its attempt ids start with both.
func (runs *requestRuns) attemptsOf(node string, from, until int64) []string {
	if node == "" {
		return nil
	}
	var ids []string
	for _, r := range runs.started {
		if strings.HasPrefix(r.AttemptID, node+".") && r.AtMs >= from && r.AtMs < until {
			ids = append(ids, r.AttemptID)
		}
	}
	return ids
}

// runsByRequest maps request ids to runs.
type runsByRequest map[string]*requestRuns

// of returns the runs of a request; it adds an empty entry if there is none.
func (all runsByRequest) of(request string) *requestRuns {
	if all[request] == nil {
		all[request] = &requestRuns{completed: map[string]int{}}
	}
	return all[request]
}

// Check compares the ledgers of replicas and clients and returns every breach: reused attempt ids first, the others by request id.
func Check(events []RunEvent, results []SendResult) []Breach {
	all, breaches := groupRuns(events)
	byRequest := map[string][]SendResult{}
	for _, r := range results {
		byRequest[r.Request] = append(byRequest[r.Request], r)
	}
	for _, request := range slices.Sorted(maps.Keys(byRequest)) {
		runs := all.of(request)
		slices.SortStableFunc(byRequest[request], func(a, b SendResult) int { return cmp.Compare(a.AtMs, b.AtMs) })
		breaches = append(breaches, checkRejections(request, runs, byRequest[request])...)
		for _, r := range byRequest[request] {
			if b, bad := checkChunks(r, runs); bad {
				breaches = append(breaches, b)
			}
		}
	}
	return breaches
}

// groupRuns groups the events by request and returns a breach for each attempt id that was used twice.
func groupRuns(events []RunEvent) (runsByRequest, []Breach) {
	all := runsByRequest{}
	requestOf := map[string]string{}
	var breaches []Breach
	for _, r := range events {
		runs := all.of(r.Request)
		switch r.Event {
		case EventStarted:
			if other, twice := requestOf[r.AttemptID]; twice {
				breaches = append(breaches, Breach{Kind: AttemptIDReused, Request: r.Request, Detail: r.AttemptID + " was already used for " + other})
			}
			requestOf[r.AttemptID] = r.Request
			runs.started = append(runs.started, r)
		case EventCompleted:
			runs.completed[r.AttemptID] = r.Chunks
		}
	}
	return all, breaches
}

// notRun reports whether the outcome says that the request did not run.
func notRun(r SendResult) bool { return r.Outcome == outcomeRejected || r.Outcome == outcomeInvalid }

// checkRejections compares the outcomes that a client received with the runs of the request. A rejection covers one send to one node: that
// node may not start an attempt between the rejected send and the next send to it. If the request is not idempotent, the node may not have
// started one before either.
func checkRejections(request string, runs *requestRuns, results []SendResult) []Breach {
	var bs []Breach
	if !results[0].Idempotent && len(runs.started) > 1 {
		bs = append(bs, Breach{Kind: RanTwice, Request: request, Detail: strings.Join(runs.attempts(), " ")})
	}
	mayHaveRun := slices.ContainsFunc(results, func(r SendResult) bool { return !notRun(r) && r.Outcome != outcomeDuplicate })
	if !mayHaveRun && len(runs.started) > 0 {
		return append(bs, Breach{Kind: RejectedButRan, Request: request, Detail: strings.Join(runs.attempts(), " ")})
	}
	for i, r := range results {
		if !notRun(r) {
			continue
		}
		from := r.AtMs
		if !r.Idempotent {
			from = math.MinInt64
		}
		if ids := runs.attemptsOf(r.Node, from, nextSend(r.Node, results[i+1:])); len(ids) > 0 {
			bs = append(bs, Breach{Kind: RejectedButRan, Request: request, Detail: "by " + r.Node + ": " + strings.Join(ids, " ")})
		}
	}
	return bs
}

// nextSend returns the time of the next send to the node, in milliseconds, or the largest time if there is none.
func nextSend(node string, later []SendResult) int64 {
	for _, next := range later {
		if next.Node == node {
			return next.AtMs
		}
	}
	return math.MaxInt64
}

// checkChunks checks the chunks of a response. They must belong to one attempt and be in order; a completed response must have all of them.
func checkChunks(r SendResult, runs *requestRuns) (Breach, bool) {
	attempt := ""
	for i, chunk := range r.Chunks {
		f := strings.Split(chunk, "|")
		if len(f) != 3 || f[0] != r.Request {
			return Breach{Kind: WrongRequest, Request: r.Request, Detail: chunk}, true
		}
		if attempt != "" && f[1] != attempt {
			return Breach{Kind: Spliced, Request: r.Request, Detail: attempt + " and " + f[1]}, true
		}
		attempt = f[1]
		if f[2] != strconv.Itoa(i) {
			return Breach{Kind: OutOfSequence, Request: r.Request, Detail: fmt.Sprintf("chunk at position %d has number %s", i, f[2])}, true
		}
	}
	var b Breach
	if r.Outcome != outcomeCompleted {
		return b, false
	}
	n, ok := runs.completed[attempt]
	switch {
	case !ok && len(r.Chunks) > 0 && slices.Contains(runs.attempts(), attempt), ok && n != len(r.Chunks):
		return Breach{Kind: Truncated, Request: r.Request, Detail: fmt.Sprintf("%d chunks of %d", len(r.Chunks), n)}, true
	case !ok:
		return Breach{Kind: CompletedWithoutRun, Request: r.Request, Detail: "attempt " + strconv.Quote(attempt)}, true
	}
	return b, false
}
