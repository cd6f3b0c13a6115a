package sim

import (
	"fmt"
	"net/http"
	"time"

	"github.com/mallowbridge/mallowbridge/sim/engine"
)

// truncatedEvent is the corruption of a stream that ends in the middle of an event, with correct HTTP framing.
const truncatedEvent = "inside"

// newJob returns the job of a request. The events that a resumed stream already has count as a longer prompt.
func (i *Instance) newJob(k *socket, r *sentRequest) *engine.Job {
	request := r.client.request
	stride := max(i.service.Stride, 1)
	job := &engine.Job{Blocks: request.blocks, PromptTokens: max(request.promptTokens+r.afterEvent*stride, 1), OutputTokens: max((request.events-r.afterEvent)*stride, 1), WorkTime: request.workTime, Priority: r.priority, StartBy: r.deadline}
	runID := fmt.Sprintf("%s.%d", i.ID, i.engine.LastSeq+1)
	headSent := false
	corruption := ""
	if g := i.corruption; g.oneIn > 0 && i.s.rng.IntN(g.oneIn) == 0 && (g.kind != truncatedEvent || request.class.Streaming) {
		corruption = g.kind
	}
	corruptFrom := 0
	if request.class.Streaming && request.events > 1 {
		corruptFrom = 1 + i.s.rng.IntN(request.events)
	}
	job.OnExpired = func() { i.reject(k, r) }
	job.OnStart = func() { i.s.rules.runStarted(i, r) }
	job.OnEvent = func(n int, last bool) {
		n += r.afterEvent
		p := packet{data: request.responseData(n, runID), end: last}
		if !headSent {
			headSent = true
			p.head = i.newHead(r, http.StatusOK)
			p.head.seal, p.head.stream, p.head.closing = runID, request.class.Streaming, p.head.closing || i.s.rng.IntN(closeOneIn) == 0
		}
		if last {
			k.job = nil
		}
		if corruption != "" && (n >= corruptFrom || last) && i.corrupt(k, job, corruption, p) {
			return
		}
		i.s.rules.eventMade(r, n)
		k.respond(p)
	}
	return job
}

// corrupt sends what a faulty replica sends instead of this packet, and reports whether that ends the response.
func (i *Instance) corrupt(k *socket, j *engine.Job, kind string, p packet) bool {
	w := i.s.w
	k.markReplicaFailed()
	switch kind {
	case "surplus", "late":
		if !p.end {
			return false
		}
		k.respond(p)
		extra := packet{head: p.head, data: p.data, end: true}
		if extra.head == nil {
			extra.head = &responseHead{status: http.StatusOK, attempt: "another", instance: i.ID}
		}
		delay := time.Duration(0)
		if kind == "late" {
			delay = time.Duration(i.s.rng.Int64N(int64(300 * time.Millisecond)))
		}
		w.After(delay, func() { k.respond(extra) })
		return true
	case "cut":
		p.data, p.end, p.reset = p.data[:len(p.data)/2], false, true
	case truncatedEvent:
		p.data, p.end = p.data[:len(p.data)/2], true
	case "reset":
		p = packet{reset: true}
	case "junk":
		p = packet{junk: true}
	case "silent":
		p = packet{}
	}
	if kind != "silent" {
		k.respond(p)
	}
	i.engine.Cancel(j)
	k.job = nil
	return true
}
