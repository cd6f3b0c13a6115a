// Package workload draws the requests of simulated clients. A Source is owned by one goroutine.
package workload

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// ClassLoad is a kind of request of a service.
type ClassLoad struct {
	Service, Name string
	Repeatable    bool
}

// Load describes random requests: Rate a second over all kinds, begun by one of Prefixes prefixes a kind, and a HotRatio
// (0 to 1) of them all of the first kind with its first prefix.
type Load struct {
	Classes          []ClassLoad
	Rate             float64
	PrefixesPerClass int
	HotRatio         float64
	Bursts           []Burst
}

// Burst multiplies the rate for a while.
type Burst struct {
	From, Until time.Duration
	Factor      float64
}

// Request is one request: when it comes, its prefix as a header, and the tokens that follow the prefix.
type Request struct {
	At         time.Duration
	ID         string
	Class      ClassLoad
	Prefix     string
	TailTokens int
}

type prefix struct {
	header string
}

// Source draws the requests of a Load in order of time.
type Source struct {
	load     Load
	rng      *rand.Rand
	prefixes [][]prefix
	next     time.Duration
	n        int
	tag      string
}

// NewSource makes a source; its request names begin with tag.
func NewSource(l Load, seed uint64, tag string) *Source {
	s := &Source{load: l, rng: rand.New(rand.NewPCG(seed, 17)), tag: tag}
	shape := rand.New(rand.NewPCG(1, 19))
	for _, k := range l.Classes {
		var ps []prefix
		for i := range max(l.PrefixesPerClass, 1) {
			parts := []string{fmt.Sprintf("%s.sys/%d", k.Name, 256)}
			for j := range 1 + shape.IntN(3) {
				parts = append(parts, fmt.Sprintf("%s.%d.%d/%d", k.Name, i, j, 256<<shape.IntN(3)))
			}
			ps = append(ps, prefix{header: strings.Join(parts, ",")})
		}
		s.prefixes = append(s.prefixes, ps)
	}
	return s
}

func (s *Source) rate(at time.Duration) float64 {
	r := s.load.Rate
	for _, c := range s.load.Bursts {
		if at >= c.From && at < c.Until {
			r *= c.Factor
		}
	}
	return r
}

// Next is the next request; its time counts from the start of the load.
func (s *Source) Next() Request {
	s.next += time.Duration(s.rng.ExpFloat64() / s.rate(s.next) * float64(time.Second))
	k := s.rng.IntN(len(s.load.Classes))
	pool := s.prefixes[k]
	i := int(float64(len(pool)) * s.rng.Float64() * s.rng.Float64())
	if s.rng.Float64() < s.load.HotRatio {
		k, i = 0, 0
		pool = s.prefixes[0]
	}
	s.n++
	return Request{
		At: s.next, ID: fmt.Sprintf("%s-%d", s.tag, s.n), Class: s.load.Classes[k], Prefix: pool[i].header,
		TailTokens: 32 + s.rng.IntN(160),
	}
}
