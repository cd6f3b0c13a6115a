package scheduler

import (
	"fmt"
	"testing"

	"github.com/mallowbridge/mallowbridge/prefixindex"
)

func TestAllZonesAgreeOnHomeOfSharedBlock(t *testing.T) {
	homes := map[int]int{}
	for local := range 40 {
		seen := map[int]bool{}
		for _, zone := range []string{"a", "b"} {
			s := New(Defaults("n", zone))
			service := s.AddService(Service{Name: "o", Queues: true})
			for i := range 6 {
				s.Services[service].Replicas = append(s.Services[service].Replicas, s.AddReplica(Replica{Name: fmt.Sprint("r", i), Service: service, Listed: true, Up: true, SameZone: (i%2 == 0) == (zone == "a")}, 1000))
			}
			blocks := []prefixindex.Block{{Key: 7, Tokens: 100}, {Key: prefixindex.Key(1000 + local), Tokens: 10}}
			replica := s.home(&Request{Service: service, PrefixBlocks: blocks}, &s.Services[service])
			seen[replica] = true
			homes[replica]++
		}
		if len(seen) != 1 {
			t.Fatalf("last block %d: the zones have different homes: %v", local, seen)
		}
	}
	if len(homes) != 1 {
		t.Errorf("the home depends on the request's own last block: %v", homes)
	}
}
