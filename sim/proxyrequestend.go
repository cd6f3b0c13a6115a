package sim

import (
	"io"
	"net/http"

	"github.com/mallowbridge/mallowbridge/proxy"
)

// more takes data of an answer whose head was taken.
func (t *proxyRequest) more(p packet) {
	switch t.mode {
	case draining:
		if p.end {
			t.recycle()
			t.happened(proxy.ResponseEnded{})
		}
	case holding:
		t.body = append(t.body, p.data...)
		if p.end {
			t.answer(t.body)
			t.recycle()
			t.happened(proxy.ResponseEnded{})
		}
	case streaming:
		t.flow(p)
	}
}

func (t *proxyRequest) flow(p packet) {
	complete, err := t.events.Feed(p.data)
	if err == nil && p.end && t.events.HasPartialEvent() {
		err = io.ErrUnexpectedEOF
	}
	ended := err == nil && p.end
	if ended {
		complete = append(complete[:len(complete):len(complete)], t.events.Remaining()...)
	}
	if len(complete) > 0 {
		if !t.flowing {
			t.flowing = true
			t.exchange.CannotResume = t.events.CannotResume
			t.do(t.exchange.HandleSignal(proxy.ResponseStarted{}))
			t.mode = streaming
		}
		t.exchange.CannotResume = t.events.CannotResume
		t.answer(complete)
	}
	switch {
	case err != nil:
		t.lost()
	case ended:
		t.answer(nil)
		t.recycle()
		t.happened(proxy.ResponseEnded{})
	}
}

// recycle ends the use of a connection whose answer was read whole.
func (t *proxyRequest) recycle() {
	if t.conn.stale || t.answerHead.shut {
		t.drop()
		return
	}
	t.conn.until = t.n.w.Now + advertisedIdle
	t.park()
}

// answer passes bytes on to the user agent, the head of the first replica before them.
func (t *proxyRequest) answer(data []byte) {
	c := t.attempt
	if !t.headed {
		t.headed = true
		h := *t.answerHead
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

func (t *proxyRequest) finish(m proxy.Action) {
	c := t.attempt
	delete(t.n.requests, t.exchange.Request)
	switch m.Outcome {
	case proxy.Completed:
		c.send(t.n, func() { c.ended(http.StatusOK, 0) })
	case proxy.AbandonedByClient:
	case proxy.Aborted:
		c.send(t.n, func() { c.disconnected() })
	default:
		if m.Outcome == proxy.Rejected {
			t.n.w.site.report.Reasons[m.Reason]++
		}
		status := statuses[m.Outcome]
		t.n.w.site.rules.finished(t, status)
		c.send(t.n, func() { c.ended(status, m.RetryAfter) })
	}
}

// orphan is what becomes of a trip whose process ended.
func (t *proxyRequest) orphan() {
	if t.conn != nil {
		t.attempt.working = t.conn.job != nil
		t.conn.close()
	}
	t.attempt.send(t.n, t.attempt.disconnected)
}
