// Package engine models a language model replica with continuous batching, as the users' platform runs them: prompts are prefilled in chunks
// between the decode steps of other requests, running requests and cached prefix blocks share the KV cache memory, and requests of the lowest
// priority are preempted when memory runs out. New makes an Engine from a Spec, and Submit submits a Job to it. An Engine runs on the virtual time
// of an eventqueue.Queue and is owned by one goroutine.
package engine

import (
	"slices"
	"sort"
	"time"

	"github.com/mallowbridge/mallowbridge/prefixindex"
	"github.com/mallowbridge/mallowbridge/sim/eventqueue"
)

// Spec describes a replica that runs its requests in one batch. If StepTime is 0, the replica generates no tokens and each request takes its
// own Job.WorkTime.
type Spec struct {
	// Slots is how many requests run at once, QueueLimit how many more may wait.
	Slots      int
	QueueLimit int
	// SetupTime passes between the submission of a request and its entry into the queue.
	SetupTime time.Duration
	// StepTime is how long one decode step (one token for each running request) takes with one request in the batch; each further request
	// adds StepTimePerSlot.
	StepTime, StepTimePerSlot time.Duration
	// PrefillRate is how many prompt tokens are prefilled in a millisecond, PrefillChunk the most that are prefilled within one step.
	PrefillRate  float64
	PrefillChunk int
	// MemoryTokens is the KV cache memory that running requests and cached prefix blocks share, in tokens. 0 means no limit
	// for a replica without StepTime.
	MemoryTokens int
	// Stride is how many tokens one event of the response stream contains.
	Stride int
}

// Engine simulates one replica with a Spec.
type Engine struct {
	Spec
	clock *eventqueue.Queue
	// Slowdown returns the factor by which every simulated duration is multiplied.
	Slowdown func() float64
	cache    prefixCache
	queued   []*Job
	running  []*Job
	// arriving counts submitted jobs that are still in their SetupTime.
	arriving int
	// heldTokens is the KV cache memory of the running jobs, without cached prefix blocks.
	heldTokens int
	// LastSeq is the number of the newest admitted job.
	LastSeq  int
	stepping bool
	stopped  bool

	// Admitted and Rejected count the results of Submit, Preempted the times that a running job was returned to the queue.
	Admitted, Rejected, Preempted uint64
	// PromptTokens counts the tokens of the prefix blocks of started jobs, CachedTokens those found in the prefix cache.
	PromptTokens, CachedTokens uint64
}

// New returns an engine that runs on the virtual time of q.
func New(q *eventqueue.Queue, s Spec) *Engine {
	return &Engine{Spec: s, clock: q, Slowdown: func() float64 { return 1 }, cache: newPrefixCache()}
}

// Load returns the numbers that a replica reports in its responses; queued includes jobs that are in their SetupTime.
func (e *Engine) Load() (running, queued, slots int) {
	return len(e.running), len(e.queued) + e.arriving, e.Slots
}

// Submit admits a job, or returns false when the queue is full or the job needs more than MemoryTokens.
func (e *Engine) Submit(j *Job) bool {
	full := len(e.running) >= e.Slots || len(e.queued)+e.arriving > 0
	if (full && len(e.queued)+e.arriving >= e.QueueLimit) || (e.MemoryTokens > 0 && j.PromptTokens+j.OutputTokens > e.MemoryTokens) {
		e.Rejected++
		return false
	}
	e.Admitted++
	e.LastSeq++
	j.seq = e.LastSeq
	e.arriving++
	e.clock.After(e.SetupTime, func() {
		e.arriving--
		if j.finished || e.stopped {
			return
		}
		e.enqueue(j)
		e.schedule()
	})
	return true
}

// enqueue inserts a job into the queue, which is ordered by priority and then by the order of admission.
func (e *Engine) enqueue(j *Job) {
	at := sort.Search(len(e.queued), func(i int) bool {
		o := e.queued[i]
		return o.Priority > j.Priority || (o.Priority == j.Priority && o.seq > j.seq)
	})
	e.queued = slices.Insert(e.queued, at, j)
}

// Cancel removes a job whose connection was closed.
func (e *Engine) Cancel(j *Job) {
	if j.finished {
		return
	}
	j.finished = true
	e.queued = slices.DeleteFunc(e.queued, func(o *Job) bool { return o == j })
	e.removeRunning(j)
	e.schedule()
}

func (e *Engine) removeRunning(j *Job) {
	n := len(e.running)
	e.running = slices.DeleteFunc(e.running, func(o *Job) bool { return o == j })
	if len(e.running) < n {
		e.heldTokens -= j.heldTokens
		j.heldTokens = 0
	}
}

// Stop ends the engine; its jobs get no more events.
func (e *Engine) Stop() { e.stopped = true }

// schedule starts queued jobs, and the next step if none is running.
func (e *Engine) schedule() {
	if e.stopped {
		return
	}
	e.admit()
	if e.StepTime > 0 && !e.stepping && len(e.running) > 0 {
		e.stepping = true
		e.step()
	}
}

func (e *Engine) admit() {
	for len(e.queued) > 0 && len(e.running) < e.Slots {
		j := e.queued[0]
		if j.StartBy > 0 && e.clock.Now >= j.StartBy && !j.started {
			e.queued = e.queued[1:]
			j.finished = true
			j.OnExpired()
			continue
		}
		if !e.fits(j) {
			return
		}
		e.queued = e.queued[1:]
		e.running = append(e.running, j)
		if e.StepTime == 0 {
			e.runPlain(j)
			continue
		}
		cached := min(e.cache.cachedTokens(j.Blocks), j.PromptTokens-1)
		e.cache.touch(j.Blocks)
		if !j.counted {
			j.counted, j.cachedTokens = true, cached
			e.PromptTokens, e.CachedTokens = e.PromptTokens+uint64(prefixindex.Tokens(j.Blocks)), e.CachedTokens+uint64(cached)
		}
		j.prefillLeft = j.PromptTokens - cached + j.generated
		j.heldTokens = j.prefillLeft
		e.heldTokens += j.heldTokens
		e.cache.evict(max(e.MemoryTokens-e.heldTokens, 0))
	}
}

// fits reports whether a job fits into memory with 1/64 of it left for the tokens that the batch still generates. A job always fits into an
// empty batch.
func (e *Engine) fits(j *Job) bool {
	return e.MemoryTokens == 0 || len(e.running) == 0 || e.heldTokens+j.PromptTokens+j.generated <= e.MemoryTokens-e.MemoryTokens/64
}

// runPlain runs a job on a replica that generates no tokens: it takes the job's WorkTime and sends one event.
func (e *Engine) runPlain(j *Job) {
	j.start()
	e.clock.After(time.Duration(float64(j.WorkTime)*e.Slowdown()), func() {
		if j.finished || e.stopped {
			return
		}
		e.removeRunning(j)
		j.finished = true
		j.OnEvent(1, true)
		e.schedule()
	})
}
