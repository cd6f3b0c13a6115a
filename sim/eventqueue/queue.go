// Package eventqueue is the simulated clock: it runs functions at moments of virtual time, in the order of their times and, at one moment,
// in the order in which they were added. A Queue is owned by one goroutine.
package eventqueue

import (
	"container/heap"
	"time"
)

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// Queue holds what is to happen. The zero Queue stands at time 0.
type Queue struct {
	// Now is the present moment; it moves only while Run runs.
	Now time.Duration
	seq uint64
	q   events
}

// At has do called at t, or now where that is past.
func (q *Queue) At(t time.Duration, do func()) {
	q.seq++
	heap.Push(&q.q, event{at: max(t, q.Now), seq: q.seq, do: do})
}

// After has do called in a time from now.
func (q *Queue) After(d time.Duration, do func()) { q.At(q.Now+d, do) }

// Run runs what is due until that moment.
func (q *Queue) Run(until time.Duration) {
	for len(q.q) > 0 && q.q[0].at <= until {
		e := heap.Pop(&q.q).(event)
		q.Now = e.at
		e.do()
	}
	q.Now = until
}
