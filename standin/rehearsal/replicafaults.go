package rehearsal

import "math/rand/v2"

// Faults are how often a replica does something wrong with a stream, each between 0 and 1; their sum is at most 1.
type Faults struct {
	// Refuse: 503, not run. Vanish: a reset before the head.
	Refuse, Vanish float64
	// CutFIN and CutReset end the connection after any byte of the answer. CutFramed ends the answer with proper framing inside an event.
	CutFIN, CutReset, CutFramed float64
	// Surplus: the answer comes twice on its connection.
	Surplus float64
}

// DefaultFaults spoil somewhat less than half of the answers.
func DefaultFaults() Faults {
	return Faults{Refuse: 0.06, Vanish: 0.04, CutFIN: 0.1, CutReset: 0.1, CutFramed: 0.08, Surplus: 0.04}
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

func (f Faults) draw(rng *rand.Rand) fault {
	left := rng.Float64()
	for _, one := range []struct {
		odds float64
		kind fault
	}{{f.Refuse, refuse}, {f.Vanish, vanish}, {f.CutFIN, cutFIN}, {f.CutReset, cutReset}, {f.CutFramed, cutFramed}, {f.Surplus, surplus}} {
		if left -= one.odds; left < 0 {
			return one.kind
		}
	}
	return sound
}
