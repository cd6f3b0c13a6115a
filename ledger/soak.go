package ledger

import (
	"fmt"
	"net/http"
	"time"
)

// SoakResponse is the result of one request of a soak test, as its client saw it.
type SoakResponse struct {
	StreamResponse
	Attempt string `json:"attempt"`
	// EndMs is when the response or the connection ended, in milliseconds since 1970.
	EndMs int64 `json:"endMs"`
	// Status is the HTTP status, or 0 without a response.
	Status int `json:"status"`
	// AtMostOnce reports that no configuration that may have been in force allows the request to run twice.
	AtMostOnce bool `json:"once"`
	// TimedOut reports that the client gave up at its deadline.
	TimedOut bool `json:"timedOut,omitempty"`
}

// SoakRun is a request that a replica started to run at AtMs, in milliseconds since 1970.
type SoakRun struct {
	AtMs     int64  `json:"atMs"`
	Attempt  string `json:"attempt"`
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	// Altered describes how the received request differs from the sent one; empty if it does not.
	Altered string `json:"altered,omitempty"`
	// ReplicaFailed reports that an injected fault made the replica end the response incorrectly, or that it was stopped before the end.
	ReplicaFailed bool `json:"spoiled,omitempty"`
}

// Span is an interval of time, in milliseconds since 1970.
type Span struct{ FromMs, UntilMs int64 }

func (s Span) overlaps(other Span) bool {
	return s.FromMs <= other.UntilMs && other.FromMs <= s.UntilMs
}

// NodeFault is an interval in which a node was killed, stopped or frozen. A planned one is a shutdown.
type NodeFault struct {
	Span
	Node    string
	Planned bool
}

// SoakRule sets the bounds of a soak test. The fields are named like the bounds in a node's settings.
type SoakRule struct {
	// Contact is how long after a fault of its own or of a voter a node may still not know of an evacuation.
	Contact time.Duration
	// Evacuation is how long after an acknowledged evacuation requests may still reach the zone.
	Evacuation time.Duration
	// Grace is the grace period of a shutdown, from SIGTERM until the process is killed.
	Grace time.Duration
}

// SoakRecord is everything that a soak test recorded.
type SoakRecord struct {
	Responses []SoakResponse
	Runs      []SoakRun
	// Evacuations are the evacuations of each zone, from the acknowledgement until the first request to restore the zone.
	Evacuations map[string][]Span
	Faults      []NodeFault
	// Voters are the names of the nodes that vote.
	Voters []string
}

// CheckSoak returns all breaches of a soak test.
func CheckSoak(record SoakRecord, rule SoakRule) []Breach {
	c := soakChecker{SoakRecord: record, SoakRule: rule, runs: map[string][]SoakRun{}, nodes: map[string]string{}}
	for _, r := range record.Runs {
		c.runs[r.Attempt] = append(c.runs[r.Attempt], r)
	}
	for i := range record.Responses {
		c.nodes[record.Responses[i].Attempt] = record.Responses[i].Node
	}
	for _, r := range record.Runs {
		c.checkRun(r)
	}
	for i := range record.Responses {
		c.checkResponse(&record.Responses[i])
	}
	return c.breaches
}

// soakChecker collects the breaches of one soak test.
type soakChecker struct {
	SoakRecord
	SoakRule
	// runs and nodes map an attempt to its runs and to the node that accepted it.
	runs     map[string][]SoakRun
	nodes    map[string]string
	breaches []Breach
}

func (c *soakChecker) breach(kind, request, format string, args ...any) {
	c.breaches = append(c.breaches, Breach{Kind: kind, Request: request, Detail: fmt.Sprintf(format, args...)})
}

// checkRun checks that a replica ran the request as it was sent, and not in a zone that was evacuated for longer than the bound.
func (c *soakChecker) checkRun(r SoakRun) {
	if r.Altered != "" {
		c.breach(RequestAltered, r.Attempt, "%s ran it with %s", r.Instance, r.Altered)
	}
	allowed := Span{FromMs: r.AtMs - c.Evacuation.Milliseconds(), UntilMs: r.AtMs}
	for _, evacuated := range c.Evacuations[r.Zone] {
		if evacuated.FromMs < allowed.FromMs && allowed.UntilMs < evacuated.UntilMs && c.hadContact(c.nodes[r.Attempt], r.AtMs) {
			c.breach(InEvacuatedZone, r.Attempt, "by %s at %s in %s, %d ms after the acknowledgement", c.nodes[r.Attempt], r.Instance, r.Zone, r.AtMs-evacuated.FromMs)
		}
	}
}

// hadContact reports whether neither the node nor any voter had a fault within the contact time before atMs.
func (c *soakChecker) hadContact(node string, atMs int64) bool {
	before := Span{FromMs: atMs - c.Contact.Milliseconds(), UntilMs: atMs}
	for _, f := range c.Faults {
		if !f.overlaps(before) {
			continue
		}
		if f.Node == node || c.isVoter(f.Node) {
			return false
		}
	}
	return true
}

func (c *soakChecker) isVoter(node string) bool {
	for _, name := range c.Voters {
		if name == node {
			return true
		}
	}
	return false
}

// checkResponse checks a response against the runs of its attempt.
func (c *soakChecker) checkResponse(a *SoakResponse) {
	runs := c.runs[a.Attempt]
	if a.AtMostOnce && len(runs) > 1 {
		c.breach(RanTwice, a.Attempt, "by %s: at %s and %s", a.Node, runs[0].Instance, runs[1].Instance)
	}
	if a.AtMostOnce && len(runs) > 0 && promisesNotRun(a.Status) {
		c.breach(RejectedButRan, a.Attempt, "by %s: status %d, but %s ran it", a.Node, a.Status, runs[0].Instance)
	}
	if a.Status == http.StatusOK {
		c.breaches = append(c.breaches, CheckStreams([]StreamResponse{a.StreamResponse})...)
	}
	if c.lostAtShutdown(a, runs) {
		c.breach(ResponseLost, a.Attempt, "by %s: status %d, %d events of %d, %d ms after it was sent", a.Node, a.Status, len(a.Events), a.Total, a.EndMs-a.AtMs)
	}
}

// promisesNotRun reports whether a status promises that the request did not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// lostAtShutdown reports whether the connection ended without a complete response during a shutdown of the node, and the shutdown is the only
// possible cause: the request was forwarded, no replica failed (SoakRun.ReplicaFailed), and the node had no other fault at that time. A response that
// ends in the last sixth of the grace period does not count, as the process may exit before the period is over.
func (c *soakChecker) lostAtShutdown(a *SoakResponse, runs []SoakRun) bool {
	responded := a.Complete || (a.Status != 0 && a.Status != http.StatusOK)
	if responded || a.TimedOut || len(runs) == 0 {
		return false
	}
	for _, r := range runs {
		if r.ReplicaFailed {
			return false
		}
	}
	around := Span{FromMs: a.AtMs - c.Contact.Milliseconds(), UntilMs: a.EndMs}
	shutdown := false
	for _, f := range c.Faults {
		if f.Node != a.Node || !f.overlaps(around) {
			continue
		}
		if !f.Planned || a.EndMs > f.FromMs+c.Grace.Milliseconds()*5/6 {
			return false
		}
		shutdown = true
	}
	return shutdown
}
