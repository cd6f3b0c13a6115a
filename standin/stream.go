package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/mallowbridge/mallowbridge/ledger"
	"github.com/mallowbridge/mallowbridge/router"
)

func (r *Replica) stream(w http.ResponseWriter, req bunrouter.Request, s start, request, id string) error {
	if s.fault.Dark {
		<-req.Context().Done()
		return nil
	}
	if s.fault.DisconnectAt == "begun" || !r.wait(req, s.plan.FirstTokenTime) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	ctl, enc := http.NewResponseController(w), json.NewEncoder(w)
	for i := range s.plan.Chunks {
		line, more := r.chunk(s.fault, request, id, i)
		if !more {
			return nil
		}
		if enc.Encode(line) != nil || ctl.Flush() != nil || !r.wait(req, s.plan.ChunkInterval) {
			r.do(func(r *Replica) { r.record("cut", request, id, i) })
			return nil
		}
	}
	r.do(func(r *Replica) { r.record(ledger.EventDone, request, id, s.plan.Chunks) })
	return enc.Encode(router.ResponseLine{AttemptID: id, InstanceID: r.engine.Instance, End: true, Chunks: s.plan.Chunks})
}

// chunk is the i-th line of an answer, as the fault has it; false where the fault ends the answer before it.
func (r *Replica) chunk(f Fault, request, id string, i int) (router.ResponseLine, bool) {
	line := router.ResponseLine{AttemptID: id, InstanceID: r.engine.Instance, Chunk: &i, Text: ledger.ChunkText(request, id, i)}
	if i != f.DisconnectAfter {
		return line, true
	}
	if f.DisconnectAt == "piece" {
		panic(http.ErrAbortHandler)
	}
	twist(f.Twist, &line)
	return line, f.Twist != "end"
}

func twist(how string, l *router.ResponseLine) {
	switch how {
	case "go":
		l.AttemptID = "someone.else.1"
	case "instance":
		l.InstanceID += "x"
	case "skip":
		n := *l.Chunk + 1
		l.Chunk = &n
	}
}

func (r *Replica) wait(req bunrouter.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-req.Context().Done():
		return false
	case <-r.t.Dying():
		return false
	}
}
