package config

import "crypto/sha256"

// KeyHash is the hash of a tenant's key. Keys themselves are kept nowhere but in the operators' document: what is looked up, sent and logged is
// their hash, and a look-up by it takes as long whatever part of a key was guessed.
type KeyHash [sha256.Size]byte

// HashKey gives the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Tenant is a customer, who is known by any of its keys.
type Tenant struct {
	Name string
	Keys []KeyHash
	// Priority goes before that of the routes where Prioritized; 0 goes first.
	Priority    int
	HasPriority bool
	// Rate a second and Burst on top bound what the tenant's requests may use over all nodes; a Rate of 0 is no bound. They count requests, or
	// tokens where ByTokens: those of the prompt and the most of the answer, UncachedTokens where a request doesn't say.
	Rate, Burst    float64
	ByTokens       bool
	UncachedTokens int
}

// Cost is what a request of so many tokens in all uses of the tenant's quota; 0 tokens: it doesn't say.
func (t *Tenant) Cost(tokens int) float64 {
	switch {
	case !t.ByTokens:
		return 1
	case tokens == 0:
		return float64(t.UncachedTokens)
	}
	return float64(tokens)
}

// PriorityOf gives the priority of a tenant's requests on a route; the route's own where there is no tenant, or it has none.
func (t *Tenant) PriorityOf(r *Route) int {
	if t == nil || !t.HasPriority {
		return r.Priority
	}
	return t.Priority
}
