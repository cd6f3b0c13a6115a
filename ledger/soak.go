package ledger

import (
	"fmt"
	"net/http"
	"time"
)

// SoakResponse is what came of one request of a soak, as its client saw it.
type SoakResponse struct {
	StreamResponse
	Attempt string `json:"attempt"`
	// EndMs is when the answer, or the connection, ended. Status is 0 where no answer came.
	EndMs  int64 `json:"endMs"`
	Status int   `json:"status"`
	// AtMostOnce tells that no configuration which may have been in force lets the request run twice.
	AtMostOnce bool `json:"once"`
	// TimedOut tells that the client's time was over.
	TimedOut bool `json:"timedOut,omitempty"`
}

// SoakRun is a request that a replica began to run.
type SoakRun struct {
	AtMs     int64  `json:"atMs"`
	Attempt  string `json:"attempt"`
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	// Altered says what differs from what the client sent; empty where nothing does.
	Altered string `json:"altered,omitempty"`
	// ReplicaFailed tells that the replica itself was to end the answer wrongly, or was stopped before its end.
	ReplicaFailed bool `json:"spoiled,omitempty"`
}

// Span is a time from FromMs until UntilMs.
type Span struct{ FromMs, UntilMs int64 }

func (s Span) overlaps(other Span) bool {
	return s.FromMs <= other.UntilMs && other.FromMs <= s.UntilMs
}

// NodeFault is a time in which a node was killed, stopped or frozen. Planned ones are shutdowns.
type NodeFault struct {
	Span
	Node    string
	Planned bool
}

// SoakRule bounds what a soak may show. Its fields are named as the bounds in a node's settings.
type SoakRule struct{ Contact, Evacuation, Grace time.Duration }

// SoakRecord is all that a soak saw.
type SoakRecord struct {
	Responses []SoakResponse
	Runs      []SoakRun
	// Evacuations are by zone, each from its acknowledgement until it was first asked to be taken back.
	Evacuations map[string][]Span
	Faults      []NodeFault
	// Voters names the nodes that vote.
	Voters []string
}

// CheckSoak gives all breaches of a soak.
func CheckSoak(record SoakRecord, rule SoakRule) []Breach {
	c := soakCheck{SoakRecord: record, SoakRule: rule, runs: map[string][]SoakRun{}, nodes: map[string]string{}}
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
		c.checkAnswer(&record.Responses[i])
	}
	return c.breaches
}

type soakCheck struct {
	SoakRecord
	SoakRule
	// runs are by attempt, nodes gives the node that took an attempt.
	runs     map[string][]SoakRun
	nodes    map[string]string
	breaches []Breach
}

func (c *soakCheck) breach(what, request, format string, args ...any) {
	c.breaches = append(c.breaches, Breach{Kind: what, Request: request, Detail: fmt.Sprintf(format, args...)})
}

func (c *soakCheck) checkRun(r SoakRun) {
	if r.Altered != "" {
		c.breach(RequestAltered, r.Attempt, "%s ran it with %s", r.Instance, r.Altered)
	}
	late := Span{FromMs: r.AtMs - c.Evacuation.Milliseconds(), UntilMs: r.AtMs}
	for _, evacuated := range c.Evacuations[r.Zone] {
		if evacuated.FromMs < late.FromMs && late.UntilMs < evacuated.UntilMs && c.inTouch(c.nodes[r.Attempt], r.AtMs) {
			c.breach(InEvacuatedZone, r.Attempt, "by %s at %s in %s, %d ms after the acknowledgement", c.nodes[r.Attempt], r.Instance, r.Zone, r.AtMs-evacuated.FromMs)
		}
	}
}

// inTouch tells whether neither the node nor any voter failed in the contact time before.
func (c *soakCheck) inTouch(node string, atMs int64) bool {
	before := Span{FromMs: atMs - c.Contact.Milliseconds(), UntilMs: atMs}
	for _, f := range c.Faults {
		if !f.overlaps(before) {
			continue
		}
		if f.Node == node || c.votes(f.Node) {
			return false
		}
	}
	return true
}

func (c *soakCheck) votes(node string) bool {
	for _, name := range c.Voters {
		if name == node {
			return true
		}
	}
	return false
}

func (c *soakCheck) checkAnswer(a *SoakResponse) {
	runs := c.runs[a.Attempt]
	if a.AtMostOnce && len(runs) > 1 {
		c.breach(RanTwice, a.Attempt, "by %s: at %s and %s", a.Node, runs[0].Instance, runs[1].Instance)
	}
	if a.AtMostOnce && len(runs) > 0 && promisesNotRun(a.Status) {
		c.breach(RejectedButRan, a.Attempt, "by %s: %d, and %s ran it", a.Node, a.Status, runs[0].Instance)
	}
	if a.Status == http.StatusOK {
		c.breaches = append(c.breaches, CheckStreams([]StreamResponse{a.StreamResponse})...)
	}
	if c.lost(a, runs) {
		c.breach(ResponseLost, a.Attempt, "by %s: status %d, %d events of %d, %d ms after it was sent", a.Node, a.Status, len(a.Events), a.Total, a.EndMs-a.AtMs)
	}
}

// promisesNotRun tells whether a status says that the request did not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// lost tells whether the connection ended without a whole answer around a shutdown of the node, with nothing else to blame: the request was
// passed on to replicas, none of which broke off, and nothing but the shutdown befell the node.
func (c *soakCheck) lost(a *SoakResponse, runs []SoakRun) bool {
	answered := a.Complete || (a.Status != 0 && a.Status != http.StatusOK)
	if answered || a.TimedOut || len(runs) == 0 {
		return false
	}
	for _, r := range runs {
		if r.ReplicaFailed {
			return false
		}
	}
	around := Span{FromMs: a.AtMs - c.Contact.Milliseconds(), UntilMs: a.EndMs}
	planned := false
	for _, f := range c.Faults {
		if f.Node != a.Node || !f.overlaps(around) {
			continue
		}
		if !f.Planned || a.EndMs > f.FromMs+c.Grace.Milliseconds()*5/6 {
			return false
		}
		planned = true
	}
	return planned
}
