package sim

import (
	"time"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/ledger"
	"github.com/mallowbridge/mallowbridge/router"
	"github.com/mallowbridge/mallowbridge/sim/replica"
	"github.com/mallowbridge/mallowbridge/sim/workload"
)

// fleetRequest is one request of a client of a fleet; resends counts how often the client sent it again.
type fleetRequest struct {
	w         *World
	n         *Node
	request   workload.Request
	zone      string
	resends   int
	arrivedAt time.Duration
	result    ledger.SendResult
	flow      router.RequestFlow
	conn      *fleetConn
	attempts  int
	finished  bool
}

// fleetConn is the connection of a fleetRequest to a replica. chunk is the next chunk to be sent; lastDue keeps the chunks in order.
type fleetConn struct {
	request   *fleetRequest
	replica   *FleetReplica
	placement router.Decision
	open      bool
	sent      bool
	chunk     int
	plan      replica.Plan
	lastDue   time.Duration

	corrupted bool
}

// fleetDialTimeout is how long a node waits for a connection across a partition to fail.
const fleetDialTimeout = 500 * time.Millisecond

func (w *World) submit(request workload.Request, zone string, resends int) {
	n := w.pickReadyNode(zone)
	f := &fleetRequest{w: w, n: n, request: request, zone: zone, resends: resends, arrivedAt: w.Now, flow: router.RequestFlow{Request: request.ID}}
	f.result = ledger.SendResult{AtMs: w.Now.Milliseconds(), Request: request.ID, Class: request.Class.Name, Idempotent: request.Class.Repeatable}
	if n == nil || !n.Alive {
		f.end("lost")
		return
	}
	f.result.Node = n.frontendID
	w.After(w.Net.Delay(true), func() {
		if !n.Alive {
			f.end("lost")
			return
		}
		n.runIfAlive(func() {
			f.result.Node = n.frontendID
			w.Report.Arrived++
			if n.rejecting {
				f.end(router.OutcomeRejected)
				return
			}
			if n.fleetRequests[request.ID] != nil {
				f.end(router.OutcomeRepeat)
				return
			}
			n.fleetRequests[request.ID] = f
			n.handleDecisions(n.router.Step(n.localTime(), router.Arrival{
				Request: request.ID, Service: request.Class.Service, Class: request.Class.Name, Prefix: request.Prefix, TailTokens: request.TailTokens,
			}))
		})
	})
}

func (f *fleetRequest) hasOutput() bool { return len(f.result.Chunks) > 0 }

func (f *fleetRequest) end(outcome string) {
	if f.finished {
		return
	}
	f.finished = true
	f.result.Outcome = outcome
	f.w.Got = append(f.w.Got, f.result)
	f.w.Report.addOutcome(f)
	if f.w.Scenario.ResendLost && f.resends == 0 && !f.hasOutput() && (outcome == "lost" || outcome == router.OutcomeUnknown) {
		f.w.After(time.Second, func() { f.w.submit(f.request, f.zone, 1) })
	}
}

// nodeStopped ends a request whose node's process ended.
func (f *fleetRequest) nodeStopped() {
	f.closeConnection()
	if f.hasOutput() {
		f.end(router.OutcomePartial)
		return
	}
	f.end("lost")
}

func (f *fleetRequest) closeConnection() {
	c := f.conn
	f.conn = nil
	if c == nil || !c.open {
		return
	}
	c.open = false
	if c.sent {
		f.w.After(f.w.Net.Delay(true), func() {
			if c.replica.conns[c.placement.AttemptID] == c {
				delete(c.replica.conns, c.placement.AttemptID)
				c.replica.model.Release(f.w.Now, c.placement.AttemptID)
				c.replica.record("cut", f.request.ID, c.placement.AttemptID, c.chunk)
			}
		})
	}
}

func (n *Node) handleDecisions(ds []router.Decision) {
	for _, d := range ds {
		if d.UncachedTokens > 0 && n.w.site != nil {
			n.step(control.Prefills{Rows: []router.Prefill{{Replica: d.Replica, Tokens: d.UncachedTokens}}})
		}
		if f := n.fleetRequests[d.Request]; f != nil {
			f.perform(f.flow.OnDecision(d))
		}
		if t := n.requests[d.Request]; t != nil {
			t.handleDecision(d)
		}
	}
}

func (f *fleetRequest) perform(actions []router.Action) {
	var next []router.Decision
	for _, m := range actions {
		switch m.Kind {
		case router.Connect:
			f.dial(m.Placement)
		case router.AskWitnesses:
			f.askWitnesses(f.conn)
		case router.AskWitnessesEarly:
			f.askWitnessesEarly()
		case router.Write:
			f.attempts++
			f.w.Audit.attemptSent(f, f.conn)
			f.conn.sendRequest()
		case router.Disconnect:
			f.closeConnection()
		case router.NotifyRouter:
			next = append(next, f.n.router.Step(f.n.localTime(), m.Event)...)
		case router.ForwardLine:
			f.forwardLine(m.Line)
		case router.Finish:
			delete(f.n.fleetRequests, f.request.ID)
			if m.Outcome == router.OutcomeRejected {
				f.w.Report.Reasons[m.Placement.Reason]++
				f.w.Report.RejectedLate += uint64(map[bool]int{true: 1}[m.Placement.RejectedLate])
			}
			f.end(m.Outcome)
		}
	}
	f.n.handleDecisions(next)
}

func (f *fleetRequest) forwardLine(l router.ResponseLine) {
	if l.Chunk == nil {
		return
	}
	if f.result.FirstChunkMs == 0 {
		f.result.FirstChunkMs = max((f.w.Now - f.arrivedAt).Milliseconds(), 1)
	}
	f.result.Chunks = append(f.result.Chunks, l.Text)
}

func (c *fleetConn) handleEvent(in router.ConnectionEvent) {
	f := c.request
	f.n.runIfAlive(func() {
		if f.conn == c && !f.finished {
			f.perform(f.flow.OnConnectionEvent(in))
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
	c := &fleetConn{request: f, replica: r, placement: d, open: true}
	f.conn = c
	w.Audit.attemptPlaced(f, c)
	w.Report.PredictedTokens += uint64(d.PredictedTokens)
	w.Report.ConfirmedTokens += uint64(d.ConfirmedTokens)
	if c.partitioned() {
		f.n.later(fleetDialTimeout, func() { c.handleEvent(router.ConnectResult{AttemptID: d.AttemptID}) })
		return
	}
	f.n.later(2*w.Net.Delay(f.n.Zone == r.Zone), func() { c.handleEvent(router.ConnectResult{AttemptID: d.AttemptID, OK: r.Up}) })
}

// askWitnessesEarly asks the witnesses about the request without registering it.
func (f *fleetRequest) askWitnessesEarly() {
	f.w.Call(f.n, control.Witness{Request: f.request.ID, Peek: true}, func(a control.Answer) {
		f.n.runIfAlive(func() {
			if !f.finished && f.n.fleetRequests[f.request.ID] == f {
				f.perform(f.flow.OnConnectionEvent(router.WitnessesAnswered{Result: control.WitnessOutcome(a)}))
			}
		})
	})
}

// askWitnesses registers the request with the witnesses before it is sent.
func (f *fleetRequest) askWitnesses(c *fleetConn) {
	f.w.Call(f.n, control.Witness{Request: f.request.ID, SpareTime: c.placement.SpareTime}, func(a control.Answer) {
		c.handleEvent(router.WitnessesAnswered{AttemptID: c.placement.AttemptID, Result: control.WitnessOutcome(a)})
	})
}
