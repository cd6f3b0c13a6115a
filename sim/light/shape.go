package light

import (
	"encoding/json"
	"fmt"

	"github.com/mallowbridge/mallowbridge/sim/shape"
	"github.com/mallowbridge/mallowbridge/sim/workload"
)

// withServices returns the shape with its services' request classes and the configuration of these services.
func withServices(s shape.Shape, replicas, services int) shape.Shape {
	var serviceDocs []any
	for o := range services {
		name := fmt.Sprintf("model%d", o+1)
		var replicaDocs []any
		for i := o; i < replicas; i += services {
			replicaDocs = append(replicaDocs, shape.Doc{
				"name": fmt.Sprintf("r%d", i+1), "addr": fmt.Sprintf("10.200.%d.%d:9000", i>>8, i&255), "domain": s.Zones[i%len(s.Zones)], "room": Capacity,
			})
		}
		var classDocs []any
		for i, k := range []string{"fast", "normal", "once"} {
			s.Classes = append(s.Classes, workload.ClassLoad{Service: name, Name: k, Repeatable: i < 2})
			classDocs = append(classDocs, shape.Doc{"name": k, "value": 5, "urgency": 3 - i, "firstTokenMs": 1900, "repeatable": i < 2})
		}
		serviceDocs = append(serviceDocs, shape.Doc{
			"name": name, "model": shape.ModelName, "replicas": replicaDocs, "kinds": classDocs, "crossCost": 0.5, "cold": shape.Doc{"startRoom": 1, "rampMs": 0},
		})
	}
	s.Config, _ = json.Marshal(shape.Doc{"replaceLostVoterMs": 15000, "offers": serviceDocs})
	return s
}

// Capacity is how many requests a replica of a lightweight fleet runs at once according to the configuration.
const Capacity = 12

// Document returns the n-th version of a shape's configuration as JSON, padded with unused services and request classes to about the given
// number of bytes.
func Document(s shape.Shape, n, bytes int) []byte {
	var d shape.Doc
	if err := json.Unmarshal(s.Config, &d); err != nil {
		panic(err)
	}
	d["replaceLostVoterMs"] = 15000 + n
	services := d["offers"].([]any)
	var raw []byte
	for size, at := len(s.Config), 0; size < bytes; at++ {
		var classes []any
		for i := range 48 {
			classes = append(classes, shape.Doc{"name": fmt.Sprintf("padding-of-a-name-that-is-long-enough-%d", i), "firstTokenMs": 1900})
		}
		name := fmt.Sprintf("pad%d", at)
		pad := shape.Doc{"name": name, "model": shape.ModelName, "kinds": classes, "replicas": []any{shape.Doc{"name": name, "addr": "10.201.0.1:9000", "domain": s.Zones[0]}}}
		raw, _ = json.Marshal(pad)
		size += len(raw) + 1
		services = append(services, pad)
	}
	d["offers"] = services
	raw, _ = json.Marshal(d)
	return raw
}
