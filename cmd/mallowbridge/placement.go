package main

import "github.com/mallowbridge/mallowbridge/router"

// The policies by which replicas are chosen.
const (
	placeByIndex    = "index"
	placeByLoad     = "blind"
	placeRoundRobin = "round-robin"
)

// setPlacement sets the placement policy of a router; the default is placeByIndex.
func setPlacement(r *router.Router, policy string) {
	switch policy {
	case placeByLoad:
		r.DisableIndex()
	case placeRoundRobin:
		r.EnableRoundRobin()
	}
}
