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

// Fault is a set of faults that POST /faults injects into a replica. The zero value is a replica without faults.
type Fault struct {
	// Unresponsive makes the replica accept requests and never respond, usage requests included.
	Unresponsive bool `json:"dark"`
	// Draining makes the replica report that it is draining.
	Draining bool `json:"leaving"`
	// DisconnectAt is the point at which the replica closes the connection of a run: "read", after it read the request and before it admits
	// the run; "begun", after it admitted the run and before the response head; "piece", in place of the chunk with index AfterChunks.
	DisconnectAt string `json:"cutAt"`
	// AfterChunks is the number of correct chunks before "piece" or Corruption takes effect.
	AfterChunks int `json:"cutAfter"`
	// Corruption falsifies the chunk with index AfterChunks: "go" sets the id of another attempt, "instance" the id of another instance,
	// "skip" the index of the following chunk. "end" ends the response there without its end line.
	Corruption string `json:"twist"`
	// MaxRuns is the number of run requests that the faults apply to, after which they are cleared. 0 applies them to all.
	MaxRuns int `json:"times"`
}

const (
	// maxBodyBytes bounds how much of a request body is read.
	maxBodyBytes = 8 << 20
	// bytesPerToken is the assumed size of a prompt token; it converts the size of a body to tokens.
	bytesPerToken = 4
)

// job is a function that the goroutine that owns the replica runs.
type job func(r *Replica)

// Replica is a stand-in model replica with an HTTP interface. One goroutine owns its simulated engine and its faults; HTTP handlers send that
// goroutine jobs.
type Replica struct {
	t      *tomb.Tomb
	name   string
	model  string
	clock  func() time.Duration
	engine *replica.Replica
	fault  Fault
	ledger *json.Encoder
	jobs   chan job
}

// ReplicaOptions configures a stand-in replica.
type ReplicaOptions struct {
	// Name is the name of the replica in the ledger.
	Name string
	// Model is the name of the served model. Prefix blocks are hashed together with it.
	Model string
	// Instance is the id of this incarnation.
	Instance string
	// Engine sets the capacity, timing and prefix cache of the simulated engine.
	Engine replica.Model
	// Ledger receives a JSON line (ledger.RunEvent) for each event of a run.
	Ledger io.Writer
	// Clock is a monotonic clock.
	Clock func() time.Duration
}

// NewReplica starts a replica that stops when the tomb dies.
func NewReplica(t *tomb.Tomb, o ReplicaOptions) *Replica {
	r := &Replica{
		t: t, name: o.Name, model: o.Model, clock: o.Clock, engine: replica.New(o.Engine, o.Instance, o.Clock()),
		ledger: json.NewEncoder(o.Ledger), jobs: make(chan job),
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

// do runs a job on the owning goroutine and waits for it. It returns false if the replica stopped first.
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

// Serve handles POST /v1/run, GET /v1/usage and POST /faults on the listener until the tomb dies.
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
	unresponsive := false
	r.do(func(r *Replica) {
		running, lag := r.engine.Usage(r.clock())
		unresponsive = r.fault.Unresponsive
		out = map[string]any{"instanceId": r.engine.Instance, "running": running, "leaving": r.fault.Draining, "lagMs": lag.Milliseconds()}
	})
	if unresponsive {
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

// record writes an event of an attempt to the ledger; chunks is the number of chunks sent.
func (r *Replica) record(event, request, attempt string, chunks int) {
	_ = r.ledger.Encode(ledger.RunEvent{
		AtMs: time.Now().UnixMilli(), Replica: r.name, InstanceID: r.engine.Instance, Request: request, AttemptID: attempt, Event: event, Chunks: chunks,
	})
}

// admission is the outcome of admitting a run.
type admission struct {
	// plan is the timing of the run; it is set only if the run was admitted.
	plan     replica.Plan
	admitted bool
	// fault is the fault that applies to this run.
	fault Fault
}

func (r *Replica) run(w http.ResponseWriter, req bunrouter.Request) error {
	attempt, request := req.Header.Get("X-Request-Attempt-Id"), req.Header.Get("X-Request-Id")
	body, _ := io.ReadAll(io.LimitReader(req.Body, maxBodyBytes))
	blocks, err := prefixindex.Parse(r.model, req.Header.Get("X-Prompt-Prefix"))
	w.Header().Set("X-Request-Attempt-Id", attempt)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return nil
	}
	var a admission
	r.do(func(r *Replica) { a = r.admit(request, attempt, blocks, len(body)/bytesPerToken) })
	if a.fault.DisconnectAt == "read" {
		panic(http.ErrAbortHandler)
	}
	if !a.admitted {
		w.WriteHeader(http.StatusTooManyRequests)
		return nil
	}
	defer r.do(func(r *Replica) { r.engine.Release(r.clock(), attempt) })
	return r.stream(w, req, a, request, attempt)
}

// admit admits a run unless the replica is full, or its fault disconnects before admission. tailTokens is the size of the prompt behind the
// prefix blocks.
func (r *Replica) admit(request, attempt string, blocks []prefixindex.Block, tailTokens int) admission {
	var a admission
	a.fault = r.fault
	if a.fault.MaxRuns > 0 {
		if r.fault.MaxRuns--; r.fault.MaxRuns == 0 {
			r.fault = Fault{}
		}
	}
	if a.fault.DisconnectAt == "read" {
		return a
	}
	a.plan, a.admitted = r.engine.Admit(r.clock(), attempt, blocks, tailTokens)
	if !a.admitted {
		r.record("refused", request, attempt, 0)
		return a
	}
	r.record(ledger.EventStarted, request, attempt, 0)
	return a
}

// OpenLedger opens a file for appending and creates it if it doesn't exist. An empty path returns a writer that discards everything.
func OpenLedger(path string) (io.Writer, error) {
	if path == "" {
		return io.Discard, nil
	}
	var w io.Writer
	w, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	return w, trace.ConvertSystemError(err)
}
