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

// loadSurge multiplies the rate of a class for a while, and directs the share hotRatio of its requests to one prefix.
type loadSurge struct {
	from, until time.Duration
	classIndex  int
	factor      float64
	hotRatio    float64
}

// trafficGenerator generates the requests of a site's clients.
type trafficGenerator struct {
	s           *site
	rng         *rand.Rand
	surges      []loadSurge
	lastRequest int
}

// startTraffic generates requests of all classes from trafficStart until a time.
func (s *site) startTraffic(until time.Duration) {
	t := &s.generator
	t.s, t.rng = s, rand.New(rand.NewPCG(s.w.Scenario.Seed, 61))
	for i, c := range s.spec.Classes {
		for _, x := range s.w.Scenario.Load.Bursts {
			t.surges = append(t.surges, loadSurge{from: trafficStart + x.From, until: trafficStart + x.Until, classIndex: i, factor: x.Factor})
		}
		if c.Streaming {
			t.surges = append(t.surges, loadSurge{until: until, classIndex: i, factor: 1, hotRatio: s.w.Scenario.Load.HotRatio})
		}
		s.w.At(trafficStart, func() { t.scheduleNext(i, until) })
	}
}

// rate returns the current rate of a class and the share of its requests that has the hot prefix.
func (t *trafficGenerator) rate(class int) (rate, hot float64) {
	rate = t.s.spec.Classes[class].Rate
	for _, surge := range t.surges {
		if surge.classIndex == class && t.s.w.Now >= surge.from && t.s.w.Now < surge.until {
			rate, hot = rate*surge.factor, max(hot, surge.hotRatio)
		}
	}
	return rate, hot
}

func (t *trafficGenerator) scheduleNext(class int, until time.Duration) {
	w := t.s.w
	if w.Now >= until {
		return
	}
	r, hot := t.rate(class)
	w.After(time.Duration(t.rng.ExpFloat64()/r*float64(time.Second)), func() {
		t.newRequest(class, hot).submit()
		t.scheduleNext(class, until)
	})
}

// logNormal returns a random size with a log-normal distribution around a mean, from 1 to most.
func (t *trafficGenerator) logNormal(mean int, sigma float64, most int) int {
	return min(max(int(float64(mean)*math.Exp(sigma*t.rng.NormFloat64()-sigma*sigma/2)), 1), most)
}

func (t *trafficGenerator) newRequest(class int, hot float64) *clientRequest {
	s := t.s
	c := &s.spec.Classes[class]
	t.lastRequest++
	zones := s.spec.Shape.Zones
	q := &clientRequest{
		s: s, id: fmt.Sprintf("q%d", t.lastRequest), class: c, path: prefixOf(c.Name) + "x", zone: zones[t.rng.IntN(len(zones))], arrivedAt: s.w.Now,
		deadline: s.w.Now + c.Deadline, events: 1, promptTokens: 1, workTime: time.Duration(t.logNormal(int(c.WorkTime), 0.5, 7*int(c.WorkTime))),
	}
	if c.Streaming {
		q.events = t.logNormal(c.Events, 0.44, 3*c.Events)
		q.drawPrompt(t, hot)
	}
	s.report.Requested++
	return q
}

// drawPrompt draws the request's prompt.
func (q *clientRequest) drawPrompt(t *trafficGenerator, hot float64) {
	class := q.class
	shared := t.rng.IntN(class.SharedPrefixes)
	if t.rng.Float64() < hot {
		shared = 0
	}
	system := shared % class.SystemPrompts
	unique := t.logNormal(class.UniqueTokens, 1, 8*class.UniqueTokens)
	q.prefix = strings.Join([]string{
		fmt.Sprintf("%s%d:%d", class.Name, system, class.SystemTokens), fmt.Sprintf("%s%d.%d:%d", class.Name, system, shared, class.SharedTokens),
		fmt.Sprintf("%s:%d", q.id, unique),
	}, ",")
	q.blocks, _ = prefixindex.Parse(shape.ModelName, q.prefix)
	q.promptTokens = class.SystemTokens + class.SharedTokens + unique
}
