package rehearsal

import "math/rand/v2"

// FaultRates are the probabilities, from 0 to 1, of each fault of a response. Their sum is at most 1.
type FaultRates struct {
	// Reject responds with status 503 and does not run the request. Reset resets the connection before the response head.
	Reject, Reset float64
	// TruncateFIN and TruncateReset close or reset the connection after a random byte of the response. TruncateFramed ends the response inside an
	// event, but with proper framing.
	TruncateFIN, TruncateReset, TruncateFramed float64
	// Duplicate writes the response twice on the connection.
	Duplicate float64
}

// DefaultFaultRates returns rates that add faults to somewhat less than half of the responses.
func DefaultFaultRates() FaultRates {
	return FaultRates{Reject: 0.06, Reset: 0.04, TruncateFIN: 0.1, TruncateReset: 0.1, TruncateFramed: 0.08, Duplicate: 0.04}
}

// responseFault is the fault of one response.
type responseFault uint8

const (
	noFault responseFault = iota
	rejectFault
	resetFault
	truncateFINFault
	truncateResetFault
	truncateFramedFault
	duplicateFault
)

// draw returns a random fault with the probabilities of the rates.
func (f FaultRates) draw(rng *rand.Rand) responseFault {
	left := rng.Float64()
	for _, one := range []struct {
		odds float64
		kind responseFault
	}{{f.Reject, rejectFault}, {f.Reset, resetFault}, {f.TruncateFIN, truncateFINFault}, {f.TruncateReset, truncateResetFault}, {f.TruncateFramed, truncateFramedFault}, {f.Duplicate, duplicateFault}} {
		if left -= one.odds; left < 0 {
			return one.kind
		}
	}
	return noFault
}
