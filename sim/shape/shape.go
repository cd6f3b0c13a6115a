// Package shape holds the machines, zones, services and first configuration of the simulated fleets. Shapes are values.
package shape

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/mallowbridge/mallowbridge/sim/workload"
)

const (
	// ModelName is the model that all services serve.
	ModelName = "m1"
	// TickEvery is how often a control node gets a tick.
	TickEvery = 50 * time.Millisecond
)

// Doc is a JSON object.
type Doc = map[string]any

// Node is one machine of a shape; Disk: it has one and can be a voter.
type Node struct {
	Name string `json:"name"`
	Zone string `json:"domain"`
	Disk bool   `json:"disk"`
}

// Shape is a fleet: its machines, first voters, zones, the one service with its kinds of request, and its first configuration (Config).
type Shape struct {
	Name    string
	Nodes   []Node
	Voters  []string
	Zones   []string
	Service string
	Classes []workload.ClassLoad
	Config  []byte
	// OtherTargets are what else faults may name: a site's offers and classes, and how answers are garbled.
	OtherTargets []string
}

// Tramites is the shape of the first of the two users' fleets.
func Tramites() Shape {
	s, _ := Scaled("tramites", 1)
	return s
}

// Atlas is the shape of the second of them.
func Atlas() Shape {
	s, _ := Scaled("atlas", 1)
	return s
}

// Scaled is a fleet of the same shape with several times the nodes and replicas, and as many disks.
func Scaled(name string, k int) (Shape, bool) {
	switch name {
	case "tramites":
		return plan{
			name: "tramites", service: "zoning", nodes: 12, disks: 3, zones: []string{"a", "b", "c"},
			classes: []string{"counter", "checklist", "dossier"}, crossCost: 0.2,
		}.shape(k), true
	case "atlas":
		return plan{
			name: "atlas", service: "logbook", nodes: 11, disks: 4, zones: []string{"a", "b", "c", "d"},
			classes: []string{"lookup", "award", "reconcile"}, crossCost: 1,
		}.shape(k), true
	}
	var s Shape
	return s, false
}

// ByName finds a shape by name.
func ByName(name string) (Shape, bool) { return Scaled(name, 1) }

// A plan is what the shapes differ in. The first nodes have a disk; crossCost is the penalty for another zone.
type plan struct {
	name, service  string
	nodes, disks   int
	zones, classes []string
	crossCost      float64
}

// shape lays the plan out over k times its nodes and replicas.
func (p plan) shape(k int) Shape {
	s := Shape{Name: p.name, Voters: []string{"n1", "n2", "n3"}, Zones: p.zones, Service: p.service}
	for i := range k * p.nodes {
		d := p.zones[i%len(p.zones)]
		s.Nodes = append(s.Nodes, Node{Name: fmt.Sprintf("n%d", i+1), Zone: d, Disk: i < p.disks})
	}
	bounds := []int{1500, 3000, 6000}
	var ks, rs []map[string]any
	for i, k := range p.classes {
		s.Classes = append(s.Classes, workload.ClassLoad{Service: p.service, Name: k, Repeatable: i < 2})
		ks = append(ks, map[string]any{
			"name": k, "value": []int{10, 5, 8}[i], "urgency": 3 - i, "firstTokenMs": bounds[i], "repeatable": i < 2,
		})
	}
	for i := range k * 18 {
		rs = append(rs, map[string]any{
			"name": fmt.Sprintf("r%d", i+1), "addr": fmt.Sprintf("127.0.0.1:%d", 9001+i), "domain": p.zones[i%len(p.zones)], "room": 12,
		})
	}
	s.Config, _ = json.Marshal(map[string]any{
		"replaceLostVoterMs": 15000,
		"offers": []any{map[string]any{
			"name": p.service, "model": ModelName, "replicas": rs, "kinds": ks, "crossCost": p.crossCost, "cold": map[string]any{"startRoom": 1, "rampMs": 8000},
		}},
	})
	return s
}
