// Package engine models a batching replica of the users' platform: prompts are read in chunks between the tokens of others, running
// requests and cached parts share its memory, and the least urgent are preempted. An Engine is owned by one goroutine.
package engine

import (
	"slices"
	"sort"
	"time"

	"github.com/mallowbridge/mallowbridge/prefixindex"
	"github.com/mallowbridge/mallowbridge/sim/eventqueue"
)

// Spec describes a replica that runs its requests in one batch. Without Step it generates nothing, and each request takes its
// own time of work.
type Spec struct {
	Slots      int
	QueueLimit int
	// SetupTime passes before a request joins the queue.
	SetupTime time.Duration
	// StepTime is how long one token of all takes, StepTimePerSlot what each further request of the batch adds.
	StepTime, StepTimePerSlot time.Duration
	// PrefillRate is how many tokens of prompts are read in a millisecond, Chunk the most that are read within one step.
	PrefillRate  float64
	PrefillChunk int
	// MemoryTokens is shared by running requests and kept parts, in tokens.
	MemoryTokens int
	// Stride is how many tokens an event holds.
	Stride int
}

// Engine runs the requests of one replica as an Spec says. Prompted and Cached count tokens of prompts and those found in the cache.
type Engine struct {
	Spec
	q *eventqueue.Queue
	// Slowdown multiplies the time that everything takes.
	Slowdown   func() float64
	cache      prefixCache
	queued     []*Job
	running    []*Job
	arriving   int
	heldTokens int
	LastSeq    int
	stepping   bool
	dead       bool

	Admitted, Rejected, Preempted uint64
	PromptTokens, CachedTokens    uint64
}

// New makes an engine that lives by the clock of the queue.
func New(q *eventqueue.Queue, s Spec) *Engine {
	return &Engine{Spec: s, q: q, Slowdown: func() float64 { return 1 }, cache: newPrefixCache()}
}

// Load is what a replica tells of itself in answers.
func (e *Engine) Load() (running, queued, slots int) {
	return len(e.running), len(e.queued) + e.arriving, e.Slots
}

// Submit lets a job in, or turns it away when the queue is full or it is larger than the memory.
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
	e.q.After(e.SetupTime, func() {
		e.arriving--
		if j.abandoned || e.dead {
			return
		}
		e.join(j)
		e.kick()
	})
	return true
}

func (e *Engine) join(j *Job) {
	at := sort.Search(len(e.queued), func(i int) bool {
		o := e.queued[i]
		return o.Priority > j.Priority || (o.Priority == j.Priority && o.seq > j.seq)
	})
	e.queued = slices.Insert(e.queued, at, j)
}

// Cancel forgets a job whose connection closed.
func (e *Engine) Cancel(j *Job) {
	if j.abandoned {
		return
	}
	j.abandoned = true
	e.queued = slices.DeleteFunc(e.queued, func(o *Job) bool { return o == j })
	e.leave(j)
	e.kick()
}

func (e *Engine) leave(j *Job) {
	n := len(e.running)
	e.running = slices.DeleteFunc(e.running, func(o *Job) bool { return o == j })
	if len(e.running) < n {
		e.heldTokens -= j.heldTokens
		j.heldTokens = 0
	}
}

// Stop ends the engine; its requests get no more events.
func (e *Engine) Stop() { e.dead = true }

func (e *Engine) kick() {
	if e.dead {
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
		if j.StartBy > 0 && e.q.Now >= j.StartBy && !j.started {
			e.queued = e.queued[1:]
			j.abandoned = true
			j.OnExpired()
			continue
		}
		if !e.fits(j) {
			return
		}
		e.queued = e.queued[1:]
		e.running = append(e.running, j)
		if e.StepTime == 0 {
			e.labour(j)
			continue
		}
		cached := min(e.cache.hit(j.Blocks), j.PromptTokens-1)
		e.cache.touch(j.Blocks)
		if !j.joined {
			j.joined, j.cached = true, cached
			e.PromptTokens, e.CachedTokens = e.PromptTokens+uint64(prefixindex.Tokens(j.Blocks)), e.CachedTokens+uint64(cached)
		}
		j.unread = j.PromptTokens - cached + j.made
		j.heldTokens = j.unread
		e.heldTokens += j.heldTokens
		e.cache.evict(max(e.MemoryTokens-e.heldTokens, 0))
	}
}

// fits leaves room for what the batch goes on to make.
func (e *Engine) fits(j *Job) bool {
	return e.MemoryTokens == 0 || len(e.running) == 0 || e.heldTokens+j.PromptTokens+j.made <= e.MemoryTokens-e.MemoryTokens/64
}

func (e *Engine) labour(j *Job) {
	j.start()
	e.q.After(time.Duration(float64(j.WorkTime)*e.Slowdown()), func() {
		if j.abandoned || e.dead {
			return
		}
		e.leave(j)
		j.abandoned = true
		j.OnEvent(1, true)
		e.kick()
	})
}

func (e *Engine) step() {
	left, read := e.PrefillChunk, 0
	for _, j := range e.running {
		j.reading = min(j.unread, left)
		left -= j.reading
		read += j.reading
	}
	d := float64(e.StepTime) + float64(len(e.running)-1)*float64(e.StepTimePerSlot) + float64(read)/e.PrefillRate*float64(time.Millisecond)
	batch := slices.Clone(e.running)
	e.q.After(time.Duration(d*e.Slowdown()), func() {
		if e.dead {
			return
		}
		for _, j := range batch {
			e.advance(j)
		}
		e.preempt()
		e.stepping = false
		e.kick()
	})
}

// advance reads a piece of a prompt, or makes a token; the last piece brings the first token.
func (e *Engine) advance(j *Job) {
	if j.abandoned || j.heldTokens == 0 {
		return
	}
	if j.unread > 0 {
		j.unread -= j.reading
		if j.unread > 0 || j.reading == 0 {
			return
		}
		added := min(e.cache.keep(j.Blocks), j.heldTokens-1)
		j.heldTokens -= added
		e.heldTokens -= added
	}
	j.start()
	j.made++
	j.heldTokens++
	e.heldTokens++
	last := j.made >= j.OutputTokens
	if last {
		e.leave(j)
		j.abandoned = true
	}
	if last || j.made%e.Stride == 0 {
		j.OnEvent((j.made+e.Stride-1)/e.Stride, last)
	}
}

// preempt puts the newest of the least urgent back when memory has run out, to be read anew.
func (e *Engine) preempt() {
	for e.heldTokens > e.MemoryTokens && len(e.running) > 1 {
		worst := slices.MaxFunc(e.running, func(a, b *Job) int {
			if a.Priority != b.Priority {
				return a.Priority - b.Priority
			}
			return a.seq - b.seq
		})
		e.leave(worst)
		e.join(worst)
		e.Preempted++
	}
	e.cache.evict(max(e.MemoryTokens-e.heldTokens, 0))
}
