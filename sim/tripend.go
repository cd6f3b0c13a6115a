package sim

import (
	"net/http"

	"github.com/mallowbridge/mallowbridge/proxy"
)

// more takes data of an answer whose head was taken.
func (t *trip) more(p packet) {
	switch t.mode {
	case draining:
		if p.end {
			t.settle()
			t.happened(proxy.Ended{})
		}
	case holding:
		t.body = append(t.body, p.data...)
		if p.end {
			t.answer(t.body)
			t.settle()
			t.happened(proxy.Ended{})
		}
	case streaming:
		t.flow(p)
	}
}

func (t *trip) flow(p packet) {
	whole, err := t.events.Feed(p.data)
	ended := err == nil && p.end
	if ended {
		whole = append(whole[:len(whole):len(whole)], t.events.Rest()...)
	}
	if len(whole) > 0 {
		if !t.flowing {
			t.flowing = true
			t.ex.CannotResume = t.events.Plain
			t.do(t.ex.Happened(proxy.Begun{}))
			t.mode = streaming
		}
		t.ex.CannotResume = t.events.Plain
		t.answer(whole)
	}
	switch {
	case err != nil:
		t.lost()
	case ended:
		t.answer(nil)
		t.settle()
		t.happened(proxy.Ended{})
	}
}

// settle ends the use of a connection whose answer was read whole.
func (t *trip) settle() {
	if t.k.stale || t.h.shut {
		t.drop()
		return
	}
	t.k.until = t.n.w.now + toldIdle
	t.park()
}

// answer passes bytes on to the user agent, the head of the first replica before them.
func (t *trip) answer(data []byte) {
	c := t.c
	if !t.headed {
		t.headed = true
		h := *t.h
		c.send(t.n, func() { c.heads(h) })
	}
	if len(data) > 0 {
		data = append([]byte(nil), data...)
		c.send(t.n, func() { c.reads(data) })
	}
}

var statuses = map[proxy.Outcome]int{
	proxy.Rejected: http.StatusServiceUnavailable, proxy.NotFound: http.StatusNotFound, proxy.Unknown: http.StatusBadGateway, proxy.Expired: http.StatusGatewayTimeout,
}

func (t *trip) finish(m proxy.Action) {
	c := t.c
	delete(t.n.trips, t.ex.Request)
	switch m.Outcome {
	case proxy.Done:
		c.send(t.n, func() { c.ended(http.StatusOK, 0) })
	case proxy.ClientGone:
	case proxy.Aborted:
		c.send(t.n, func() { c.cut() })
	default:
		if m.Outcome == proxy.Rejected {
			t.n.w.site.report.Whys[m.Reason]++
		}
		status := statuses[m.Outcome]
		t.n.w.site.rules.finished(t, status)
		c.send(t.n, func() { c.ended(status, m.RetryAfter) })
	}
}

// orphan is what becomes of a trip whose process ended.
func (t *trip) orphan() {
	if t.k != nil {
		t.c.working = t.k.job != nil
		t.k.close()
	}
	t.c.send(t.n, t.c.cut)
}
