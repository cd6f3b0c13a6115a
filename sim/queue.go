package sim

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

type queue struct {
	now time.Duration
	seq uint64
	q   events
}

func (q *queue) at(t time.Duration, do func()) {
	q.seq++
	heap.Push(&q.q, event{at: max(t, q.now), seq: q.seq, do: do})
}

func (q *queue) after(d time.Duration, do func()) { q.at(q.now+d, do) }

func (q *queue) run(until time.Duration) {
	for len(q.q) > 0 && q.q[0].at <= until {
		e := heap.Pop(&q.q).(event)
		q.now = e.at
		e.do()
	}
	q.now = until
}
