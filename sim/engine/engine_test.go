package engine

import (
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/prefixindex"
	"github.com/mallowbridge/mallowbridge/sim/eventqueue"
)

type timed struct {
	begun, first, last time.Duration
	events             int
}

func newTestEngine(s Spec) (*eventqueue.Queue, *Engine) {
	q := &eventqueue.Queue{}
	return q, New(q, s)
}

func (x *timed) job(q *eventqueue.Queue, header string, prompt, out, rank int) *Job {
	parts, _ := prefixindex.Parse("m1", header)
	return &Job{
		Blocks: parts, PromptTokens: prompt, OutputTokens: out, Priority: rank, OnStart: func() { x.begun = q.Now }, OnExpired: func() {},
		OnEvent: func(_ int, last bool) {
			if x.events++; x.events == 1 {
				x.first = q.Now
			}
			if last {
				x.last = q.Now
			}
		},
	}
}

func spec() Spec {
	return Spec{
		Slots: 128, QueueLimit: 384, SetupTime: 31 * time.Millisecond, StepTime: 3410 * time.Microsecond, StepTimePerSlot: 97 * time.Microsecond, PrefillRate: 112,
		PrefillChunk: 1024, MemoryTokens: 100000, Stride: 6,
	}
}

func TestTokensComeMoreSlowlyInALargerBatch(t *testing.T) {
	spans := map[int]time.Duration{}
	for _, n := range []int{1, 64} {
		q, e := newTestEngine(spec())
		xs := make([]timed, n)
		for i := range xs {
			e.Submit(xs[i].job(q, "", 100, 600, 0))
		}
		q.Run(time.Minute)
		spans[n] = xs[0].last - xs[0].first
	}
	if spans[64] < 2*spans[1] {
		t.Errorf("600 tokens take %s alone and %s among 64", spans[1], spans[64])
	}
}

func TestLongPromptDelaysTokensOfOthers(t *testing.T) {
	q, e := newTestEngine(spec())
	var short, long timed
	e.Submit(short.job(q, "", 100, 60, 0))
	q.Run(100 * time.Millisecond)
	alone := short.first
	e.Submit(long.job(q, "", 50000, 6, 0))
	q.Run(10 * time.Second)
	if short.last-alone < 300*time.Millisecond || long.first < 500*time.Millisecond {
		t.Errorf("short from %s to %s, long from %s", alone, short.last, long.first)
	}
}

func TestCachedPartsAreNotReadUntilEvicted(t *testing.T) {
	q, e := newTestEngine(spec())
	first := func(header string, prompt int) time.Duration {
		var x timed
		from := q.Now
		e.Submit(x.job(q, header, prompt, 1, 0))
		q.Run(q.Now + 10*time.Second)
		return x.first - from
	}
	cold := first("a:30000,b:100", 30200)
	cached := first("a:30000,c:100", 30200)
	other := first("c:30000,a:100", 30200)
	if cached > cold/2 || other < cold*9/10 {
		t.Errorf("first %s, again %s, other order %s", cold, cached, other)
	}
	for _, header := range []string{"x:30000", "y:30000", "z:30000"} {
		first(header, 30200)
	}
	if repeated := first("a:30000,b:100", 30200); repeated < cold*9/10 {
		t.Errorf("after others filled the memory %s, at first %s", repeated, cold)
	}
}

func TestFullMemoryPreemptsLeastUrgent(t *testing.T) {
	s := spec()
	s.MemoryTokens = 1000
	q, e := newTestEngine(s)
	var urgent, patient timed
	e.Submit(urgent.job(q, "", 400, 500, 0))
	e.Submit(patient.job(q, "", 400, 500, 5))
	q.Run(time.Minute)
	if e.Preempted == 0 || urgent.last == 0 || patient.last < urgent.last {
		t.Errorf("preempted %d, urgent ends at %s, patient at %s", e.Preempted, urgent.last, patient.last)
	}
	var huge timed
	if e.Submit(huge.job(q, "", 1200, 1, 0)) {
		t.Error("a prompt larger than the memory was taken")
	}
}

func TestFullQueueRejects(t *testing.T) {
	q, e := newTestEngine(Spec{Slots: 2, QueueLimit: 3})
	taken := 0
	for range 8 {
		var x timed
		j := x.job(q, "", 1, 1, 0)
		j.WorkTime = time.Second
		if e.Submit(j) {
			taken++
		}
		q.Run(q.Now)
	}
	if running, queued, _ := e.Load(); taken != 5 || running != 2 || queued != 3 {
		t.Errorf("%d taken, %d run, %d wait", taken, running, queued)
	}
}
