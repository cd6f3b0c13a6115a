package scheduler

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

func Rank(key, node string) (weight uint64) {
	h := xxhash.New()
	_, _ = h.WriteString(key)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(node)
	return h.Sum64()
}

func Nearest(key string, nodes []string) (sorted []string) {
	sorted = append([]string(nil), nodes...)
	weights := make(map[string]uint64, len(nodes))
	for _, n := range nodes {
		weights[n] = Rank(key, n)
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

func Share(key string, total int, routers []string, self string) (part int) {
	if len(routers) == 0 {
		return 0
	}
	present, above := false, 0
	mine := Rank(key, self)
	for _, r := range routers {
		if r == self {
			present = true
			continue
		}
		w := Rank(key, r)
		if w > mine || (w == mine && r < self) {
			above++
		}
	}
	if !present {
		return 0
	}
	part = total / len(routers)
	if above < total%len(routers) {
		part++
	}
	return part
}

type purse struct {
	share, cap, now float64
}

func (p *purse) limit(share, most float64) {
	p.share, p.cap = share, most
	p.now = min(p.now, p.cap)
}

func (p *purse) earn() { p.now = min(p.now+p.share, p.cap) }

func (p *purse) refund() { p.now = min(p.now+1, p.cap) }

func (p *purse) spend() (ok bool) {
	if p.now < 1 {
		return false
	}
	p.now--
	return true
}
