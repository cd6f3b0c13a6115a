package httpapi

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/register"
	"github.com/mallowbridge/mallowbridge/router"
)

// Control is the node's control side: the daemon. Call runs a read and waits for its answer, Order an operator's order that came with the
// request of ctx; Look calls look in the goroutine that owns the control state.
type Control interface {
	Call(op control.Op) control.Answer
	Order(ctx context.Context, op control.Op) control.Answer
	Look(look func(n *control.Node))
}

// Operations serves operators' calls, health, status and counters. Frontend is nil, and Router set, where this node serves another
// interface; Extra adds counters to the published ones.
type Operations struct {
	Control  Control
	Frontend *Frontend
	Router   *router.Loop
	Clock    func() time.Duration
	Extra    func() map[string]uint64
}

// Configuration is the answer to operators' calls that succeed: the version of this change, the newest one, and what holds there. The
// JSON names are published: version is a version, emptied the evacuated zones.
type Configuration struct {
	Version   uint64           `json:"mark"`
	Now       uint64           `json:"now"`
	Evacuated []string         `json:"emptied"`
	Voters    []register.Voter `json:"voters"`
	Config    json.RawMessage  `json:"config,omitempty"`
}

// Failure is the answer to operators' calls that fail. Its JSON name fate says "unchanged", or "unknown" where the change may yet hold.
type Failure struct {
	Error      string             `json:"error"`
	Effect     string             `json:"fate"`
	Version    *uint64            `json:"mark,omitempty"`
	Violations []config.Violation `json:"flaws,omitempty"`
}

// Routes adds all paths of the product's own interface.
func (o *Operations) Routes(r *bunrouter.Router) {
	r.POST("/v1/offers/:offer/:kind", o.Frontend.Handler())
	r.GET("/healthz", o.health)
	r.GET("/readyz", o.readiness)
	o.Watch(r)
	r.GET("/v1/config", o.get)
	r.PUT("/v1/config", o.put)
	r.POST("/v1/domains/:domain/empty", o.zone(control.Evacuate{}))
	r.POST("/v1/domains/:domain/restore", o.zone(control.Evacuate{Restore: true}))
	r.POST("/v1/found", o.voters(func(_ string, names []string) control.Op { return control.Bootstrap{Names: names} }))
	r.POST("/v1/voters", o.voters(func(id string, names []string) control.Op { return control.ReplaceVoters{ID: id, Names: names} }))
	r.POST("/v1/replicas", o.replicas)
}

// Watch adds what an operator looks at: the node's status, its counters, and tenants' quotas as it sees them.
func (o *Operations) Watch(r *bunrouter.Router) {
	r.GET("/v1/status", o.status)
	r.GET("/v1/counters", o.counters)
	r.GET("/v1/quotas", o.quotas)
}

func reply(w http.ResponseWriter, status int, v any) error {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
	return nil
}

// fail answers with the status that belongs to an error's type.
func fail(w http.ResponseWriter, err error) error {
	var bad *config.InvalidError
	var conflict *register.ConflictError
	var unknown *register.OutcomeUnknownError
	var forgotten *register.BaseTooOldError
	var fenced *register.ScopeConflictError
	var unreached *register.NoQuorumError
	var unfounded *register.NotBootstrappedError
	var stale *control.StaleRequestError
	var left *control.ClientDisconnectedError
	var name *control.NameError
	var long *http.MaxBytesError
	t := Failure{Error: err.Error(), Effect: "unchanged"}
	status := http.StatusInternalServerError
	switch {
	case errors.As(err, &bad):
		status, t.Violations, t.Error = http.StatusUnprocessableEntity, bad.Violations, "configuration is flawed"
	case errors.As(err, &conflict):
		status, t.Version = http.StatusConflict, &conflict.Version
	case errors.As(err, &unknown), errors.As(err, &forgotten):
		status, t.Effect = http.StatusGatewayTimeout, "unknown"
	case errors.As(err, &unreached), errors.As(err, &unfounded), errors.As(err, &fenced), errors.As(err, &stale), errors.As(err, &left):
		status = http.StatusServiceUnavailable
		w.Header().Set("Retry-After", "2")
	case errors.As(err, &name):
		status = http.StatusUnprocessableEntity
	case errors.As(err, &long):
		status = http.StatusRequestEntityTooLarge
	}
	return reply(w, status, t)
}

