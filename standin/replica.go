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

	"github.com/mallowbridge/mallowbridge/ledger"
	"github.com/mallowbridge/mallowbridge/prefixindex"
	"github.com/mallowbridge/mallowbridge/sim/replica"
)

// Fault is what a replica is told to do wrong, by POST /faults.
type Fault struct {
	// Dark: it answers nothing. Leaving: it says that it leaves. DisconnectAt breaks a run off: when it is "read", "begun", or at a "piece",
	// the one after DisconnectAfter. Twist spoils piece DisconnectAfter: "go", "instance", "skip" or "end". Times: for so many runs; 0: for all.
	Dark            bool   `json:"dark"`
	Leaving         bool   `json:"leaving"`
	DisconnectAt    string `json:"cutAt"`
	DisconnectAfter int    `json:"cutAfter"`
	Twist           string `json:"twist"`
	Times           int    `json:"times"`
}

const (
	// maxBody bounds the request bodies that are read, in bytes; bytesPerToken reckons their tokens.
	maxBody       = 8 << 20
	bytesPerToken = 4
)

// A job is run by the goroutine that owns the replica.
type job func(r *Replica)

// Replica is a stand-in model replica behind HTTP. One goroutine owns its simulated engine.
type Replica struct {
	t      *tomb.Tomb
	name   string
	model  string
	clock  func() time.Duration
	engine *replica.Replica
	fault  Fault
	runs   *json.Encoder
	jobs   chan job
}

// ReplicaOptions are what a stand-in replica is started with.
type ReplicaOptions struct {
	Name string
	// Model names the model that prompts are hashed with.
	Model string
	// Instance is the id of this incarnation.
	Instance string
	Engine   replica.Model
	// Runs gets a line for each run.
	Runs  io.Writer
	Clock func() time.Duration
}

// NewReplica starts a replica that ends with the tomb.
func NewReplica(t *tomb.Tomb, o ReplicaOptions) *Replica {
	r := &Replica{
		t: t, name: o.Name, model: o.Model, clock: o.Clock, engine: replica.New(o.Engine, o.Instance, o.Clock()),
		runs: json.NewEncoder(o.Runs), jobs: make(chan job),
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

func (r *Replica) do(j job) bool {
	done := make(chan struct{})
	select {
	case r.jobs <- func(r *Replica) { j(r); close(done) }:
		<-done
		return true
	case <-r.t.Dying():
		return false
	}
}

// Serve answers POST /v1/run, GET /v1/usage and POST /faults on the listener until the tomb dies.
func (r *Replica) Serve(lis net.Listener) *http.Server {
	mux := bunrouter.New()
	mux.POST("/v1/run", r.run)
	mux.GET("/v1/usage", r.usage)
	mux.POST("/faults", r.faults)
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
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
		n, lag := r.engine.Usage(r.clock())
		dark = r.fault.Dark
		out = map[string]any{"instanceId": r.engine.Instance, "running": n, "leaving": r.fault.Leaving, "lagMs": lag.Milliseconds()}
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

func (r *Replica) record(event, request, id string, n int) {
	_ = r.runs.Encode(ledger.Ran{
		AtMs: time.Now().UnixMilli(), Replica: r.name, Instance: r.engine.Instance, Request: request, AttemptID: id, Event: event, Chunks: n,
	})
}

// start is how a run begins: admitted or not, and with which fault.
type start struct {
	plan  replica.Plan
	ok    bool
	fault Fault
}

func (r *Replica) run(w http.ResponseWriter, req bunrouter.Request) error {
	attempt, request := req.Header.Get("X-Request-Attempt-Id"), req.Header.Get("X-Request-Id")
	body, _ := io.ReadAll(io.LimitReader(req.Body, maxBody))
	parts, err := prefixindex.Parse(r.model, req.Header.Get("X-Prompt-Prefix"))
	w.Header().Set("X-Request-Attempt-Id", attempt)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return nil
	}
	var s start
	r.do(func(r *Replica) { s = r.begin(request, attempt, parts, len(body)/bytesPerToken) })
	if s.fault.DisconnectAt == "read" {
		panic(http.ErrAbortHandler)
	}
	if !s.ok {
		w.WriteHeader(http.StatusTooManyRequests)
		return nil
	}
	defer r.do(func(r *Replica) { r.engine.Release(r.clock(), attempt) })
	return r.stream(w, req, s, request, attempt)
}

// begin admits a run, unless the replica is full or told to break off before.
func (r *Replica) begin(request, attempt string, parts []prefixindex.Block, tail int) start {
	var s start
	s.fault = r.fault
	if s.fault.Times > 0 {
		if r.fault.Times--; r.fault.Times == 0 {
			r.fault = Fault{}
		}
	}
	if s.fault.DisconnectAt == "read" {
		return s
	}
	s.plan, s.ok = r.engine.Admit(r.clock(), attempt, parts, tail)
	if !s.ok {
		r.record("refused", request, attempt, 0)
		return s
	}
	r.record(ledger.EventBegun, request, attempt, 0)
	return s
}

// OpenRunLog opens a ledger for appending; an empty path gives one that keeps nothing.
func OpenRunLog(path string) (io.Writer, error) {
	if path == "" {
		return io.Discard, nil
	}
	var w io.Writer
	w, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	return w, trace.ConvertSystemError(err)
}
