package register

import (
	"slices"
	"time"
)

const (
	// initialRoundTrip is taken for the time from a request to a majority's answers until one was measured; minRoundTrip and maxRoundTrip bound it.
	initialRoundTrip = 10 * time.Millisecond
	minRoundTrip     = time.Millisecond
	maxRoundTrip     = 100 * time.Millisecond
	// roundTripWeight is the weight of the past against one measurement.
	roundTripWeight = 3
	// maxBackoffTrips bounds the random part of a pause, in trips.
	maxBackoffTrips = 8
)

// SubmitUrgent queues a change of voters before all operations that are not urgent. It yields to no rival for longer than a round.
func (p *Proposer) SubmitUrgent(now, deadline time.Duration, id uint64, change Change) {
	at := 0
	for at < len(p.queue) && p.queue[at].urgent {
		at++
	}
	p.queue = slices.Insert(p.queue, at, &operation{id: id, change: unfenced(change), deadline: deadline, urgent: true})
	p.next(now)
}

// measureRoundTrip notes how long a majority took to answer.
func (p *Proposer) measureRoundTrip(now time.Duration) {
	measured := (roundTripWeight*p.roundTrip + now - p.askedAt) / (roundTripWeight + 1)
	p.roundTrip = min(max(measured, minRoundTrip), maxRoundTrip)
}

// preempted goes on after a refused prepare, the first time at once: a proposer that was idle mostly lost because its ballot was old, and
// after a pause the one that it was told of would be old again.
func (p *Proposer) preempted(now time.Duration) {
	if p.tries > 0 {
		p.retry(now)
		return
	}
	p.tries++
	p.phase, p.nextActionAt = backingOff, now
}

// retry pauses before another round after a lost one.
func (p *Proposer) retry(now time.Duration) {
	p.tries++
	p.phase, p.nextActionAt = backingOff, now+p.backoff()
}

// backoff leaves whoever won about the one more trip that it needs, and then parts the losers by a random time. It grows to a few trips
// only: an order that has lost often must not wait longer than those that come after it.
func (p *Proposer) backoff() time.Duration {
	if p.urgent() {
		return p.urgentBackoff()
	}
	return p.roundTrip + p.random(p.roundTrip*time.Duration(min(1<<min(p.tries, maxBackoffTrips), maxBackoffTrips)))
}

// urgentBackoff is none every other time; the random one between parts two urgent operations.
func (p *Proposer) urgentBackoff() time.Duration {
	if p.tries%2 == 1 {
		return 0
	}
	return p.random(p.roundTrip)
}

// urgent says that the operation must not starve behind operators' orders: changes of voters, and reads that repair.
func (p *Proposer) urgent() bool {
	return p.current.urgent || (p.current.change == nil && p.current.full)
}

func (p *Proposer) random(most time.Duration) time.Duration {
	return time.Duration(p.rng.Int64N(int64(most)))
}
