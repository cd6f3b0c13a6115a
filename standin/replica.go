package standin

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/uptrace/bunrouter"
	"gopkg.in/tomb.v2"

	"github.com/mallowbridge/mallowbridge"
	"github.com/mallowbridge/mallowbridge/ledger"
	"github.com/mallowbridge/mallowbridge/prefixindex"
	"github.com/mallowbridge/mallowbridge/sim"
)

type Fault struct {
	Dark     bool   `json:"dark"`
	Leaving  bool   `json:"leaving"`
	CutAt    string `json:"cutAt"`
	CutAfter int    `json:"cutAfter"`
	Twist    string `json:"twist"`
	Times    int    `json:"times"`
}

type job func(r *Replica)

type Replica struct {
	t      *tomb.Tomb
	name   string
	prompt string
	clock  func() time.Duration
	model  *sim.Replica
	fault  Fault
	runs   *json.Encoder
	jobs   chan job
}

func NewReplica(t *tomb.Tomb, name, prompt, instance string, m sim.Model, runs io.Writer, clock func() time.Duration) (r *Replica) {
	r = &Replica{
		t: t, name: name, prompt: prompt, clock: clock, model: sim.NewReplica(m, instance, clock()),
		runs: json.NewEncoder(runs), jobs: make(chan job),
	}
	t.Go(func() error {
		for {
			select {
			case <-t.Dying():
				return nil
			case j := <-r.jobs:
				j(r)
			}
		}
	})
	return r
}

func (r *Replica) do(j job) (ok bool) {
	done := make(chan struct{})
	select {
	case r.jobs <- func(r *Replica) { j(r); close(done) }:
		<-done
		return true
	case <-r.t.Dying():
		return false
	}
}

func (r *Replica) Serve(lis net.Listener) (srv *http.Server) {
	mux := bunrouter.New()
	mux.POST("/v1/run", r.run)
	mux.GET("/v1/usage", r.usage)
	mux.POST("/faults", r.faults)
	srv = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	r.t.Go(func() error {
		_ = srv.Serve(lis)
		return nil
	})
	r.t.Go(func() error {
		<-r.t.Dying()
		return srv.Close()
	})
	return srv
}

func (r *Replica) usage(w http.ResponseWriter, req bunrouter.Request) error {
	var out map[string]any
	dark := false
	r.do(func(r *Replica) {
		n, lag := r.model.Usage(r.clock())
		dark = r.fault.Dark
		out = map[string]any{"instanceId": r.model.Instance, "running": n, "leaving": r.fault.Leaving, "lagMs": lag.Milliseconds()}
	})
	if dark {
		<-req.Context().Done()
		return nil
	}
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(out)
}

func (r *Replica) faults(w http.ResponseWriter, req bunrouter.Request) error {
	var f Fault
	if err := json.NewDecoder(io.LimitReader(req.Body, 4096)).Decode(&f); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return nil
	}
	r.do(func(r *Replica) { r.fault = f })
	w.WriteHeader(http.StatusNoContent)
	return nil
}

func (r *Replica) note(event, request, id string, n int) {
	_ = r.runs.Encode(ledger.Ran{
		AtMs: time.Now().UnixMilli(), Replica: r.name, Instance: r.model.Instance, Request: request, Go: id, Event: event, Pieces: n,
	})
}

type start struct {
	plan  sim.Plan
	ok    bool
	fault Fault
}

func (r *Replica) run(w http.ResponseWriter, req bunrouter.Request) (err error) {
	id, request := req.Header.Get("X-Request-Attempt-Id"), req.Header.Get("X-Request-Id")
	body, _ := io.ReadAll(io.LimitReader(req.Body, 8<<20))
	parts, err := prefixindex.Parse(r.prompt, req.Header.Get("X-Prompt-Prefix"))
	w.Header().Set("X-Request-Attempt-Id", id)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return nil
	}
	var s start
	r.do(func(r *Replica) {
		s.fault = r.fault
		if s.fault.Times > 0 {
			if r.fault.Times--; r.fault.Times == 0 {
				r.fault = Fault{}
			}
		}
		if s.fault.CutAt == "read" {
			return
		}
		s.plan, s.ok = r.model.Admit(r.clock(), id, parts, len(body)/4)
		if !s.ok {
			r.note("refused", request, id, 0)
			return
		}
		r.note("begun", request, id, 0)
	})
	if s.fault.CutAt == "read" {
		panic(http.ErrAbortHandler)
	}
	if !s.ok {
		w.WriteHeader(http.StatusTooManyRequests)
		return nil
	}
	defer r.do(func(r *Replica) { r.model.Release(r.clock(), id) })
	return r.stream(w, req, s, request, id)
}

func (r *Replica) stream(w http.ResponseWriter, req bunrouter.Request, s start, request, id string) (err error) {
	if s.fault.Dark {
		<-req.Context().Done()
		return nil
	}
	if s.fault.CutAt == "begun" || !r.wait(req, s.plan.First) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	ctl, enc := http.NewResponseController(w), json.NewEncoder(w)
	for i := range s.plan.Pieces {
		if s.fault.CutAt == "piece" && i == s.fault.CutAfter {
			panic(http.ErrAbortHandler)
		}
		l := mallowbridge.Line{Go: id, InstanceID: r.model.Instance, Piece: &i, Text: ledger.Piece(request, id, i)}
		if i == s.fault.CutAfter {
			twist(s.fault.Twist, &l)
		}
		if s.fault.Twist == "end" && i == s.fault.CutAfter {
			return nil
		}
		if enc.Encode(l) != nil || ctl.Flush() != nil || !r.wait(req, s.plan.Every) {
			r.do(func(r *Replica) { r.note("cut", request, id, i) })
			return nil
		}
	}
	r.do(func(r *Replica) { r.note("done", request, id, s.plan.Pieces) })
	return enc.Encode(mallowbridge.Line{Go: id, InstanceID: r.model.Instance, End: true, Pieces: s.plan.Pieces})
}

func twist(how string, l *mallowbridge.Line) {
	switch how {
	case "go":
		l.Go = "someone.else.1"
	case "instance":
		l.InstanceID += "x"
	case "skip":
		n := *l.Piece + 1
		l.Piece = &n
	}
}

func (r *Replica) wait(req bunrouter.Request, d time.Duration) (ok bool) {
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

func Ledger(path string) (w io.Writer, err error) {
	if path == "" {
		return io.Discard, nil
	}
	w, err = os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	return w, trace.ConvertSystemError(err)
}
