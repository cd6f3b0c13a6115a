package quota

import "time"

const (
	// minTimeout is the minimum time that an owner has to respond before the next one is asked. The maximum is
	// GrantLifetime, after which a response is useless.
	minTimeout = 200 * time.Millisecond
	// meanWeight, deviationWeight and deviationFactor are the constants of TCP's retransmission timeout (RFC 6298).
	meanWeight      = 8
	deviationWeight = 4
	deviationFactor = 4
)

// roundTrip is the moving mean of an owner's response times and the mean deviation from it.
type roundTrip struct{ mean, deviation time.Duration }

// timeout returns how long an owner may take to respond before the next one is asked.
func (t *roundTrip) timeout() time.Duration {
	return min(max(t.mean+deviationFactor*t.deviation, minTimeout), GrantLifetime)
}

func (t *roundTrip) observe(elapsed time.Duration) {
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
