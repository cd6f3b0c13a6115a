package capacity

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// quantile returns the q-quantile of durations, or 0 without any.
func quantile(ts []time.Duration, q float64) time.Duration {
	if len(ts) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(ts))
	return s[min(int(q*float64(len(s))), len(s)-1)]
}

// Summary describes the health and the speed of the fleet during the run in one line.
func (r *Result) Summary() string {
	line := fmt.Sprintf("%d of %d nodes serve, %d replicas, %.0f requests/s, configuration of %d bytes", r.Ready, r.Plan.Nodes, r.Plan.Replicas, r.Plan.Rate, r.ConfigBytes)
	for _, outcome := range slices.Sorted(maps.Keys(r.Outcomes)) {
		line += fmt.Sprintf(", %s %d", outcome, r.Outcomes[outcome])
	}
	line += fmt.Sprintf("; first token p50 %d ms p95 %d ms", quantile(r.FirstTokenTimes, 0.5).Milliseconds(), quantile(r.FirstTokenTimes, 0.95).Milliseconds())
	if len(r.ApplyTimes) > 0 {
		line += fmt.Sprintf("; %d changes in force everywhere after p50 %d ms, last %d ms", len(r.ApplyTimes), quantile(r.ApplyTimes, 0.5).Milliseconds(), quantile(r.ApplyTimes, 1).Milliseconds())
	}
	return line
}
