package scheduler

import (
	"fmt"
	"testing"

	"github.com/mallowbridge/mallowbridge/prefixindex"
)

func TestAllZonesAgreeOnHomeOfSharedPart(t *testing.T) {
	homes := map[int]int{}
	for local := range 40 {
		seen := map[int]bool{}
		for _, near := range []string{"a", "b"} {
			m := New(Defaults("n", near))
			o := m.AddService(Service{Name: "o", Queues: true})
			for i := range 6 {
				m.Services[o].Replicas = append(m.Services[o].Replicas, m.AddReplica(Replica{Name: fmt.Sprint("r", i), Service: o, Listed: true, Up: true, SameZone: (i%2 == 0) == (near == "a")}, 1000))
			}
			parts := []prefixindex.Block{{Key: 7, Tokens: 100}, {Key: prefixindex.Key(1000 + local), Tokens: 10}}
			replica := m.home(&Request{Service: o, PrefixBlocks: parts}, &m.Services[o])
			seen[replica] = true
			homes[replica]++
		}
		if len(seen) != 1 {
			t.Fatalf("own part %d: homes %v", local, seen)
		}
	}
	if len(homes) != 1 {
		t.Errorf("the request's own part moves its home: %v", homes)
	}
}
