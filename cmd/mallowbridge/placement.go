package main

import "github.com/mallowbridge/mallowbridge/router"

// How replicas are chosen.
const (
	byIndex    = "index"
	blind      = "blind"
	roundRobin = "round-robin"
)

// placement turns off what a comparison goes without.
func placement(r *router.Router, way string) {
	switch way {
	case blind:
		r.DisableIndex()
	case roundRobin:
		r.EnableRoundRobin()
	}
}
