package sim

import (
	"time"

	"github.com/mallowbridge/mallowbridge"
	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/ledger"
)

type flight struct {
	w       *World
	n       *Node
	ask     Ask
	domain  string
	try     int
	at      time.Duration
	got     ledger.Got
	passage mallowbridge.RequestFlow
	conn    *conn
	gos     int
	over    bool
}

type conn struct {
	f     *flight
	rep   *Rep
	place mallowbridge.Decision
	open  bool
	sent  bool
	piece int
	plan  Plan
	due   time.Duration

	twisted bool
}

const dialFor = 500 * time.Millisecond

func (w *World) submit(a Ask, domain string, try int) {
	n := w.pick(domain)
	f := &flight{w: w, n: n, ask: a, domain: domain, try: try, at: w.now, passage: mallowbridge.RequestFlow{Request: a.Request}}
	f.got = ledger.Got{AtMs: w.now.Milliseconds(), Request: a.Request, Kind: a.Kind.Name, Repeatable: a.Kind.Repeatable}
	if n == nil || !n.Alive {
		f.end("lost")
		return
	}
	f.got.Node = n.front
	w.after(w.Net.delay(true), func() {
		if !n.Alive {
			f.end("lost")
			return
		}
		n.live(func() {
			f.got.Node = n.front
			w.Report.Arrived++
			if n.shut {
				f.end(mallowbridge.OutcomeRejected)
				return
			}
			if n.asks[a.Request] != nil {
				f.end(mallowbridge.OutcomeRepeat)
				return
			}
			n.asks[a.Request] = f
			n.decide(n.router.Step(n.local(), mallowbridge.Arrive{
				Request: a.Request, Service: a.Kind.Offer, Class: a.Kind.Name, Prefix: a.Prefix, Tail: a.TailTokens,
			}))
		})
	})
}

func (f *flight) began() bool { return len(f.got.Chunks) > 0 }

func (f *flight) end(outcome string) {
	if f.over {
		return
	}
	f.over = true
	f.got.Outcome = outcome
	f.w.Got = append(f.w.Got, f.got)
	f.w.Report.take(f)
	if f.w.S.Resend && f.try == 0 && !f.began() && (outcome == "lost" || outcome == mallowbridge.OutcomeUnknown) {
		f.w.after(time.Second, func() { f.w.submit(f.ask, f.domain, 1) })
	}
}

func (f *flight) orphan() {
	f.drop()
	if f.began() {
		f.end(mallowbridge.OutcomePartial)
		return
	}
	f.end("lost")
}

func (f *flight) drop() {
	c := f.conn
	f.conn = nil
	if c == nil || !c.open {
		return
	}
	c.open = false
	if c.sent {
		f.w.after(f.w.Net.delay(true), func() {
			if c.rep.conns[c.place.AttemptID] == c {
				delete(c.rep.conns, c.place.AttemptID)
				c.rep.m.Release(f.w.now, c.place.AttemptID)
				c.rep.note("cut", f.ask.Request, c.place.AttemptID, c.piece)
			}
		})
	}
}

func (n *Node) decide(ds []mallowbridge.Decision) {
	for _, d := range ds {
		if d.UnreadTokens > 0 && n.w.site != nil {
			n.step(control.Prefills{Rows: []mallowbridge.Prefill{{Replica: d.Replica, Tokens: d.UnreadTokens}}})
		}
		if f := n.asks[d.Request]; f != nil {
			f.do(f.passage.Decided(d))
		}
		if t := n.trips[d.Request]; t != nil {
			t.decided(d)
		}
	}
}

func (f *flight) do(moves []mallowbridge.Action) {
	var next []mallowbridge.Decision
	for _, m := range moves {
		switch m.Kind {
		case mallowbridge.Connect:
			f.dial(m.Placement)
		case mallowbridge.AskWitnesses:
			f.vouch(f.conn)
		case mallowbridge.AskWitnessesEarly:
			f.glance()
		case mallowbridge.Write:
			f.gos++
			f.w.Audit.sent(f, f.conn)
			f.conn.travel()
		case mallowbridge.Disconnect:
			f.drop()
		case mallowbridge.NotifyRouter:
			next = append(next, f.n.router.Step(f.n.local(), m.Event)...)
		case mallowbridge.PassLine:
			f.pass(m.Line)
		case mallowbridge.Finish:
			delete(f.n.asks, f.ask.Request)
			if m.Outcome == mallowbridge.OutcomeRejected {
				f.w.Report.Whys[m.Placement.Reason]++
				f.w.Report.DeniedLate += uint64(map[bool]int{true: 1}[m.Placement.RejectedLate])
			}
			f.end(m.Outcome)
		}
	}
	f.n.decide(next)
}

func (f *flight) pass(l mallowbridge.AnswerLine) {
	if l.Chunk == nil {
		return
	}
	if f.got.FirstMs == 0 {
		f.got.FirstMs = max((f.w.now - f.at).Milliseconds(), 1)
	}
	f.got.Chunks = append(f.got.Chunks, l.Text)
}

func (c *conn) happened(in mallowbridge.ConnectionEvent) {
	f := c.f
	f.n.live(func() {
		if f.conn == c && !f.over {
			f.do(f.passage.Happened(in))
		}
	})
}

func (c *conn) cutOff() bool {
	net := c.f.w.Net
	return net.blocked(c.f.n.Addr, c.rep.addr()) || net.blocked(c.rep.addr(), c.f.n.Addr)
}

func (f *flight) dial(d mallowbridge.Decision) {
	w := f.w
	r := w.byRep[d.Replica]
	c := &conn{f: f, rep: r, place: d, open: true}
	f.conn = c
	w.Audit.placed(f, c)
	w.Report.Predicted += uint64(d.Predicted)
	w.Report.Confirmed += uint64(d.Confirmed)
	if c.cutOff() {
		f.n.later(dialFor, func() { c.happened(mallowbridge.ConnectResult{AttemptID: d.AttemptID}) })
		return
	}
	f.n.later(2*w.Net.delay(f.n.Domain == r.Domain), func() { c.happened(mallowbridge.ConnectResult{AttemptID: d.AttemptID, OK: r.Up}) })
}

func (f *flight) glance() {
	f.w.Call(f.n, control.Witness{Request: f.ask.Request, Peek: true}, func(a control.Answer) {
		f.n.live(func() {
			if !f.over && f.n.asks[f.ask.Request] == f {
				f.do(f.passage.Happened(mallowbridge.WitnessesAnswered{Result: control.WitnessOutcome(a)}))
			}
		})
	})
}

func (f *flight) vouch(c *conn) {
	f.w.Call(f.n, control.Witness{Request: f.ask.Request, SpareTime: c.place.SpareTime}, func(a control.Answer) {
		c.happened(mallowbridge.WitnessesAnswered{AttemptID: c.place.AttemptID, Result: control.WitnessOutcome(a)})
	})
}
