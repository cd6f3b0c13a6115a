package scheduler

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// RendezvousWeight is a node's weight for a key in rendezvous hashing: the node with the highest weight has the key. All builds agree on it.
func RendezvousWeight(key, node string) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(key)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(node)
	return h.Sum64()
}

// SortByWeight sorts nodes by their weight for a key, highest first, equal ones by name.
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

// EvenShare divides a whole number among routers without any communication: all get the same part, and those with the highest weight
// for the key one more. It is 0 for a router that is not among them.
func EvenShare(key string, total int, routers []string, self string) int {
	if len(routers) == 0 {
		return 0
	}
	present, above := false, 0
	mine := RendezvousWeight(key, self)
	for _, r := range routers {
		if r == self {
			present = true
			continue
		}
		w := RendezvousWeight(key, r)
		if w > mine || (w == mine && r < self) {
			above++
		}
	}
	if !present {
		return 0
	}
	part := total / len(routers)
	if above < total%len(routers) {
		part++
	}
	return part
}
