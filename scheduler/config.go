package scheduler

import (
	"time"

	"github.com/mallowbridge/mallowbridge/prefixindex"
)

// Config holds a scheduler's constants. Package router takes them from Defaults; the daemon sets QueueLimit and FeedTimeout.
type Config struct {
	// Self is this router's name, unique among the fleet's routers, and Zone where it runs.
	Self string
	Zone string
	// QueueLimit is the most requests that may wait for a replica at this router.
	QueueLimit int
	// ControlTimeout is how long after the last SetFeed requests are still admitted.
	ControlTimeout time.Duration
	// ResponseTimeout is the least time after which a replica that sent nothing is given up for a request that has no route.
	ResponseTimeout time.Duration
	// PredictedWeight is the share of its tokens that a predicted prefix part counts for, 0 to 1.
	PredictedWeight float64
	// HomeBonus is how much cheaper the home replica of a prefix is, in units of the time that reading the prefix would take.
	HomeBonus float64
	// NewRequestWaitFactor multiplies the expected wait of a request that has just arrived.
	NewRequestWaitFactor float64
	// QueuedPriorityFactor multiplies the priority of a request that has waited for a sixteenth of its bound.
	QueuedPriorityFactor float64
	// AnnounceTokens is the least number of unread tokens of a prompt that other routers are told of; AnnounceTokensPerRouter is the same
	// for each router, so that large fleets tell less.
	AnnounceTokens, AnnounceTokensPerRouter int
	// PrefixMissCost is the cost of reading 1000 shared tokens again, CrossZoneCost of passing a request to another zone and
	// CrossZoneTokenCost for 1000 tokens of it, all in units of a late first event.
	PrefixMissCost, CrossZoneCost, CrossZoneTokenCost float64
	// RoundRobin places requests in turn, for comparisons.
	RoundRobin bool
	Index      prefixindex.Config
}

// Defaults are the constants that production nodes use.
func Defaults(self, zone string) Config {
	return Config{
		Self: self, Zone: zone, QueueLimit: 256, ControlTimeout: time.Second, ResponseTimeout: 8 * time.Second,
		PredictedWeight: 0.7, HomeBonus: 4, NewRequestWaitFactor: 1.2, QueuedPriorityFactor: 2,
		AnnounceTokens: 4000, AnnounceTokensPerRouter: 150,
		PrefixMissCost: 0.3, CrossZoneCost: 0.04, CrossZoneTokenCost: 0.01, Index: prefixindex.Defaults(),
	}
}
