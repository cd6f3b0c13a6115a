package sim

import (
	"net/http"

	"github.com/mallowbridge/mallowbridge/ledger"
	"github.com/mallowbridge/mallowbridge/prefixindex"
	"github.com/mallowbridge/mallowbridge/router"
	"github.com/mallowbridge/mallowbridge/sim/shape"
)

const chunkBytes = 120

func (c *fleetConn) travel() {
	w, r, f := c.request.w, c.replica, c.request
	c.sent = true
	if f.n.Zone != r.Zone {
		w.Report.ResponseCrossBytes += uint64(300 + 4*f.ask.TailTokens)
	}
	w.After(w.Net.Delay(f.n.Zone == r.Zone), func() {
		if !r.Up {
			if c.open {
				c.happened(router.ConnectionLost{AttemptID: c.place.AttemptID})
			}
			return
		}
		if c.partitioned() {
			return
		}
		parts, _ := prefixindex.Parse(shape.ModelName, f.ask.Prefix)
		plan, ok := r.model.Admit(w.Now, c.place.AttemptID, parts, f.ask.TailTokens)
		if !ok {
			r.record("refused", f.ask.ID, c.place.AttemptID, 0)
			c.back(func() {
				c.happened(router.ResponseHeadRead{AttemptID: c.place.AttemptID, EchoedAttemptID: c.place.AttemptID, Status: http.StatusTooManyRequests})
			})
			return
		}
		r.record("begun", f.ask.ID, c.place.AttemptID, 0)
		w.Audit.begun(r)
		r.conns[c.place.AttemptID] = c
		c.plan = plan
		inst := r.model.Instance
		if r.Failing {
			w.After(plan.FirstTokenTime/4, c.spoil)
			return
		}
		w.After(plan.FirstTokenTime, func() { c.emit(inst) })
	})
}

func (c *fleetConn) spoil() {
	r := c.replica
	if r.conns[c.place.AttemptID] == c {
		delete(r.conns, c.place.AttemptID)
		r.model.Release(c.request.w.Now, c.place.AttemptID)
		c.back(func() { c.happened(router.ConnectionLost{AttemptID: c.place.AttemptID}) })
	}
}

func (c *fleetConn) back(do func()) {
	w := c.request.w
	if c.replica.Unreachable || c.partitioned() {
		return
	}
	c.due = max(c.due, w.Now+w.Net.Delay(c.request.n.Zone == c.replica.Zone))
	w.At(c.due, func() {
		if c.open {
			do()
		}
	})
}

func (c *fleetConn) emit(inst string) {
	r, w, f := c.replica, c.request.w, c.request
	if r.conns[c.place.AttemptID] != c || !r.Up || r.model.Instance != inst {
		return
	}
	i := c.chunk
	c.chunk++
	if f.n.Zone != r.Zone {
		w.Report.ResponseCrossBytes += chunkBytes
	}
	if i == 0 {
		c.back(func() {
			c.happened(router.ResponseHeadRead{AttemptID: c.place.AttemptID, EchoedAttemptID: c.place.AttemptID, Status: http.StatusOK})
		})
	}
	l := router.ResponseLine{AttemptID: c.place.AttemptID, InstanceID: inst, Chunk: &i, Text: ledger.ChunkText(f.ask.ID, c.place.AttemptID, i)}
	if c.corrupted || r.twist(c, &l) {
		c.line(l)
	}
	if c.chunk < c.plan.Chunks {
		w.After(c.plan.ChunkInterval, func() { c.emit(inst) })
		return
	}
	r.record("done", f.ask.ID, c.place.AttemptID, c.chunk)
	r.model.Release(w.Now, c.place.AttemptID)
	delete(r.conns, c.place.AttemptID)
	c.line(router.ResponseLine{AttemptID: c.place.AttemptID, InstanceID: inst, End: true, Chunks: c.chunk})
}

func (c *fleetConn) line(l router.ResponseLine) {
	c.back(func() {
		if l.Chunk != nil && *l.Chunk == 0 {
			c.request.w.Audit.proved(c, l.InstanceID)
		}
		c.happened(router.ResponseLineRead{AttemptID: c.place.AttemptID, Line: l})
	})
}

func (c *fleetConn) reset() {
	if !c.open {
		return
	}
	c.request.w.After(c.request.w.Net.Delay(true), func() {
		if c.open {
			c.happened(router.ConnectionLost{AttemptID: c.place.AttemptID})
		}
	})
}
