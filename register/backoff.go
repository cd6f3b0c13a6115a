package register

import (
	"slices"
	"time"
)

const (
	// firstTrip is taken for the time from a request to a majority's answers until one was measured; leastTrip and mostTrip bound it.
	firstTrip = 10 * time.Millisecond
	leastTrip = time.Millisecond
	mostTrip  = 100 * time.Millisecond
	// tripWeight is the weight of the past against one measurement.
	tripWeight = 3
	// mostPause bounds the random part of a pause, in trips.
	mostPause = 8
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

// measure notes how long a majority took to answer.
func (p *Proposer) measure(now time.Duration) {
	trip := (tripWeight*p.trip + now - p.askedAt) / (tripWeight + 1)
	p.trip = min(max(trip, leastTrip), mostTrip)
}

// outbid goes on after a refused prepare, the first time at once: a proposer that was idle mostly lost because its ballot was old, and
// after a pause the one that it was told of would be old again.
func (p *Proposer) outbid(now time.Duration) {
	if p.tries > 0 {
		p.retry(now)
		return
	}
	p.tries++
	p.phase, p.until = waiting, now
}

// retry pauses before another round after a lost one.
func (p *Proposer) retry(now time.Duration) {
	p.tries++
	p.phase, p.until = waiting, now+p.pause()
}

// pause leaves whoever won about the one more trip that it needs, and then parts the losers by a random time. It grows to a few trips
// only: an order that has lost often must not wait longer than those that come after it.
func (p *Proposer) pause() time.Duration {
	if p.urgent() {
		return p.urgentPause()
	}
	return p.trip + p.random(p.trip*time.Duration(min(1<<min(p.tries, mostPause), mostPause)))
}

// urgentPause is none every other time; the random one between parts two urgent operations.
func (p *Proposer) urgentPause() time.Duration {
	if p.tries%2 == 1 {
		return 0
	}
	return p.random(p.trip)
}

// urgent says that the operation must not starve behind operators' orders: changes of voters, and reads that repair.
func (p *Proposer) urgent() bool {
	return p.cur.urgent || (p.cur.change == nil && p.cur.full)
}

func (p *Proposer) random(most time.Duration) time.Duration {
	return time.Duration(p.rng.Int64N(int64(most)))
}
