package prefixindex

import (
	"slices"
	"time"
)

// ttl follows the measured time from a prediction to its confirmation.
type ttl struct {
	cfg        Config
	now        time.Duration
	cap        time.Duration
	ring       []time.Duration
	next       int
	newSamples int
	checked    time.Duration
}

func newTTL(cfg Config) ttl {
	return ttl{cfg: cfg, now: min(cfg.InitialTTL, cfg.MaxTTL), cap: cfg.MaxTTL}
}

func (t *ttl) setCap(stale time.Duration) {
	t.cap = min(stale, t.cfg.MaxTTL)
	t.now = min(t.now, t.cap)
}

func (t *ttl) sample(latency time.Duration) {
	t.newSamples++
	if len(t.ring) < t.cfg.Window {
		t.ring = append(t.ring, latency)
		return
	}
	t.ring[t.next] = latency
	t.next = (t.next + 1) % t.cfg.Window
}

func (t *ttl) adjust(now time.Duration) {
	if now-t.checked < time.Second {
		return
	}
	t.checked = now
	if len(t.ring) < t.cfg.MinSamples || t.newSamples == 0 {
		return
	}
	t.newSamples = 0
	target := min(max(t.percentile()+t.cfg.TTLMargin, t.cfg.MinTTL), t.cap)
	most := time.Duration(float64(t.now) * t.cfg.MaxTTLStep)
	t.now += min(max(target-t.now, -most), most)
	t.now = min(t.now, t.cap)
}

func (t *ttl) percentile() time.Duration {
	sorted := slices.Clone(t.ring)
	slices.Sort(sorted)
	return sorted[min(int(float64(len(sorted))*t.cfg.Percentile), len(sorted)-1)]
}
