package sim

import (
	"strconv"
	"time"

	"github.com/mallowbridge/mallowbridge/proxy"
)

// expiry is when the time of the request is over.
func (t *proxyRequest) expiry() time.Duration {
	at := t.deadline
	if r := t.exchange.Placement.Route; r != nil && r.Timeout > 0 {
		at = min(at, t.arrived+r.Timeout)
	}
	return at
}

func (t *proxyRequest) write() {
	w, d, k := t.n.w, &t.exchange.Placement, t.conn
	at := t.expiry()
	if at-w.Now < time.Millisecond {
		t.happened(proxy.DeadlinePassed{})
		return
	}
	t.mode, t.answerHead, t.body = asking, nil, nil
	t.turn++
	turn := t.turn
	k.used, k.attempt = true, t.attempt.id
	r := &sentRequest{
		try: t.attempt, n: t.n, attempt: t.attempt.id, target: d.Instance, after: t.attempt.last, rank: d.Priority, until: at, sent: w.Now,
		again: t.attempt.passes > 0, calm: w.site.rules.inTouch(t.n, w.Now),
	}
	if d.Resumes && t.headed {
		r.after, _ = strconv.Atoi(t.events.LastID)
	}
	t.attempt.passes++
	w.site.report.take(d)
	k.up.send(func() { k.to.serve(k, r) })
	t.n.later(at-w.Now+overGrace, func() {
		if t.turn == turn && t.conn == k && t.mode != free {
			t.happened(proxy.DeadlinePassed{})
		}
	})
}
