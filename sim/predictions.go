package sim

import (
	"fmt"
	"time"

	"github.com/mallowbridge/mallowbridge/prefixindex"
	"github.com/mallowbridge/mallowbridge/router"
	"github.com/mallowbridge/mallowbridge/sim/shape"
)

// maxPredictionTTL is the longest time for which a predicted prefix block may be counted on.
const maxPredictionTTL = 2 * time.Second

// predictionKey is a prefix block at a replica, as predicted by one frontend. instance is empty in Audit.predictions and on sites.
type predictionKey struct {
	frontend, replica, instance string
	block                       prefixindex.Key
}

// prefixOwner returns the replica that prefills the prompt.
func (c *fleetConn) prefixOwner() *FleetReplica {
	if c.placement.Prefill != "" {
		return c.request.w.replicasByAddr[c.placement.Prefill]
	}
	return c.replica
}

// predictionKeys returns the keys of the request's prefix blocks and their numbers of tokens.
func (c *fleetConn) predictionKeys() ([]predictionKey, []int) {
	blocks, _ := prefixindex.Parse(shape.ModelName, c.request.request.Prefix)
	var tokens []int
	var keys []predictionKey
	for _, block := range blocks {
		keys, tokens = append(keys, predictionKey{frontend: c.request.n.frontendID, replica: c.prefixOwner().Name, block: block.Key}), append(tokens, block.Tokens)
	}
	return keys, tokens
}

// attemptPlaced compares the tokens that a placement counted on with what its node can know: its own attempts and the responses to them.
func (a *Audit) attemptPlaced(f *fleetRequest, c *fleetConn) {
	keys, tokens := c.predictionKeys()
	a.checkPrediction(placementCheck{f.n, f.request.ID, c.placement, keys, tokens}, func(key predictionKey) bool { return a.isProven(f.n, c.prefixOwner(), key) })
}

// placementCheck is a decision of a node, with the prefix blocks of the prompt and their numbers of tokens.
type placementCheck struct {
	node     *Node
	request  string
	decision router.Decision
	blocks   []predictionKey
	tokens   []int
}

// checkPrediction compares the tokens that a decision counted on with those in proven blocks, and with those in proven or still predicted blocks.
func (a *Audit) checkPrediction(c placementCheck, proved func(key predictionKey) bool) {
	provenTokens, allowedTokens, allProven := 0, 0, true
	for i, key := range c.blocks {
		proof := proved(key)
		if !proof && a.w.Now >= a.predictions[key] {
			break
		}
		allProven = allProven && proof
		allowedTokens += c.tokens[i]
		if allProven {
			provenTokens += c.tokens[i]
		}
	}
	if c.decision.ConfirmedTokens > provenTokens {
		a.breach(UnprovenConfirmation, c.request, fmt.Sprintf("%s counted on %d tokens, at most %d allowed, at %s", c.node.Name, c.decision.ConfirmedTokens, provenTokens, c.decision.Replica))
	}
	if expected := c.decision.ConfirmedTokens + c.decision.PredictedTokens; expected > allowedTokens {
		a.breach(StalePrediction, c.request, fmt.Sprintf("%s counted on %d tokens, at most %d allowed, at %s", c.node.Name, expected, allowedTokens, c.decision.Replica))
	}
	_, ttl := c.node.router.IndexStats()
	for _, key := range c.blocks {
		a.predictions[key] = max(a.predictions[key], a.w.Now+min(ttl, maxPredictionTTL))
	}
}

// checkPrediction checks the prediction for a request through the proxy, where each incarnation of a replica has its own name.
func (t *proxyRequest) checkPrediction() {
	a := t.n.w.Audit
	keys, tokens := t.predictionKeys()
	a.checkPrediction(placementCheck{t.n, t.attempt.id, t.exchange.Placement, keys, tokens}, func(key predictionKey) bool { return a.proofs[key] })
}

func (t *proxyRequest) predictionKeys() ([]predictionKey, []int) {
	var tokens []int
	var keys []predictionKey
	for _, block := range t.attempt.request.blocks {
		keys, tokens = append(keys, predictionKey{frontend: t.n.frontendID, replica: t.exchange.Placement.Replica, block: block.Key}), append(tokens, block.Tokens)
	}
	return keys, tokens
}

// recordProofs records that a response confirmed the request's prefix blocks.
func (t *proxyRequest) recordProofs() {
	keys, _ := t.predictionKeys()
	for _, key := range keys {
		t.n.w.Audit.proofs[key] = true
	}
}

// isProven reports whether a response confirmed the block at the replica's instance, or at the previous one if the node need not know of the
// restart yet.
func (a *Audit) isProven(n *Node, r *FleetReplica, key predictionKey) bool {
	key.instance = r.model.Instance
	if a.proofs[key] {
		return true
	}
	key.instance = r.previousInstance
	return a.proofs[key] && !a.overdue(n, versionFact{at: r.startedAt, zone: r.Zone}, drainWithin)
}

// addProofs records that a response of an instance confirmed the request's prefix blocks.
func (a *Audit) addProofs(c *fleetConn, instance string) {
	if c.placement.Prefill != "" {
		instance = c.prefixOwner().model.Instance
	}
	keys, _ := c.predictionKeys()
	for _, key := range keys {
		key.instance = instance
		a.proofs[key] = true
	}
}
