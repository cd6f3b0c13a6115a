package quota

import "time"

const (
	// leastTimeout is the least time that an owner has to answer before the next one is asked; after GrantLife an answer is of no use.
	leastTimeout = 200 * time.Millisecond
	// meanWeight, deviationWeight and deviations are those of TCP's retransmission time-out (RFC 6298).
	meanWeight      = 8
	deviationWeight = 4
	deviations      = 4
)

// roundTrip is how long an owner takes to answer: a moving mean, and a mean of the deviations from it.
type roundTrip struct{ mean, deviation time.Duration }

// timeout is how long an owner may take to answer before the next one is asked.
func (t *roundTrip) timeout() time.Duration {
	return min(max(t.mean+deviations*t.deviation, leastTimeout), GrantLifetime)
}

func (t *roundTrip) measured(elapsed time.Duration) {
	if t.mean == 0 {
		t.mean, t.deviation = elapsed, elapsed/2
		return
	}
	difference := elapsed - t.mean
	t.mean += difference / meanWeight
	t.deviation += (max(difference, -difference) - t.deviation) / deviationWeight
}

func (r *Requester) roundTripOf(owner string) *roundTrip {
	if r.roundTrips[owner] == nil {
		r.roundTrips[owner] = &roundTrip{}
	}
	return r.roundTrips[owner]
}
