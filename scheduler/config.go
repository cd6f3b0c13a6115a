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
	// HomeBonus is how much cheaper the home replica of a prefix is, as a multiple of the time to prefill its uncached
	// part.
	HomeBonus float64
	// AnnounceTokens is the minimum number of uncached prompt tokens at which a placement is announced to the other
	// routers. AnnounceTokensPerRouter times the number of routers is a second minimum, so that large fleets send fewer
	// announcements.
	AnnounceTokens, AnnounceTokensPerRouter int
	// PrefixMissCost is the cost of prefilling 1000 shared tokens again, CrossZoneCost that of sending a request to
	// another zone, and CrossZoneTokenCost the cost of sending 1000 of its tokens there. A cost of 1 corresponds to a
	// first token that is expected exactly at its target time.
	PrefixMissCost, CrossZoneCost, CrossZoneTokenCost float64
	// RoundRobin places requests in turn, as a baseline in comparisons.
	RoundRobin bool
	Index      prefixindex.Config
}

// Defaults returns the parameters that production nodes use.
func Defaults(self, zone string) Config {
	return Config{
		Self: self, Zone: zone, QueueLimit: 256, ControlTimeout: time.Second, ResponseTimeout: 8 * time.Second,
		PredictedWeight: 0.7, HomeBonus: 4,
		AnnounceTokens: 4000, AnnounceTokensPerRouter: 150,
		PrefixMissCost: 0.3, CrossZoneCost: 0.04, CrossZoneTokenCost: 0.01, Index: prefixindex.Defaults(),
	}
}
