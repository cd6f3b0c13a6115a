// Package shape defines the machines, zones, services and first configuration of the simulated fleets. ByName and Scaled return a Shape,
// which is a plain value.
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

// Node is one machine of a shape; a machine with a disk can be a voter.
type Node struct {
	Name string `json:"name"`
	Zone string `json:"domain"`
	Disk bool   `json:"disk"`
}

// Shape is a fleet: its machines, first voters, zones, its service with the request classes, and its first configuration (Config, as JSON).
type Shape struct {
	Name    string
	Nodes   []Node
	Voters  []string
	Zones   []string
	Service string
	Classes []workload.ClassLoad
	Config  []byte
	// OtherTargets are further names that faults may list as targets: a site's services and request classes, and the kinds of corrupt response.
	OtherTargets []string
}

// Tramites returns the shape of the fleet of the first of the two users.
func Tramites() Shape {
	shape, _ := Scaled("tramites", 1)
	return shape
}

// Atlas returns the shape of the second user's fleet.
func Atlas() Shape {
	shape, _ := Scaled("atlas", 1)
	return shape
}

// Scaled returns the shape of that name with k times the nodes and replicas and the same number of disks.
func Scaled(name string, k int) (Shape, bool) {
	switch name {
	case "tramites":
		return plan{
			name: "tramites", service: "zoning", nodes: 12, disks: 3, zones: []string{"a", "b", "c"},
			classes: []string{"counter", "checklist", "dossier"}, crossCost: 0.2,
		}.build(k), true
	case "atlas":
		return plan{
			name: "atlas", service: "logbook", nodes: 11, disks: 4, zones: []string{"a", "b", "c", "d"},
			classes: []string{"lookup", "award", "reconcile"}, crossCost: 1,
		}.build(k), true
	}
	var s Shape
	return s, false
}

// ByName returns the shape of that name.
func ByName(name string) (Shape, bool) { return Scaled(name, 1) }

// plan contains the differences between the shapes. disks is how many nodes have a disk, the first ones; crossCost is the penalty for routing to another zone.
type plan struct {
	name, service  string
	nodes, disks   int
	zones, classes []string
	crossCost      float64
}

// build returns the plan's shape with k times its nodes and replicas.
func (p plan) build(k int) Shape {
	s := Shape{Name: p.name, Voters: []string{"n1", "n2", "n3"}, Zones: p.zones, Service: p.service}
	for i := range k * p.nodes {
		zone := p.zones[i%len(p.zones)]
		s.Nodes = append(s.Nodes, Node{Name: fmt.Sprintf("n%d", i+1), Zone: zone, Disk: i < p.disks})
	}
	firstTokenMs := []int{1500, 3000, 6000}
	var classes, replicas []map[string]any
	for i, k := range p.classes {
		s.Classes = append(s.Classes, workload.ClassLoad{Service: p.service, Name: k, Repeatable: i < 2})
		classes = append(classes, map[string]any{
			"name": k, "value": []int{10, 5, 8}[i], "urgency": 3 - i, "firstTokenMs": firstTokenMs[i], "repeatable": i < 2,
		})
	}
	for i := range k * 18 {
		replicas = append(replicas, map[string]any{
			"name": fmt.Sprintf("r%d", i+1), "addr": fmt.Sprintf("127.0.0.1:%d", 9001+i), "domain": p.zones[i%len(p.zones)], "room": 12,
		})
	}
	s.Config, _ = json.Marshal(map[string]any{
		"replaceLostVoterMs": 15000,
		"offers": []any{map[string]any{
			"name": p.service, "model": ModelName, "replicas": replicas, "kinds": classes, "crossCost": p.crossCost, "cold": map[string]any{"startRoom": 1, "rampMs": 8000},
		}},
	})
	return s
}
