package main

import (
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/mallowbridge/mallowbridge/router"
	"github.com/mallowbridge/mallowbridge/scheduler"
)

// The policies by which replicas are chosen.
const (
	placeByIndex    = "index"
	placeByLoad     = "blind"
	placeRoundRobin = "round-robin"
)

// placement holds the flags that say how replicas are chosen.
type placement struct {
	policy                               string
	crossZoneWait, crossZoneWaitPerToken time.Duration
}

func (p *placement) addFlags(c *kingpin.CmdClause) {
	c.Flag("placement", "How replicas are chosen: index uses the prefix index; blind (by load, without the index) and round-robin are for comparisons.").
		Default(placeByIndex).EnumVar(&p.policy, placeByIndex, placeByLoad, placeRoundRobin)
	c.Flag("cross-zone-wait", "How much longer a request may wait for its first token to be placed in the node's own zone. Raise it where bytes between zones are dear.").
		Default(scheduler.DefaultCrossZoneWait.String()).DurationVar(&p.crossZoneWait)
	c.Flag("cross-zone-wait-per-token", "What each token of the prompt adds to --cross-zone-wait.").
		Default(scheduler.DefaultCrossZoneWaitPerToken.String()).DurationVar(&p.crossZoneWaitPerToken)
}

// apply makes a router choose replicas as the flags say.
func (p *placement) apply(r *router.Router) {
	r.SetCrossZoneWait(p.crossZoneWait, p.crossZoneWaitPerToken)
	switch p.policy {
	case placeByLoad:
		r.DisableIndex()
	case placeRoundRobin:
		r.EnableRoundRobin()
	}
}
