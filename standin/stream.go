package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/mallowbridge/mallowbridge/ledger"
	"github.com/mallowbridge/mallowbridge/router"
)

// stream writes the response of an admitted attempt as JSON lines, paced by its plan, and applies the attempt's fault.
func (r *Replica) stream(w http.ResponseWriter, req bunrouter.Request, a admission, request, attempt string) error {
	if a.fault.Unresponsive {
		<-req.Context().Done()
		return nil
	}
	if a.fault.DisconnectAt == "begun" || !r.wait(req, a.plan.FirstTokenTime) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	ctl, enc := http.NewResponseController(w), json.NewEncoder(w)
	for i := range a.plan.Chunks {
		line, ok := r.responseLine(a.fault, request, attempt, i)
		if !ok {
			return nil
		}
		if enc.Encode(line) != nil || ctl.Flush() != nil || !r.wait(req, a.plan.ChunkInterval) {
			r.do(func(r *Replica) { r.record("cut", request, attempt, i) })
			return nil
		}
	}
	r.do(func(r *Replica) { r.record(ledger.EventCompleted, request, attempt, a.plan.Chunks) })
	return enc.Encode(router.ResponseLine{AttemptID: attempt, InstanceID: r.engine.Instance, End: true, Chunks: a.plan.Chunks})
}

// responseLine returns the line of the chunk with index i, corrupted as the fault says. It returns false if the fault ends the response before
// that chunk.
func (r *Replica) responseLine(f Fault, request, attempt string, i int) (router.ResponseLine, bool) {
	line := router.ResponseLine{AttemptID: attempt, InstanceID: r.engine.Instance, Chunk: &i, Text: ledger.ChunkText(request, attempt, i)}
	if i != f.AfterChunks {
		return line, true
	}
	if f.DisconnectAt == "piece" {
		panic(http.ErrAbortHandler)
	}
	corrupt(f.Corruption, &line)
	return line, f.Corruption != "end"
}

// corrupt falsifies a response line in one of the ways that Fault.Corruption lists.
func corrupt(corruption string, l *router.ResponseLine) {
	switch corruption {
	case "go":
		l.AttemptID = "someone.else.1"
	case "instance":
		l.InstanceID += "x"
	case "skip":
		n := *l.Chunk + 1
		l.Chunk = &n
	}
}

// wait returns false if the client disconnects or the replica stops before the time has passed.
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
