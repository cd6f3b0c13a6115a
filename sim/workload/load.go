// Package workload generates the random requests of simulated clients: NewSource makes a Source from a Load, and its Next returns one Request
// after the other. A Source is owned by one goroutine.
package workload

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// ClassLoad names a request class of a service; Repeatable means idempotent.
type ClassLoad struct {
	Service, Name string
	Repeatable    bool
}

// Load describes random requests: Rate per second over all classes, each starting with one of PrefixesPerClass prefixes of its class. A share
// HotRatio (0 to 1) of them is of the first class with its first prefix.
type Load struct {
	Classes          []ClassLoad
	Rate             float64
	PrefixesPerClass int
	HotRatio         float64
	Bursts           []Burst
}

// Burst multiplies the rate by Factor between From and Until, which count from the start of the load.
type Burst struct {
	From, Until time.Duration
	Factor      float64
}

// Request is one request: its arrival time counted from the start of the load, its prefix as a header value, and the number of tokens after
// the prefix.
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

// Source generates the requests of a Load in order of arrival.
type Source struct {
	load        Load
	rng         *rand.Rand
	prefixes    [][]prefix
	next        time.Duration
	lastRequest int
	tag         string
}

// NewSource returns a source whose request ids begin with tag.
func NewSource(l Load, seed uint64, tag string) *Source {
	s := &Source{load: l, rng: rand.New(rand.NewPCG(seed, 17)), tag: tag}
	// The prefixes are the same for all seeds.
	prefixRNG := rand.New(rand.NewPCG(1, 19))
	for _, class := range l.Classes {
		var prefixes []prefix
		for i := range max(l.PrefixesPerClass, 1) {
			parts := []string{fmt.Sprintf("%s.sys/%d", class.Name, 256)}
			for j := range 1 + prefixRNG.IntN(3) {
				parts = append(parts, fmt.Sprintf("%s.%d.%d/%d", class.Name, i, j, 256<<prefixRNG.IntN(3)))
			}
			prefixes = append(prefixes, prefix{header: strings.Join(parts, ",")})
		}
		s.prefixes = append(s.prefixes, prefixes)
	}
	return s
}

func (s *Source) rate(at time.Duration) float64 {
	r := s.load.Rate
	for _, burst := range s.load.Bursts {
		if at >= burst.From && at < burst.Until {
			r *= burst.Factor
		}
	}
	return r
}

// Next returns the next request.
func (s *Source) Next() Request {
	s.next += time.Duration(s.rng.ExpFloat64() / s.rate(s.next) * float64(time.Second))
	class := s.rng.IntN(len(s.load.Classes))
	prefixes := s.prefixes[class]
	i := int(float64(len(prefixes)) * s.rng.Float64() * s.rng.Float64())
	if s.rng.Float64() < s.load.HotRatio {
		class, i = 0, 0
		prefixes = s.prefixes[0]
	}
	s.lastRequest++
	return Request{
		At: s.next, ID: fmt.Sprintf("%s-%d", s.tag, s.lastRequest), Class: s.load.Classes[class], Prefix: prefixes[i].header,
		TailTokens: 32 + s.rng.IntN(160),
	}
}
