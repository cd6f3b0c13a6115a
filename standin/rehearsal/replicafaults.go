package rehearsal

import "math/rand/v2"

// FaultRates are how often a replica does something wrong with a stream, each between 0 and 1; their sum is at most 1.
type FaultRates struct {
	// Reject: 503, not run. Reset: a reset before the head.
	Reject, Reset float64
	// TruncateFIN and TruncateReset end the connection after any byte of the answer. TruncateFramed ends the answer with proper framing inside an event.
	TruncateFIN, TruncateReset, TruncateFramed float64
	// Duplicate: the answer comes twice on its connection.
	Duplicate float64
}

// DefaultFaultRates spoil somewhat less than half of the answers.
func DefaultFaultRates() FaultRates {
	return FaultRates{Reject: 0.06, Reset: 0.04, TruncateFIN: 0.1, TruncateReset: 0.1, TruncateFramed: 0.08, Duplicate: 0.04}
}

// fault is what happens to one answer.
type fault uint8

const (
	sound fault = iota
	refuse
	vanish
	cutFIN
	cutReset
	cutFramed
	surplus
)

func (f FaultRates) draw(rng *rand.Rand) fault {
	left := rng.Float64()
	for _, one := range []struct {
		odds float64
		kind fault
	}{{f.Reject, refuse}, {f.Reset, vanish}, {f.TruncateFIN, cutFIN}, {f.TruncateReset, cutReset}, {f.TruncateFramed, cutFramed}, {f.Duplicate, surplus}} {
		if left -= one.odds; left < 0 {
			return one.kind
		}
	}
	return sound
}
