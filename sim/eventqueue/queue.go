// Package eventqueue is the simulated clock: a Queue runs functions at given virtual times, in the order of these times and, for equal times,
// in the order in which they were added. At and After add functions, Run advances the time. A Queue is owned by one goroutine.
package eventqueue

import (
	"container/heap"
	"time"
)

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type eventHeap []event

func (q eventHeap) Len() int { return len(q) }
func (q eventHeap) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q eventHeap) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventHeap) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventHeap) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// Queue is a queue of functions to be called. The zero Queue is ready to use and starts at time 0.
type Queue struct {
	// Now is the current virtual time; only Run advances it.
	Now    time.Duration
	seq    uint64
	events eventHeap
}

// At schedules do for time t, or for Now if t is past.
func (q *Queue) At(t time.Duration, do func()) {
	q.seq++
	heap.Push(&q.events, event{at: max(t, q.Now), seq: q.seq, run: do})
}

// After schedules do for d after Now.
func (q *Queue) After(d time.Duration, do func()) { q.At(q.Now+d, do) }

// Run calls the functions that are due up to and including until, and leaves Now at until.
func (q *Queue) Run(until time.Duration) {
	for len(q.events) > 0 && q.events[0].at <= until {
		e := heap.Pop(&q.events).(event)
		q.Now = e.at
		e.run()
	}
	q.Now = until
}
