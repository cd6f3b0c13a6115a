package prefixindex

import (
	"slices"
	"time"
)

// ttl computes the TTL of predictions from the measured times between prediction and confirmation.
type ttl struct {
	cfg Config
	// max is the smaller of Config.MaxTTL and the limit that SetMaxTTL set.
	current time.Duration
	max     time.Duration
	// samples is a ring buffer of the last Config.Window latencies, next the position of the oldest one once it is full.
	samples    []time.Duration
	next       int
	newSamples int
	adjustedAt time.Duration
}

func newTTL(cfg Config) ttl {
	return ttl{cfg: cfg, current: min(cfg.InitialTTL, cfg.MaxTTL), max: cfg.MaxTTL}
}

func (t *ttl) setMax(limit time.Duration) {
	t.max = min(limit, t.cfg.MaxTTL)
	t.current = min(t.current, t.max)
}

func (t *ttl) sample(latency time.Duration) {
	t.newSamples++
	if len(t.samples) < t.cfg.Window {
		t.samples = append(t.samples, latency)
		return
	}
	t.samples[t.next] = latency
	t.next = (t.next + 1) % t.cfg.Window
}

// adjust moves the TTL towards its target, at most once per second and only after new measurements.
func (t *ttl) adjust(now time.Duration) {
	if now-t.adjustedAt < time.Second {
		return
	}
	t.adjustedAt = now
	if len(t.samples) < t.cfg.MinSamples || t.newSamples == 0 {
		return
	}
	t.newSamples = 0
	target := min(max(t.percentile()+t.cfg.TTLMargin, t.cfg.MinTTL), t.max)
	maxStep := time.Duration(float64(t.current) * t.cfg.MaxTTLStep)
	t.current += min(max(target-t.current, -maxStep), maxStep)
	t.current = min(t.current, t.max)
}

func (t *ttl) percentile() time.Duration {
	ordered := slices.Clone(t.samples)
	slices.Sort(ordered)
	return ordered[min(int(float64(len(ordered))*t.cfg.Percentile), len(ordered)-1)]
}
