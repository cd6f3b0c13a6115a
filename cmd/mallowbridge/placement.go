package main

import "github.com/mallowbridge/mallowbridge"

const (
	byIndex    = "index"
	blind      = "blind"
	roundRobin = "round-robin"
)

func placement(r *mallowbridge.Router, way string) {
	switch way {
	case blind:
		r.IndexOff()
	case roundRobin:
		r.RoundRobin()
	}
}
