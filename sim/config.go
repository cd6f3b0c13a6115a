package sim

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/mallowbridge/mallowbridge/sim/shape"
)

const largeBytes = 1000 << 10

// varied makes configurations that change what traffic does: replicas, rooms, roles, zones and kinds come and go.
func (w *World) varied(large bool) []byte {
	w.asks++
	var d shape.Doc
	if err := json.Unmarshal(w.Scenario.Config, &d); err != nil {
		panic(err)
	}
	d["replaceLostVoterMs"] = 15000 + w.asks
	for _, o := range d["offers"].([]any) {
		w.vary(o.(shape.Doc))
	}
	if large {
		d["offers"] = append(d["offers"].([]any), padding()...)
	}
	body, err := json.Marshal(d)
	if err != nil {
		panic(err)
	}
	return body
}

func (w *World) vary(service shape.Doc) {
	rng := w.whim
	reps := service["replicas"].([]any)
	rng.Shuffle(len(reps), func(i, j int) { reps[i], reps[j] = reps[j], reps[i] })
	reps = reps[:len(reps)-rng.IntN(4)]
	split := rng.IntN(6) == 0
	for i, r := range reps {
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
	service["replicas"] = reps
	classes := service["kinds"].([]any)
	if second := classes[1].(shape.Doc); rng.IntN(3) == 0 {
		second["repeatable"] = false
	}
	if rng.IntN(12) == 0 {
		classes = append(classes[:1:1], classes[2:]...)
	}
	service["kinds"] = classes
}

// padding is real work for a reader: hundreds of services, thousands of kinds, thousands of replicas that are down.
func padding() []any {
	rng := rand.New(rand.NewPCG(3, 43))
	long := strings.Repeat("x", 44)
	size := 0
	var services []any
	for i := 0; size < largeBytes; i++ {
		var reps, classes []any
		for j := range 12 {
			reps = append(reps, shape.Doc{"name": fmt.Sprintf("pad-%d-%d", i, j), "addr": fmt.Sprintf("10.9.%d.%d:9000", i, j), "domain": string(rune('a' + rng.IntN(3)))})
		}
		for j := range 48 {
			classes = append(classes, shape.Doc{"name": fmt.Sprintf("%s-%d", long, j), "firstTokenMs": 1000 + rng.IntN(9000)})
		}
		o := shape.Doc{"name": fmt.Sprintf("pad-%d", i), "model": "m1", "replicas": reps, "kinds": classes}
		raw, err := json.Marshal(o)
		if err != nil {
			panic(err)
		}
		size += len(raw)
		services = append(services, o)
	}
	return services[:len(services)-1]
}
