package sim

import (
	"strconv"
	"time"

	"github.com/mallowbridge/mallowbridge/proxy"
)

// deadlineAt returns the earlier of the client's deadline and the route's timeout.
func (t *proxyRequest) deadlineAt() time.Duration {
	at := t.deadline
	if r := t.exchange.Placement.Route; r != nil && r.Timeout > 0 {
		at = min(at, t.arrived+r.Timeout)
	}
	return at
}

// writeRequest sends the request on the current connection and schedules its deadline.
func (t *proxyRequest) writeRequest() {
	w, placement, conn := t.n.w, &t.exchange.Placement, t.conn
	deadline := t.deadlineAt()
	if deadline-w.Now < time.Millisecond {
		t.handleSignal(proxy.DeadlinePassed{})
		return
	}
	t.waitState, t.responseHead, t.body = awaitingHead, nil, nil
	t.seq++
	seq := t.seq
	conn.used, conn.attempt = true, t.attempt.id
	request := &sentRequest{
		client: t.attempt, node: t.n, attempt: t.attempt.id, targetInstance: placement.Instance, afterEvent: t.attempt.resumeAfter, priority: placement.Priority, deadline: deadline, sent: w.Now,
		retried: t.attempt.sends > 0, inTouch: w.site.rules.inTouch(t.n, w.Now),
	}
	if placement.Resumes && t.headSent {
		request.afterEvent, _ = strconv.Atoi(t.events.LastID)
	}
	t.attempt.sends++
	w.site.report.addPlacement(placement)
	conn.toReplica.send(func() { conn.to.serve(conn, request) })
	t.n.later(deadline-w.Now+deadlineSlack, func() {
		if t.seq == seq && t.conn == conn && t.waitState != notWaiting {
			t.handleSignal(proxy.DeadlinePassed{})
		}
	})
}