func violation(path, val, bound string) error {
	return &config.InvalidError{Violations: []config.Violation{{Path: path, Value: val, Requirement: bound}}}
}

// changeID is the id by which a change that is sent again is known.
func (*Operations) changeID(r bunrouter.Request) (string, error) {
	id := r.Header.Get("X-Change-Id")
	if !clean(id, 128) {
		return "", violation("X-Change-Id", strconv.Quote(id), "1 to 128 printable bytes, the same when a change is repeated")
	}
	return id, nil
}

func body(w http.ResponseWriter, r bunrouter.Request) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(w, r.Body, config.MaxDocumentBytes))
}

func open(w http.ResponseWriter, r bunrouter.Request) (*config.Decoder, error) {
	raw, err := body(w, r)
	if err != nil {
		return nil, err
	}
	return config.NewDecoder(raw)
}

func (*Operations) answer(w http.ResponseWriter, a control.Answer) error {
	if a.Err != nil {
		return fail(w, a.Err)
	}
	v := a.Value
	return reply(w, http.StatusOK, Configuration{Version: a.Version, Now: v.Version, Evacuated: append([]string{}, v.EvacuatedZones...), Voters: v.Voters, Config: v.Document})
}

func (o *Operations) get(w http.ResponseWriter, _ bunrouter.Request) error {
	return o.answer(w, o.Control.Call(control.Get{}))
}

func (o *Operations) put(w http.ResponseWriter, r bunrouter.Request) error {
	id, err := o.changeID(r)
	if err != nil {
		return fail(w, err)
	}
	expect, err := strconv.ParseUint(r.URL.Query().Get("expect"), 10, 64)
	if err != nil {
		return fail(w, violation("?expect", strconv.Quote(r.URL.Query().Get("expect")), "the mark this change expects"))
	}
	raw, err := body(w, r)
	if err != nil {
		return fail(w, err)
	}
	if _, err = config.Read(raw); err != nil {
		return fail(w, err)
	}
	return o.answer(w, o.Control.Order(r.Context(), control.Put{ID: id, ExpectedVersion: expect, Document: raw}))
}

// zone answers a call on one zone; kind is the order without its zone and id.
func (o *Operations) zone(kind control.Evacuate) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		id, err := o.changeID(r)
		if err != nil {
			return fail(w, err)
		}
		name := r.Param("domain")
		known := false
		o.Control.Look(func(n *control.Node) { known = n.KnowsZone(name) })
		if !known {
			return fail(w, &control.NameError{Name: name, Cause: control.ErrUnknownZone})
		}
		op := kind
		op.ID, op.Zone = id, name
		return o.answer(w, o.Control.Order(r.Context(), op))
	}
}

func (o *Operations) voters(op func(id string, names []string) control.Op) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		id, err := o.changeID(r)
		if err != nil {
			return fail(w, err)
		}
		d, err := open(w, r)
		if err != nil {
			return fail(w, err)
		}
		var names []string
		for _, e := range d.List("voters", 1, 15) {
			names = append(names, e.StringElement(64))
		}
		d.Close()
		if err = d.Err(); err != nil {
			return fail(w, err)
		}
		return o.answer(w, o.Control.Order(r.Context(), op(id, names)))
	}
}

type takenAnswer struct {
	Taken string `json:"taken"`
}

// replicas takes what operators say of replicas of the document.
func (o *Operations) replicas(w http.ResponseWriter, r bunrouter.Request) error {
	d, err := open(w, r)
	if err != nil {
		return fail(w, err)
	}
	op := control.SetReplicaStates{At: uint64(time.Now().UnixMilli())}
	for _, e := range d.List("replicas", 1, 4096) {
		l := control.ReplicaState{Replica: e.String("replica", true, 64), State: router.ListingState(e.String("state", true, 16))}
		if !l.State.Valid() {
			e.AddViolation(e.FieldPath("state"), string(l.State), "present, leaving or gone")
		}
		e.Close()
		op.Rows = append(op.Rows, l)
	}
	d.Close()
	if err = d.Err(); err != nil {
		return fail(w, err)
	}
	if a := o.Control.Order(r.Context(), op); a.Err != nil {
		return fail(w, a.Err)
	}
	return reply(w, http.StatusOK, takenAnswer{Taken: strconv.Itoa(len(op.Rows))})
}
