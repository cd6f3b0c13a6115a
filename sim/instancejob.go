package sim

import (
	"fmt"
	"net/http"
	"time"

	"github.com/mallowbridge/mallowbridge/sim/engine"
)

// endsInsideEvent is the fault of a stream that ends with proper framing in the middle of an event.
const endsInsideEvent = "inside"

// job makes the request's work; what is taken up is read as a longer prompt.
func (i *Instance) job(k *socket, r *sentRequest) *engine.Job {
	q := r.try.request
	stride := max(i.service.Stride, 1)
	j := &engine.Job{Blocks: q.parts, PromptTokens: max(q.prompt+r.after*stride, 1), OutputTokens: max((q.events-r.after)*stride, 1), WorkTime: q.work, Priority: r.rank, StartBy: r.until}
	run := fmt.Sprintf("%s.%d", i.ID, i.engine.LastSeq+1)
	headed := false
	bad := ""
	if g := i.garble; g.every > 0 && i.s.rng.IntN(g.every) == 0 && (g.how != endsInsideEvent || q.class.Streaming) {
		bad = g.how
	}
	at := 0
	if q.class.Streaming && q.events > 1 {
		at = 1 + i.s.rng.IntN(q.events)
	}
	j.OnExpired = func() { i.refuse(k, r) }
	j.OnStart = func() { i.s.rules.began(i, r) }
	j.OnEvent = func(n int, last bool) {
		n += r.after
		p := packet{data: q.data(n, run), end: last}
		if !headed {
			headed = true
			p.head = i.head(r, http.StatusOK)
			p.head.seal, p.head.stream, p.head.shut = run, q.class.Streaming, p.head.shut || i.s.rng.IntN(closesEvery) == 0
		}
		if last {
			k.job = nil
		}
		if bad != "" && (n >= at || last) && i.spoil(k, j, bad, p) {
			return
		}
		i.s.rules.made(r, n)
		k.reply(p)
	}
	return j
}

// spoil sends what a replica in fault sends in the place of this packet, and tells whether the answer is over.
func (i *Instance) spoil(k *socket, j *engine.Job, how string, p packet) bool {
	w := i.s.w
	k.harm()
	switch how {
	case "surplus", "late":
		if !p.end {
			return false
		}
		k.reply(p)
		repeated := packet{head: p.head, data: p.data, end: true}
		if repeated.head == nil {
			repeated.head = &head{status: http.StatusOK, attempt: "another", instance: i.ID}
		}
		wait := time.Duration(0)
		if how == "late" {
			wait = time.Duration(i.s.rng.Int64N(int64(300 * time.Millisecond)))
		}
		w.After(wait, func() { k.reply(repeated) })
		return true
	case "cut":
		p.data, p.end, p.reset = p.data[:len(p.data)/2], false, true
	case endsInsideEvent:
		p.data, p.end = p.data[:len(p.data)/2], true
	case "reset":
		p = packet{reset: true}
	case "junk":
		p = packet{junk: true}
	case "silent":
		p = packet{}
	}
	if how != "silent" {
		k.reply(p)
	}
	i.engine.Cancel(j)
	k.job = nil
	return true
}
