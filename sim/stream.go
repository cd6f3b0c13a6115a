package sim

import (
	"net/http"

	"github.com/mallowbridge/mallowbridge/ledger"
	"github.com/mallowbridge/mallowbridge/prefixindex"
	"github.com/mallowbridge/mallowbridge/router"
	"github.com/mallowbridge/mallowbridge/sim/shape"
)

// chunkBytes is the assumed size of a chunk on the wire.
const chunkBytes = 120

// sendRequest sends the attempt to the replica, which admits or rejects it.
func (c *fleetConn) sendRequest() {
	w, r, f := c.request.w, c.replica, c.request
	c.sent = true
	if f.n.Zone != r.Zone {
		w.Report.ResponseCrossBytes += uint64(300 + 4*f.request.TailTokens)
	}
	w.After(w.Net.Delay(f.n.Zone == r.Zone), func() {
		if !r.Up {
			if c.open {
				c.handleEvent(router.ConnectionLost{AttemptID: c.placement.AttemptID})
			}
			return
		}
		if c.partitioned() {
			return
		}
		blocks, _ := prefixindex.Parse(shape.ModelName, f.request.Prefix)
		plan, ok := r.model.Admit(w.Now, c.placement.AttemptID, blocks, f.request.TailTokens)
		if !ok {
			r.record("refused", f.request.ID, c.placement.AttemptID, 0)
			c.sendBack(func() {
				c.handleEvent(router.ResponseHeadRead{AttemptID: c.placement.AttemptID, EchoedAttemptID: c.placement.AttemptID, Status: http.StatusTooManyRequests})
			})
			return
		}
		r.record("begun", f.request.ID, c.placement.AttemptID, 0)
		w.Audit.attemptStarted(r)
		r.conns[c.placement.AttemptID] = c
		c.plan = plan
		instance := r.model.Instance
		if r.Failing {
			w.After(plan.FirstTokenTime/4, c.failResponse)
			return
		}
		w.After(plan.FirstTokenTime, func() { c.sendChunk(instance) })
	})
}

// failResponse breaks the response off before its first chunk.
func (c *fleetConn) failResponse() {
	r := c.replica
	if r.conns[c.placement.AttemptID] == c {
		delete(r.conns, c.placement.AttemptID)
		r.model.Release(c.request.w.Now, c.placement.AttemptID)
		c.sendBack(func() { c.handleEvent(router.ConnectionLost{AttemptID: c.placement.AttemptID}) })
	}
}

// sendBack runs do at the node after the network delay, in order, if the connection works.
func (c *fleetConn) sendBack(do func()) {
	w := c.request.w
	if c.replica.Unreachable || c.partitioned() {
		return
	}
	c.lastDue = max(c.lastDue, w.Now+w.Net.Delay(c.request.n.Zone == c.replica.Zone))
	w.At(c.lastDue, func() {
		if c.open {
			do()
		}
	})
}

// sendChunk sends the next chunk, and schedules the one after it or ends the response.
func (c *fleetConn) sendChunk(instance string) {
	r, w, f := c.replica, c.request.w, c.request
	if r.conns[c.placement.AttemptID] != c || !r.Up || r.model.Instance != instance {
		return
	}
	i := c.chunk
	c.chunk++
	if f.n.Zone != r.Zone {
		w.Report.ResponseCrossBytes += chunkBytes
	}
	if i == 0 {
		c.sendBack(func() {
			c.handleEvent(router.ResponseHeadRead{AttemptID: c.placement.AttemptID, EchoedAttemptID: c.placement.AttemptID, Status: http.StatusOK})
		})
	}
	line := router.ResponseLine{AttemptID: c.placement.AttemptID, InstanceID: instance, Chunk: &i, Text: ledger.ChunkText(f.request.ID, c.placement.AttemptID, i)}
	if c.corrupted || r.corruptLine(c, &line) {
		c.sendLine(line)
	}
	if c.chunk < c.plan.Chunks {
		w.After(c.plan.ChunkInterval, func() { c.sendChunk(instance) })
		return
	}
	r.record("done", f.request.ID, c.placement.AttemptID, c.chunk)
	r.model.Release(w.Now, c.placement.AttemptID)
	delete(r.conns, c.placement.AttemptID)
	c.sendLine(router.ResponseLine{AttemptID: c.placement.AttemptID, InstanceID: instance, End: true, Chunks: c.chunk})
}

func (c *fleetConn) sendLine(l router.ResponseLine) {
	c.sendBack(func() {
		if l.Chunk != nil && *l.Chunk == 0 {
			c.request.w.Audit.addProofs(c, l.InstanceID)
		}
		c.handleEvent(router.ResponseLineRead{AttemptID: c.placement.AttemptID, Line: l})
	})
}

func (c *fleetConn) reset() {
	if !c.open {
		return
	}
	c.request.w.After(c.request.w.Net.Delay(true), func() {
		if c.open {
			c.handleEvent(router.ConnectionLost{AttemptID: c.placement.AttemptID})
		}
	})
}
