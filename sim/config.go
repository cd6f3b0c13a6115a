package sim

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/mallowbridge/mallowbridge/sim/shape"
)

// largeConfigBytes is the size to which configurations are padded in tests of the size limit.
const largeConfigBytes = 1000 << 10

// nextConfig returns a random variation of the first configuration that changes how traffic is routed: replicas, capacities, roles, zones and
// request classes differ. A large one is padded to the size limit.
func (w *World) nextConfig(large bool) []byte {
	w.lastID++
	var doc shape.Doc
	if err := json.Unmarshal(w.Scenario.Config, &doc); err != nil {
		panic(err)
	}
	doc["replaceLostVoterMs"] = 15000 + w.lastID
	for _, service := range doc["offers"].([]any) {
		w.varyService(service.(shape.Doc))
	}
	if large {
		doc["offers"] = append(doc["offers"].([]any), paddingServices()...)
	}
	body, err := json.Marshal(doc)
	if err != nil {
		panic(err)
	}
	return body
}

// varyService varies the replicas and request classes of one service.
func (w *World) varyService(service shape.Doc) {
	rng := w.auxRNG
	replicas := service["replicas"].([]any)
	rng.Shuffle(len(replicas), func(i, j int) { replicas[i], replicas[j] = replicas[j], replicas[i] })
	replicas = replicas[:len(replicas)-rng.IntN(4)]
	split := rng.IntN(6) == 0
	for i, r := range replicas {
		replica := r.(shape.Doc)
		if rng.IntN(8) == 0 {
			replica["room"] = 6 + rng.IntN(7)
		}
		if split && i < 4 {
			replica["role"] = "prefill"
		}
		if rng.IntN(16) == 0 {
			replica["domain"] = w.Scenario.Shape.Zones[rng.IntN(len(w.Scenario.Shape.Zones))]
		}
	}
	service["replicas"] = replicas
	classes := service["kinds"].([]any)
	if second := classes[1].(shape.Doc); rng.IntN(3) == 0 {
		second["repeatable"] = false
	}
	if rng.IntN(12) == 0 {
		classes = append(classes[:1:1], classes[2:]...)
	}
	service["kinds"] = classes
}

// paddingServices returns hundreds of services with thousands of request classes and thousands of replicas that are down, so that reading the
// configuration costs real work.
func paddingServices() []any {
	rng := rand.New(rand.NewPCG(3, 43))
	long := strings.Repeat("x", 44)
	size := 0
	var services []any
	for i := 0; size < largeConfigBytes; i++ {
		var replicas, classes []any
		for j := range 12 {
			replicas = append(replicas, shape.Doc{"name": fmt.Sprintf("pad-%d-%d", i, j), "addr": fmt.Sprintf("10.9.%d.%d:9000", i, j), "domain": string(rune('a' + rng.IntN(3)))})
		}
		for j := range 48 {
			classes = append(classes, shape.Doc{"name": fmt.Sprintf("%s-%d", long, j), "firstTokenMs": 1000 + rng.IntN(9000)})
		}
		service := shape.Doc{"name": fmt.Sprintf("pad-%d", i), "model": "m1", "replicas": replicas, "kinds": classes}
		raw, err := json.Marshal(service)
		if err != nil {
			panic(err)
		}
		size += len(raw)
		services = append(services, service)
	}
	return services[:len(services)-1]
}
