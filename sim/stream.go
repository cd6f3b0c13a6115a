package sim

import (
	"net/http"

	"github.com/mallowbridge/mallowbridge"
	"github.com/mallowbridge/mallowbridge/ledger"
	"github.com/mallowbridge/mallowbridge/prefixindex"
)

const pieceBytes = 120

func (c *conn) travel() {
	w, r, f := c.f.w, c.rep, c.f
	c.sent = true
	if f.n.Domain != r.Domain {
		w.Report.StreamCross += uint64(300 + 4*f.ask.TailTokens)
	}
	w.after(w.Net.delay(f.n.Domain == r.Domain), func() {
		if !r.Up {
			if c.open {
				c.happened(mallowbridge.ConnectionLost{AttemptID: c.place.AttemptID})
			}
			return
		}
		if c.cutOff() {
			return
		}
		parts, _ := prefixindex.Parse(Prompt, f.ask.Prefix)
		plan, ok := r.m.Admit(w.now, c.place.AttemptID, parts, f.ask.TailTokens)
		if !ok {
			r.note("refused", f.ask.Request, c.place.AttemptID, 0)
			c.back(func() {
				c.happened(mallowbridge.Replied{AttemptID: c.place.AttemptID, Attempt: c.place.AttemptID, Status: http.StatusTooManyRequests})
			})
			return
		}
		r.note("begun", f.ask.Request, c.place.AttemptID, 0)
		w.Audit.begun(r)
		r.conns[c.place.AttemptID] = c
		c.plan = plan
		inst := r.m.Instance
		if r.Sick {
			w.after(plan.First/4, c.spoil)
			return
		}
		w.after(plan.First, func() { c.emit(inst) })
	})
}

func (c *conn) spoil() {
	r := c.rep
	if r.conns[c.place.AttemptID] == c {
		delete(r.conns, c.place.AttemptID)
		r.m.Release(c.f.w.now, c.place.AttemptID)
		c.back(func() { c.happened(mallowbridge.ConnectionLost{AttemptID: c.place.AttemptID}) })
	}
}

func (c *conn) back(do func()) {
	w := c.f.w
	if c.rep.Dark || c.cutOff() {
		return
	}
	c.due = max(c.due, w.now+w.Net.delay(c.f.n.Domain == c.rep.Domain))
	w.at(c.due, func() {
		if c.open {
			do()
		}
	})
}

func (c *conn) emit(inst string) {
	r, w, f := c.rep, c.f.w, c.f
	if r.conns[c.place.AttemptID] != c || !r.Up || r.m.Instance != inst {
		return
	}
	i := c.piece
	c.piece++
	if f.n.Domain != r.Domain {
		w.Report.StreamCross += pieceBytes
	}
	if i == 0 {
		c.back(func() {
			c.happened(mallowbridge.Replied{AttemptID: c.place.AttemptID, Attempt: c.place.AttemptID, Status: http.StatusOK})
		})
	}
	l := mallowbridge.AnswerLine{AttemptID: c.place.AttemptID, InstanceID: inst, Chunk: &i, Text: ledger.Piece(f.ask.Request, c.place.AttemptID, i)}
	if c.twisted || r.twist(c, &l) {
		c.line(l)
	}
	if c.piece < c.plan.Pieces {
		w.after(c.plan.Every, func() { c.emit(inst) })
		return
	}
	r.note("done", f.ask.Request, c.place.AttemptID, c.piece)
	r.m.Release(w.now, c.place.AttemptID)
	delete(r.conns, c.place.AttemptID)
	c.line(mallowbridge.AnswerLine{AttemptID: c.place.AttemptID, InstanceID: inst, End: true, Chunks: c.piece})
}

func (c *conn) line(l mallowbridge.AnswerLine) {
	c.back(func() {
		if l.Chunk != nil && *l.Chunk == 0 {
			c.f.w.Audit.proved(c, l.InstanceID)
		}
		c.happened(mallowbridge.AnswerRead{AttemptID: c.place.AttemptID, Line: l})
	})
}

func (c *conn) reset() {
	if !c.open {
		return
	}
	c.f.w.after(c.f.w.Net.delay(true), func() {
		if c.open {
			c.happened(mallowbridge.ConnectionLost{AttemptID: c.place.AttemptID})
		}
	})
}
