package router

import (
	"time"

	"github.com/mallowbridge/mallowbridge/config"
)

// Verdict says what the data path must do with a request.
type Verdict string

// The verdicts. Reject, Unknown, Partial and Done are final.
const (
	// Place opens an attempt at a replica; no byte of the request may be sent before Send.
	Place Verdict = "place"
	// Send allows the request to be sent on the attempt's connection.
	Send Verdict = "send"
	// CancelBeforeSend closes an attempt that must not be sent.
	CancelBeforeSend Verdict = "recall"
	// Reject ends a request without having run it.
	Reject Verdict = "deny"
	// Cancel closes an attempt that may be running.
	Cancel Verdict = "cancel"
	// Unknown ends a request that may or may not have run.
	Unknown Verdict = "unknown"
	// Partial ends a request whose response is incomplete.
	Partial Verdict = "partial"
	// Done ends a request whose response is complete.
	Done Verdict = "done"
	// PollWitnesses asks the witnesses of a request that is still waiting for a placement.
	PollWitnesses Verdict = "peek"
)

func (v Verdict) final() bool {
	return v == Reject || v == Unknown || v == Partial || v == Done
}

// Decision is what a Router decided about one request. The decide command writes decisions as JSON, so the JSON names are public.
type Decision struct {
	Verdict Verdict `json:"verdict"`
	Request string  `json:"request"`
	// AttemptID is the ID of the attempt, Replica and Addr (host:port) the replica that it goes to. Prefill is the address of the replica
	// that runs the prefill if prefill and decode have separate replicas.
	AttemptID string `json:"go,omitempty"`
	Replica   string `json:"replica,omitempty"`
	Addr      string `json:"addr,omitempty"`
	Prefill   string `json:"prefill,omitempty"`
	// Reason is a human-readable reason. RetryAfter is how long a rejected client should wait before it retries.
	Reason     string        `json:"why,omitempty"`
	RetryAfter time.Duration `json:"after,omitempty"`
	// RejectedLate marks a rejection after the request was placed or had to wait, instead of at its arrival.
	RejectedLate bool `json:"late,omitempty"`
	// ConfirmedTokens is the number of prompt tokens that the replica is known to have cached, PredictedTokens the number that it is predicted
	// to have cached.
	ConfirmedTokens int `json:"confirmed,omitempty"`
	PredictedTokens int `json:"predicted,omitempty"`
	// Duplicate marks a rejection of a request that ran before, Invalid that of a request that cannot be served because of what it asks for.
	Duplicate bool `json:"repeat,omitempty"`
	Invalid   bool `json:"bad,omitempty"`
	// OverQuota marks a rejection because the tenant's quota is used up.
	OverQuota bool `json:"overQuota,omitempty"`
	// Unauthorized marks a rejection because no tenant has the request's key.
	Unauthorized bool `json:"unauthorized,omitempty"`
	// NeedsWitnesses is set if a quorum of witnesses must agree before the request is sent. SpareTime is how long they may take without delaying the
	// first token beyond its target.
	NeedsWitnesses bool          `json:"once,omitempty"`
	SpareTime      time.Duration `json:"spare,omitempty"`

	// Instance is the instance of the replica if the platform lists it.
	Instance string `json:"instance,omitempty"`
	// Route is the request's route, nil for a request of the product's own interface. It must not be changed.
	Route *config.Route `json:"-"`
	// Tenant is the name of the tenant whose key the request has, empty if there is none.
	Tenant string `json:"tenant,omitempty"`
	// UncachedTokens is the number of uncached prompt tokens that the replica is expected to process, if it batches requests and other routers should
	// know; otherwise 0.
	UncachedTokens int `json:"unread,omitempty"`
	// Priority is the priority of the request at the replica; 0 is the most urgent.
	Priority int `json:"rank,omitempty"`
	// MaxConns is the maximum number of connections from this node to the replica; 0 means no limit.
	MaxConns int `json:"conns,omitempty"`
	// Deadline is when the request times out, on the router's clock; 0 means never.
	Deadline time.Duration `json:"until,omitempty"`
	// Resumes is set if the replica must continue the response after the last event that was passed to the client.
	Resumes bool `json:"resumes,omitempty"`
}
