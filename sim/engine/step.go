package engine

import (
	"slices"
	"time"
)

// step runs one step of the batch: it divides PrefillChunk among the jobs that are still in prefill, and after the step's duration advances
// all jobs.
func (e *Engine) step() {
	budget, prefilled := e.PrefillChunk, 0
	for _, j := range e.running {
		j.prefillNow = min(j.prefillLeft, budget)
		budget -= j.prefillNow
		prefilled += j.prefillNow
	}
	duration := float64(e.StepTime) + float64(len(e.running)-1)*float64(e.StepTimePerSlot) + float64(prefilled)/e.PrefillRate*float64(time.Millisecond)
	batch := slices.Clone(e.running)
	e.clock.After(time.Duration(duration*e.Slowdown()), func() {
		if e.stopped {
			return
		}
		for _, j := range batch {
			e.advance(j)
		}
		e.preempt()
		e.stepping = false
		e.schedule()
	})
}

// advance prefills the job's share of a chunk or generates a token; the last chunk of a prompt also yields the first token.
func (e *Engine) advance(j *Job) {
	if j.finished || j.heldTokens == 0 {
		return
	}
	if j.prefillLeft > 0 {
		j.prefillLeft -= j.prefillNow
		if j.prefillLeft > 0 || j.prefillNow == 0 {
			return
		}
		added := min(e.cache.add(j.Blocks), j.heldTokens-1)
		j.heldTokens -= added
		e.heldTokens -= added
	}
	j.start()
	j.generated++
	j.heldTokens++
	e.heldTokens++
	last := j.generated >= j.OutputTokens
	if last {
		e.removeRunning(j)
		j.finished = true
	}
	if last || j.generated%e.Stride == 0 {
		j.OnEvent((j.generated+e.Stride-1)/e.Stride, last)
	}
}

// preempt returns jobs to the queue while memory is exceeded: the newest of the lowest priority first. Their prompts are prefilled again.
func (e *Engine) preempt() {
	for e.heldTokens > e.MemoryTokens && len(e.running) > 1 {
		preempted := slices.MaxFunc(e.running, func(a, b *Job) int {
			if a.Priority != b.Priority {
				return a.Priority - b.Priority
			}
			return a.seq - b.seq
		})
		e.removeRunning(preempted)
		e.enqueue(preempted)
		e.Preempted++
	}
	e.cache.evict(max(e.MemoryTokens-e.heldTokens, 0))
}
