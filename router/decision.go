package router

import (
	"time"

	"github.com/mallowbridge/mallowbridge/config"
)

// Verdict says what is to be done for a request.
type Verdict string

// The verdicts. Reject, Unknown, Partial and Done are final.
const (
	// Place opens an attempt at a replica; nothing may be sent before Send.
	Place Verdict = "place"
	// Send permits the attempt's bytes to leave.
	Send Verdict = "send"
	// CancelBeforeSend closes an attempt of which nothing was sent.
	CancelBeforeSend Verdict = "recall"
	// Reject ends a request that was not run.
	Reject Verdict = "deny"
	// Cancel closes an attempt that may be running.
	Cancel Verdict = "cancel"
	// Unknown ends a request that may or may not have run.
	Unknown Verdict = "unknown"
	// Partial ends a request whose answer broke off.
	Partial Verdict = "partial"
	// Done ends a request that was answered whole.
	Done Verdict = "done"
	// PollWitnesses asks the witnesses of a waiting request early.
	PollWitnesses Verdict = "peek"
)

func (v Verdict) final() bool {
	return v == Reject || v == Unknown || v == Partial || v == Done
}

// Decision is what a Router decided for one request. The command decide writes decisions as JSON, so that these names are published.
type Decision struct {
	Verdict Verdict `json:"verdict"`
	Request string  `json:"request"`
	// AttemptID is the id of the attempt, Replica and Addr (host:port) where it goes, Prefill the address of the replica that reads the
	// prompt where roles are split.
	AttemptID string `json:"go,omitempty"`
	Replica   string `json:"replica,omitempty"`
	Addr      string `json:"addr,omitempty"`
	Prefill   string `json:"prefill,omitempty"`
	// Reason is a reason for people; RetryAfter is when a rejected client should come back.
	Reason     string        `json:"why,omitempty"`
	RetryAfter time.Duration `json:"after,omitempty"`
	// RejectedLate marks a rejection after the request had been placed, or had waited for a quarter of its bound.
	RejectedLate bool `json:"late,omitempty"`
	// ConfirmedTokens and Predicted are how many tokens of the prompt the replica is held to have cached.
	ConfirmedTokens int `json:"confirmed,omitempty"`
	PredictedTokens int `json:"predicted,omitempty"`
	// Repeat marks a rejection of a request that was run before, Bad one of a request that cannot be served as it is.
	Repeat  bool `json:"repeat,omitempty"`
	Invalid bool `json:"bad,omitempty"`
	// OverQuota marks a rejection of a request beyond its tenant's quota.
	OverQuota bool `json:"overQuota,omitempty"`
	// Unauthorized marks a rejection of a request whose key no tenant has.
	Unauthorized bool `json:"unauthorized,omitempty"`
	// OnceOnly asks for a quorum of witnesses before the request is sent; SpareTime is the time that they may take without harm.
	OnceOnly  bool          `json:"once,omitempty"`
	SpareTime time.Duration `json:"spare,omitempty"`

	// Instance is the incarnation of the replica that was chosen, where the platform lists it.
	Instance string `json:"instance,omitempty"`
	// Route is the route taken, nil for a request to /v1/services. It is immutable.
	Route *config.Route `json:"-"`
	// Tenant names the tenant whose key the request has; empty where it has none.
	Tenant string `json:"tenant,omitempty"`
	// UnreadTokens is how many tokens the replica is expected to read, where it batches and other routers should know.
	UnreadTokens int `json:"unread,omitempty"`
	// Priority tells the replica how urgent the request is, 0 first.
	Priority int `json:"rank,omitempty"`
	// MaxConns is the most connections that this node may keep to the replica; 0: no bound.
	MaxConns int `json:"conns,omitempty"`
	// Deadline is when the request is given up, on the router's clock; 0: not bounded.
	Deadline time.Duration `json:"until,omitempty"`
	// Resumes tells that the replica is to go on after the last event passed on.
	Resumes bool `json:"resumes,omitempty"`
}
