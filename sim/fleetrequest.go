package sim

import (
	"time"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/ledger"
	"github.com/mallowbridge/mallowbridge/router"
	"github.com/mallowbridge/mallowbridge/sim/replica"
	"github.com/mallowbridge/mallowbridge/sim/workload"
)

type fleetRequest struct {
	w        *World
	n        *Node
	ask      workload.Request
	domain   string
	try      int
	at       time.Duration
	got      ledger.Got
	flow     router.RequestFlow
	conn     *fleetConn
	attempts int
	over     bool
}

type fleetConn struct {
	request *fleetRequest
	replica *FleetReplica
	place   router.Decision
	open    bool
	sent    bool
	chunk   int
	plan    replica.Plan
	due     time.Duration

	corrupted bool
}

const dialFor = 500 * time.Millisecond

func (w *World) submit(a workload.Request, zone string, try int) {
	n := w.pick(zone)
	f := &fleetRequest{w: w, n: n, ask: a, domain: zone, try: try, at: w.Now, flow: router.RequestFlow{Request: a.ID}}
	f.got = ledger.Got{AtMs: w.Now.Milliseconds(), Request: a.ID, Kind: a.Class.Name, Repeatable: a.Class.Repeatable}
	if n == nil || !n.Alive {
		f.end("lost")
		return
	}
	f.got.Node = n.frontendID
	w.After(w.Net.Delay(true), func() {
		if !n.Alive {
			f.end("lost")
			return
		}
		n.live(func() {
			f.got.Node = n.frontendID
			w.Report.Arrived++
			if n.rejecting {
				f.end(router.OutcomeRejected)
				return
			}
			if n.asks[a.ID] != nil {
				f.end(router.OutcomeRepeat)
				return
			}
			n.asks[a.ID] = f
			n.decide(n.router.Step(n.local(), router.Arrival{
				Request: a.ID, Service: a.Class.Service, Class: a.Class.Name, Prefix: a.Prefix, TailTokens: a.TailTokens,
			}))
		})
	})
}

func (f *fleetRequest) began() bool { return len(f.got.Chunks) > 0 }

func (f *fleetRequest) end(outcome string) {
	if f.over {
		return
	}
	f.over = true
	f.got.Outcome = outcome
	f.w.Got = append(f.w.Got, f.got)
	f.w.Report.take(f)
	if f.w.Scenario.ResendLost && f.try == 0 && !f.began() && (outcome == "lost" || outcome == router.OutcomeUnknown) {
		f.w.After(time.Second, func() { f.w.submit(f.ask, f.domain, 1) })
	}
}

func (f *fleetRequest) orphan() {
	f.drop()
	if f.began() {
		f.end(router.OutcomePartial)
		return
	}
	f.end("lost")
}

func (f *fleetRequest) drop() {
	c := f.conn
	f.conn = nil
	if c == nil || !c.open {
		return
	}
	c.open = false
	if c.sent {
		f.w.After(f.w.Net.Delay(true), func() {
			if c.replica.conns[c.place.AttemptID] == c {
				delete(c.replica.conns, c.place.AttemptID)
				c.replica.model.Release(f.w.Now, c.place.AttemptID)
				c.replica.record("cut", f.ask.ID, c.place.AttemptID, c.chunk)
			}
		})
	}
}

func (n *Node) decide(ds []router.Decision) {
	for _, d := range ds {
		if d.UnreadTokens > 0 && n.w.site != nil {
			n.step(control.Prefills{Rows: []router.Prefill{{Replica: d.Replica, Tokens: d.UnreadTokens}}})
		}
		if f := n.asks[d.Request]; f != nil {
			f.do(f.flow.OnDecision(d))
		}
		if t := n.requests[d.Request]; t != nil {
			t.decided(d)
		}
	}
}

func (f *fleetRequest) do(actions []router.Action) {
	var next []router.Decision
	for _, m := range actions {
		switch m.Kind {
		case router.Connect:
			f.dial(m.Placement)
		case router.AskWitnesses:
			f.vouch(f.conn)
		case router.AskWitnessesEarly:
			f.glance()
		case router.Write:
			f.attempts++
			f.w.Audit.sent(f, f.conn)
			f.conn.travel()
		case router.Disconnect:
			f.drop()
		case router.NotifyRouter:
			next = append(next, f.n.router.Step(f.n.local(), m.Event)...)
		case router.ForwardLine:
			f.pass(m.Line)
		case router.Finish:
			delete(f.n.asks, f.ask.ID)
			if m.Outcome == router.OutcomeRejected {
				f.w.Report.Reasons[m.Placement.Reason]++
				f.w.Report.RejectedLate += uint64(map[bool]int{true: 1}[m.Placement.RejectedLate])
			}
			f.end(m.Outcome)
		}
	}
	f.n.decide(next)
}

func (f *fleetRequest) pass(l router.ResponseLine) {
	if l.Chunk == nil {
		return
	}
	if f.got.FirstMs == 0 {
		f.got.FirstMs = max((f.w.Now - f.at).Milliseconds(), 1)
	}
	f.got.Chunks = append(f.got.Chunks, l.Text)
}

func (c *fleetConn) happened(in router.ConnectionEvent) {
	f := c.request
	f.n.live(func() {
		if f.conn == c && !f.over {
			f.do(f.flow.OnConnectionEvent(in))
		}
	})
}

func (c *fleetConn) partitioned() bool {
	net := c.request.w.Net
	return net.Blocked(c.request.n.Addr, c.replica.addr()) || net.Blocked(c.replica.addr(), c.request.n.Addr)
}

func (f *fleetRequest) dial(d router.Decision) {
	w := f.w
	r := w.replicasByName[d.Replica]
	c := &fleetConn{request: f, replica: r, place: d, open: true}
	f.conn = c
	w.Audit.placed(f, c)
	w.Report.PredictedTokens += uint64(d.PredictedTokens)
	w.Report.ConfirmedTokens += uint64(d.ConfirmedTokens)
	if c.partitioned() {
		f.n.later(dialFor, func() { c.happened(router.ConnectResult{AttemptID: d.AttemptID}) })
		return
	}
	f.n.later(2*w.Net.Delay(f.n.Zone == r.Zone), func() { c.happened(router.ConnectResult{AttemptID: d.AttemptID, OK: r.Up}) })
}

func (f *fleetRequest) glance() {
	f.w.Call(f.n, control.Witness{Request: f.ask.ID, Peek: true}, func(a control.Answer) {
		f.n.live(func() {
			if !f.over && f.n.asks[f.ask.ID] == f {
				f.do(f.flow.OnConnectionEvent(router.WitnessesAnswered{Result: control.WitnessOutcome(a)}))
			}
		})
	})
}

func (f *fleetRequest) vouch(c *fleetConn) {
	f.w.Call(f.n, control.Witness{Request: f.ask.ID, SpareTime: c.place.SpareTime}, func(a control.Answer) {
		c.happened(router.WitnessesAnswered{AttemptID: c.place.AttemptID, Result: control.WitnessOutcome(a)})
	})
}
