package config

import "crypto/sha256"

// KeyHash is the hash of a tenant's key. Only the operators' document contains the keys themselves: look-ups, messages and logs use their
// hashes. The duration of a look-up by hash does not depend on how much of a key an attacker has guessed.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Tenant is a customer. A request with any of its keys is the tenant's.
type Tenant struct {
	Name string
	Keys []KeyHash
	// Priority replaces the priority of the routes if HasPriority is set; 0 is the most urgent.
	Priority    int
	HasPriority bool
	// Rate (per second) and Burst are the tenant's quota over all nodes; a Rate of 0 means no limit. They count requests, or tokens if ByTokens is
	// set: the tokens of the prompt plus the maximum number of output tokens. UncachedTokens is used for requests that do not state a number of tokens.
	Rate, Burst    float64
	ByTokens       bool
	UncachedTokens int
}

// Cost returns how much of the tenant's quota a request uses. tokens is the request's total number of tokens, 0 if it does not state any.
func (t *Tenant) Cost(tokens int) float64 {
	switch {
	case !t.ByTokens:
		return 1
	case tokens == 0:
		return float64(t.UncachedTokens)
	}
	return float64(tokens)
}

// PriorityOf returns the priority of the tenant's requests on a route. It is the route's priority if t is nil or has no priority of its own.
func (t *Tenant) PriorityOf(r *Route) int {
	if t == nil || !t.HasPriority {
		return r.Priority
	}
	return t.Priority
}
