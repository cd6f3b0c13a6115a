package engine

import (
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/prefixindex"
	"github.com/mallowbridge/mallowbridge/sim/eventqueue"
)

// jobTimes records when a job started and when its first and last event came.
type jobTimes struct {
	started, first, last time.Duration
	events               int
}

func newTestEngine(s Spec) (*eventqueue.Queue, *Engine) {
	q := &eventqueue.Queue{}
	return q, New(q, s)
}

func (x *jobTimes) job(q *eventqueue.Queue, header string, prompt, out, priority int) *Job {
	blocks, _ := prefixindex.Parse("m1", header)
	return &Job{
		Blocks: blocks, PromptTokens: prompt, OutputTokens: out, Priority: priority, OnStart: func() { x.started = q.Now }, OnExpired: func() {},
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

func testSpec() Spec {
	return Spec{
		Slots: 128, QueueLimit: 384, SetupTime: 31 * time.Millisecond, StepTime: 3410 * time.Microsecond, StepTimePerSlot: 97 * time.Microsecond, PrefillRate: 112,
		PrefillChunk: 1024, MemoryTokens: 100000, Stride: 6,
	}
}

func TestTokensComeMoreSlowlyInALargerBatch(t *testing.T) {
	spans := map[int]time.Duration{}
	for _, n := range []int{1, 64} {
		q, e := newTestEngine(testSpec())
		xs := make([]jobTimes, n)
		for i := range xs {
			e.Submit(xs[i].job(q, "", 100, 600, 0))
		}
		q.Run(time.Minute)
		spans[n] = xs[0].last - xs[0].first
	}
	if spans[64] < 2*spans[1] {
		t.Errorf("600 tokens take %s alone and %s in a batch of 64, want at least twice as long", spans[1], spans[64])
	}
}

func TestLongPromptDelaysTokensOfOthers(t *testing.T) {
	q, e := newTestEngine(testSpec())
	var short, long jobTimes
	e.Submit(short.job(q, "", 100, 60, 0))
	q.Run(100 * time.Millisecond)
	alone := short.first
	e.Submit(long.job(q, "", 50000, 6, 0))
	q.Run(10 * time.Second)
	if short.last-alone < 300*time.Millisecond || long.first < 500*time.Millisecond {
		t.Errorf("the short prompt's tokens came from %s to %s, the long prompt's from %s", alone, short.last, long.first)
	}
}

func TestCachedBlocksAreNotPrefilledUntilEvicted(t *testing.T) {
	q, e := newTestEngine(testSpec())
	first := func(header string, prompt int) time.Duration {
		var x jobTimes
		from := q.Now
		e.Submit(x.job(q, header, prompt, 1, 0))
		q.Run(q.Now + 10*time.Second)
		return x.first - from
	}
	cold := first("a:30000,b:100", 30200)
	cached := first("a:30000,c:100", 30200)
	other := first("c:30000,a:100", 30200)
	if cached > cold/2 || other < cold*9/10 {
		t.Errorf("first token after %s uncached, %s cached, %s with the blocks in another order", cold, cached, other)
	}
	for _, header := range []string{"x:30000", "y:30000", "z:30000"} {
		first(header, 30200)
	}
	if again := first("a:30000,b:100", 30200); again < cold*9/10 {
		t.Errorf("first token after %s once other prompts filled the memory, %s uncached", again, cold)
	}
}

func TestFullMemoryPreemptsLeastUrgent(t *testing.T) {
	s := testSpec()
	s.MemoryTokens = 1000
	q, e := newTestEngine(s)
	var urgent, patient jobTimes
	e.Submit(urgent.job(q, "", 400, 500, 0))
	e.Submit(patient.job(q, "", 400, 500, 5))
	q.Run(time.Minute)
	if e.Preempted == 0 || urgent.last == 0 || patient.last < urgent.last {
		t.Errorf("preempted %d jobs, the high priority job ended at %s, the low priority job at %s", e.Preempted, urgent.last, patient.last)
	}
	var huge jobTimes
	if e.Submit(huge.job(q, "", 1200, 1, 0)) {
		t.Error("a prompt larger than the memory was admitted")
	}
}

func TestFullQueueRejects(t *testing.T) {
	q, e := newTestEngine(Spec{Slots: 2, QueueLimit: 3})
	admitted := 0
	for range 8 {
		var x jobTimes
		j := x.job(q, "", 1, 1, 0)
		j.WorkTime = time.Second
		if e.Submit(j) {
			admitted++
		}
		q.Run(q.Now)
	}
	if running, queued, _ := e.Load(); admitted != 5 || running != 2 || queued != 3 {
		t.Errorf("admitted %d, running %d, queued %d, want 5, 2 and 3", admitted, running, queued)
	}
}
