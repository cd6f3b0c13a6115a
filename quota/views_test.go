package quota_test

import (
	"testing"
	"time"
)

// TestViewsThatDifferForLongDoNotRaiseTheLimit makes nodes disagree about which nodes are alive, some of them for longer
// than the takeover time.
func TestViewsThatDifferForLongDoNotRaiseTheLimit(t *testing.T) {
	const changeInterval = 20 * time.Millisecond
	eachSize(t, func(t *testing.T, f *fleet, rate, mean float64) {
		f.run(0, 12*time.Second, normalLoad*rate, mean)
		for now := 12 * time.Second; now < 40*time.Second; now += changeInterval {
			i := f.rng.IntN(len(f.nodes))
			f.disagree(now, i)
			f.run(now, now+changeInterval, 4*rate, mean)
		}
		wantWithinLimit(t, f.maxWindowUsage(f.limit, 0))
	})
}
