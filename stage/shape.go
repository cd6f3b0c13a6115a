package stage

import (
	"encoding/json"
	"fmt"
)

type NodeShape struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	Disk   bool   `json:"disk"`
}

type Shape struct {
	Name    string
	Nodes   []NodeShape
	Voters  []string
	Domains []string
	Offer   string
	Kinds   []KindLoad
	Charter []byte
}

func Tramites() (s Shape) {
	return shape("tramites", "zoning", 12, 3, []string{"a", "b", "c"}, []string{"counter", "checklist", "dossier"}, 0.2)
}

func Atlas() (s Shape) {
	return shape("atlas", "logbook", 11, 4, []string{"a", "b", "c", "d"}, []string{"lookup", "award", "reconcile"}, 1)
}

func ShapeOf(name string) (s Shape, ok bool) {
	switch name {
	case "tramites":
		return Tramites(), true
	case "atlas":
		return Atlas(), true
	}
	return s, false
}

func shape(name, offer string, nodes, cores int, domains, kinds []string, cross float64) (s Shape) {
	s = Shape{Name: name, Voters: []string{"n1", "n2", "n3"}, Domains: domains, Offer: offer}
	for i := range nodes {
		d := domains[i%len(domains)]
		s.Nodes = append(s.Nodes, NodeShape{Name: fmt.Sprintf("n%d", i+1), Domain: d, Disk: i < cores})
	}
	bounds := []int{1500, 3000, 6000}
	var ks, rs []map[string]any
	for i, k := range kinds {
		s.Kinds = append(s.Kinds, KindLoad{Offer: offer, Name: k, Repeatable: i < 2})
		ks = append(ks, map[string]any{
			"name": k, "value": []int{10, 5, 8}[i], "urgency": 3 - i, "firstTokenMs": bounds[i], "repeatable": i < 2,
		})
	}
	for i := range 18 {
		rs = append(rs, map[string]any{
			"name": fmt.Sprintf("r%d", i+1), "addr": fmt.Sprintf("127.0.0.1:%d", 9001+i), "domain": domains[i%len(domains)], "room": 12,
		})
	}
	s.Charter, _ = json.Marshal(map[string]any{
		"replaceLostVoterMs": 15000,
		"offers": []any{map[string]any{
			"name": offer, "model": Prompt, "replicas": rs, "kinds": ks, "crossCost": cross, "cold": map[string]any{"startRoom": 1, "rampMs": 8000},
		}},
	})
	return s
}
