package sim

import (
	"fmt"
	"time"

	"github.com/mallowbridge/mallowbridge/prefixindex"
	"github.com/mallowbridge/mallowbridge/router"
	"github.com/mallowbridge/mallowbridge/sim/shape"
)

const maxPredictions = 2 * time.Second

type predictionKey struct {
	front, replica, instance string
	part                     prefixindex.Key
}

func (c *fleetConn) prefixOwner() *FleetReplica {
	if c.place.Prefill != "" {
		return c.request.w.byURL[c.place.Prefill]
	}
	return c.replica
}

func (c *fleetConn) keys() ([]predictionKey, []int) {
	parts, _ := prefixindex.Parse(shape.ModelName, c.request.ask.Prefix)
	var tokens []int
	var keys []predictionKey
	for _, p := range parts {
		keys, tokens = append(keys, predictionKey{front: c.request.n.frontendID, replica: c.prefixOwner().Name, part: p.Key}), append(tokens, p.Tokens)
	}
	return keys, tokens
}

// placed compares what a placement counted on with what its node can have seen: its own commits and their answers.
func (a *Audit) placed(f *fleetRequest, c *fleetConn) {
	keys, tokens := c.keys()
	a.counted(placementCheck{f.n, f.ask.ID, c.place, keys, tokens}, func(key predictionKey) bool { return a.proof(f.n, c.prefixOwner(), key) })
}

// A placementCheck is a decision of a node, with the parts of the prompt that it may have counted on and the tokens of each.
type placementCheck struct {
	node     *Node
	request  string
	decision router.Decision
	keys     []predictionKey
	tokens   []int
}

// counted compares the tokens that a decision counted on with those that are proved, and with those that may be predicted.
func (a *Audit) counted(c placementCheck, proved func(key predictionKey) bool) {
	sure, all, certain := 0, 0, true
	for i, key := range c.keys {
		proof := proved(key)
		if !proof && a.w.Now >= a.predictions[key] {
			break
		}
		certain = certain && proof
		all += c.tokens[i]
		if certain {
			sure += c.tokens[i]
		}
	}
	if c.decision.ConfirmedTokens > sure {
		a.breach(UnprovenConfirmation, c.request, fmt.Sprintf("%s counted on %d of %d tokens at %s", c.node.Name, c.decision.ConfirmedTokens, sure, c.decision.Replica))
	}
	if counted := c.decision.ConfirmedTokens + c.decision.PredictedTokens; counted > all {
		a.breach(StalePrediction, c.request, fmt.Sprintf("%s counted on %d of %d tokens at %s", c.node.Name, counted, all, c.decision.Replica))
	}
	_, t := c.node.router.IndexStats()
	for _, key := range c.keys {
		a.predictions[key] = max(a.predictions[key], a.w.Now+min(t, maxPredictions))
	}
}

// recordPrediction does the same for a trip, whose replica is one incarnation.
func (t *proxyRequest) recordPrediction() {
	a := t.n.w.Audit
	keys, tokens := t.keys()
	a.counted(placementCheck{t.n, t.attempt.id, t.exchange.Placement, keys, tokens}, func(key predictionKey) bool { return a.proofs[key] })
}

func (t *proxyRequest) keys() ([]predictionKey, []int) {
	var tokens []int
	var keys []predictionKey
	for _, p := range t.attempt.request.parts {
		keys, tokens = append(keys, predictionKey{front: t.n.frontendID, replica: t.exchange.Placement.Replica, part: p.Key}), append(tokens, p.Tokens)
	}
	return keys, tokens
}

func (t *proxyRequest) confirmed() {
	keys, _ := t.keys()
	for _, key := range keys {
		t.n.w.Audit.proofs[key] = true
	}
}

func (a *Audit) proof(n *Node, r *FleetReplica, key predictionKey) bool {
	key.instance = r.model.Instance
	if a.proofs[key] {
		return true
	}
	key.instance = r.before
	return a.proofs[key] && !a.late(n, versionFact{at: r.since, zone: r.Zone}, leavingWithin)
}

func (a *Audit) proved(c *fleetConn, inst string) {
	if c.place.Prefill != "" {
		inst = c.prefixOwner().model.Instance
	}
	keys, _ := c.keys()
	for _, key := range keys {
		key.instance = inst
		a.proofs[key] = true
	}
}
