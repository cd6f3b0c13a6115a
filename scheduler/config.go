package scheduler

import (
	"time"

	"github.com/mallowbridge/mallowbridge/prefixindex"
)

// Config holds a scheduler's parameters. Package router starts from Defaults; the daemon sets QueueLimit and
// ControlTimeout.
type Config struct {
	// Self is this router's name, unique within the fleet. Zone is the zone that it runs in.
	Self string
	Zone string
	// QueueLimit is the maximum number of requests that wait for a replica at this router.
	QueueLimit int
	// ControlTimeout is how long after the last RecordControlContact requests are still served.
	ControlTimeout time.Duration
	// ResponseTimeout is the minimum time after which an unanswered attempt is abandoned. It applies to requests without
	// a route only.
	ResponseTimeout time.Duration
	// PredictedWeight is the fraction, from 0 to 1, of a predicted block's tokens that counts as cached.
	PredictedWeight float64
	// FollowingRequests is the number of requests that are expected to follow with the same prefix, and to be delayed if its
	// shared blocks are prefilled at a replica that neither has them cached nor is the prefix's home.
	FollowingRequests float64
	// AnnounceTokens is the minimum number of uncached prompt tokens at which a placement is announced to the other
	// routers. AnnounceTokensPerRouter times the number of routers is a second minimum, so that large fleets send fewer
	// announcements.
	AnnounceTokens, AnnounceTokensPerRouter int
	// CrossZoneWait is how much longer a routed request may wait for its first token to be placed in its own zone, and
	// CrossZoneWaitPerToken the addition for each token of its prompt. Operators set them by what bytes between zones cost.
	CrossZoneWait, CrossZoneWaitPerToken time.Duration
	// RoundRobin places requests in turn, as a baseline in comparisons.
	RoundRobin bool
	Index      prefixindex.Config
}

const (
	// DefaultCrossZoneWait is two round trips between zones a millisecond apart: a connection and a request.
	DefaultCrossZoneWait = 4 * time.Millisecond
	// DefaultCrossZoneWaitPerToken makes a prompt's way to another zone cost as much as prefilling it.
	DefaultCrossZoneWaitPerToken = 10 * time.Microsecond
)

// Defaults returns the parameters that production nodes use.
func Defaults(self, zone string) Config {
	return Config{
		Self: self, Zone: zone, QueueLimit: 256, ControlTimeout: time.Second, ResponseTimeout: 8 * time.Second,
		PredictedWeight: 0.7, FollowingRequests: 16,
		AnnounceTokens: 4000, AnnounceTokensPerRouter: 150,
		CrossZoneWait: DefaultCrossZoneWait, CrossZoneWaitPerToken: DefaultCrossZoneWaitPerToken, Index: prefixindex.Defaults(),
	}
}
