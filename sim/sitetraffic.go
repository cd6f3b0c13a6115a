package sim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/mallowbridge/mallowbridge/prefixindex"
	"github.com/mallowbridge/mallowbridge/sim/shape"
)

// loadSurge is more traffic, or traffic on one key, for a while.
type loadSurge struct {
	from, until time.Duration
	class       int
	times       float64
	hot         float64
}

type traffic struct {
	s      *site
	rng    *rand.Rand
	surges []loadSurge
	n      int
}

func (s *site) traffic(until time.Duration) {
	t := &s.load
	t.s, t.rng = s, rand.New(rand.NewPCG(s.w.Scenario.Seed, 61))
	for i, c := range s.spec.Classes {
		for _, x := range s.w.Scenario.Load.Bursts {
			t.surges = append(t.surges, loadSurge{from: trafficFrom + x.From, until: trafficFrom + x.Until, class: i, times: x.Factor})
		}
		if c.Streaming {
			t.surges = append(t.surges, loadSurge{until: until, class: i, times: 1, hot: s.w.Scenario.Load.HotRatio})
		}
		s.w.At(trafficFrom, func() { t.next(i, until) })
	}
}

func (t *traffic) rate(class int) (r, hot float64) {
	r = t.s.spec.Classes[class].Rate
	for _, x := range t.surges {
		if x.class == class && t.s.w.Now >= x.from && t.s.w.Now < x.until {
			r, hot = r*x.times, max(hot, x.hot)
		}
	}
	return r, hot
}

func (t *traffic) next(class int, until time.Duration) {
	w := t.s.w
	if w.Now >= until {
		return
	}
	r, hot := t.rate(class)
	w.After(time.Duration(t.rng.ExpFloat64()/r*float64(time.Second)), func() {
		t.want(class, hot).submit()
		t.next(class, until)
	})
}

// spread is a random size around a mean with a long tail.
func (t *traffic) spread(mean int, sigma float64, most int) int {
	return min(max(int(float64(mean)*math.Exp(sigma*t.rng.NormFloat64()-sigma*sigma/2)), 1), most)
}

func (t *traffic) want(class int, hot float64) *clientRequest {
	s := t.s
	c := &s.spec.Classes[class]
	t.n++
	domains := s.spec.Shape.Zones
	q := &clientRequest{
		s: s, id: fmt.Sprintf("q%d", t.n), class: c, path: prefixOf(c.Name) + "x", domain: domains[t.rng.IntN(len(domains))], at: s.w.Now,
		deadline: s.w.Now + c.Deadline, events: 1, prompt: 1, work: time.Duration(t.spread(int(c.WorkTime), 0.5, 7*int(c.WorkTime))),
	}
	if c.Streaming {
		q.events = t.spread(c.Events, 0.44, 3*c.Events)
		q.ask(t, hot)
	}
	s.report.Requested++
	return q
}

func (q *clientRequest) ask(t *traffic, hot float64) {
	c := q.class
	shared := t.rng.IntN(c.SharedPrefixes)
	if t.rng.Float64() < hot {
		shared = 0
	}
	system := shared % c.SystemPrompts
	unique := t.spread(c.UniqueTokens, 1, 8*c.UniqueTokens)
	q.prefix = strings.Join([]string{
		fmt.Sprintf("%s%d:%d", c.Name, system, c.SystemTokens), fmt.Sprintf("%s%d.%d:%d", c.Name, system, shared, c.SharedTokens),
		fmt.Sprintf("%s:%d", q.id, unique),
	}, ",")
	q.parts, _ = prefixindex.Parse(shape.ModelName, q.prefix)
	q.prompt = c.SystemTokens + c.SharedTokens + unique
}
