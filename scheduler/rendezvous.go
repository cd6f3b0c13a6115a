package scheduler

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// RendezvousWeight returns a node's weight for a key in rendezvous hashing: the node with the highest weight owns the
// key. All builds must compute the same weights.
func RendezvousWeight(key, node string) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(key)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(node)
	return h.Sum64()
}

// SortByWeight returns the nodes sorted by their weight for a key, highest first, with ties broken by name.
func SortByWeight(key string, nodes []string) []string {
	sorted := append([]string(nil), nodes...)
	weights := make(map[string]uint64, len(nodes))
	for _, n := range nodes {
		weights[n] = RendezvousWeight(key, n)
	}
	sort.Slice(sorted, func(i, j int) bool {
		a, b := weights[sorted[i]], weights[sorted[j]]
		if a != b {
			return a > b
		}
		return sorted[i] < sorted[j]
	})
	return sorted
}

// EvenShare returns a router's share of an integer total, which all routers compute without communication. The remainder
// goes, 1 each, to the routers with the highest weights for the key. The share is 0 for a router that is not in the
// list.
func EvenShare(key string, total int, routers []string, self string) int {
	if len(routers) == 0 {
		return 0
	}
	included, higher := false, 0
	ownWeight := RendezvousWeight(key, self)
	for _, r := range routers {
		if r == self {
			included = true
			continue
		}
		w := RendezvousWeight(key, r)
		if w > ownWeight || (w == ownWeight && r < self) {
			higher++
		}
	}
	if !included {
		return 0
	}
	share := total / len(routers)
	if higher < total%len(routers) {
		share++
	}
	return share
}
