package register

import (
	"slices"
	"time"
)

const (
	// initialRoundTrip is the assumed time from a request to the replies of a majority until a time was measured. Measured averages are kept between
	// minRoundTrip and maxRoundTrip.
	initialRoundTrip = 10 * time.Millisecond
	minRoundTrip     = time.Millisecond
	maxRoundTrip     = 100 * time.Millisecond
	// roundTripWeight is the weight of the previous average relative to a new measurement.
	roundTripWeight = 3
	// maxBackoffRoundTrips is the maximum of the random part of a backoff, in round trips.
	maxBackoffRoundTrips = 8
)

// SubmitUrgent queues a change of voters ahead of all operations that are not urgent. Its backoff is at most one round trip.
func (p *Proposer) SubmitUrgent(now, deadline time.Duration, id uint64, change Change) {
	position := 0
	for position < len(p.queue) && p.queue[position].urgent {
		position++
	}
	p.queue = slices.Insert(p.queue, position, &operation{id: id, change: unguarded(change), deadline: deadline, urgent: true})
	p.startNext(now)
}

// measureRoundTrip adds the time that a majority took to reply to the moving average.
func (p *Proposer) measureRoundTrip(now time.Duration) {
	measured := (roundTripWeight*p.roundTrip + now - p.askedAt) / (roundTripWeight + 1)
	p.roundTrip = min(max(measured, minRoundTrip), maxRoundTrip)
}

// onRejectedPrepare handles a rejected prepare. It retries at once after the first one: a proposer that was idle usually loses because its ballot is old,
// and after a backoff the ballot number that it just learned would be outdated too.
func (p *Proposer) onRejectedPrepare(now time.Duration) {
	if p.lostRounds > 0 {
		p.scheduleRetry(now)
		return
	}
	p.lostRounds++
	p.phase, p.nextActionAt = backingOff, now
}

// scheduleRetry schedules another round, after a backoff.
func (p *Proposer) scheduleRetry(now time.Duration) {
	p.lostRounds++
	p.phase, p.nextActionAt = backingOff, now+p.backoffDelay()
}

// backoffDelay returns how long to wait before the next round: one round trip, which the proposer that won needs to finish, plus a random time
// that keeps the other proposers apart. The random part is limited to maxBackoffRoundTrips round trips, so that an operation that has
// lost many rounds doesn't wait longer than those submitted after it.
func (p *Proposer) backoffDelay() time.Duration {
	if p.urgent() {
		return p.urgentBackoff()
	}
	return p.roundTrip + p.random(p.roundTrip*time.Duration(min(1<<min(p.lostRounds, maxBackoffRoundTrips), maxBackoffRoundTrips)))
}

// urgentBackoff is 0 after every other lost round. After the others it is a random part of a round trip, which keeps two urgent operations
// apart.
func (p *Proposer) urgentBackoff() time.Duration {
	if p.lostRounds%2 == 1 {
		return 0
	}
	return p.random(p.roundTrip)
}

// urgent reports whether the current operation must not be starved by operator requests. Changes of voters are urgent, and so are full reads,
// which repair voters that lag.
func (p *Proposer) urgent() bool {
	return p.current.urgent || (p.current.change == nil && p.current.full)
}

func (p *Proposer) random(limit time.Duration) time.Duration {
	return time.Duration(p.rng.Int64N(int64(limit)))
}
