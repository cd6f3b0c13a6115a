package httpapi

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/router"
)

// Control runs operations on the node's control state. *daemon.Daemon implements it.
type Control interface {
	// Call runs an operation and waits for its result.
	Call(op control.Op) control.Answer
	// CallForOperator runs an operator request that arrived with the HTTP request of ctx, and waits for its result.
	CallForOperator(ctx context.Context, op control.Op) control.Answer
	// Inspect calls inspect in the goroutine that owns the control state.
	Inspect(inspect func(n *control.Node))
}

// Operations serves operators' calls, health checks, status and counters.
type Operations struct {
	Control Control
	// Frontend is nil, and Router is set, if the node does not serve requests through a Frontend.
	Frontend *Frontend
	Router   *router.Loop
	// Clock returns the time on the clock of the router and the control state.
	Clock func() time.Duration
	// ExtraCounters, if set, returns further counters to publish.
	ExtraCounters func() map[string]uint64
}

// Routes adds all paths of this interface.
func (o *Operations) Routes(r *bunrouter.Router) {
	r.POST("/v1/offers/:offer/:kind", o.Frontend.Handler())
	r.GET("/healthz", o.health)
	r.GET("/readyz", o.readiness)
	o.StatusRoutes(r)
	r.GET("/v1/config", o.getConfig)
	r.PUT("/v1/config", o.putConfig)
	r.POST("/v1/domains/:domain/empty", o.zoneHandler(control.Evacuate{}))
	r.POST("/v1/domains/:domain/restore", o.zoneHandler(control.Evacuate{Restore: true}))
	r.POST("/v1/found", o.votersHandler(func(_ string, names []string) control.Op { return control.Bootstrap{Names: names} }))
	r.POST("/v1/voters", o.votersHandler(func(id string, names []string) control.Op { return control.ReplaceVoters{ID: id, Names: names} }))
	r.POST("/v1/replicas", o.setReplicaStates)
}

// StatusRoutes adds the read-only paths for operators: the node's status, its counters, and the tenants' quotas as this node knows them.
func (o *Operations) StatusRoutes(r *bunrouter.Router) {
	r.GET("/v1/status", o.status)
	r.GET("/v1/counters", o.counters)
	r.GET("/v1/quotas", o.quotas)
}

// changeID returns the X-Change-Id header. An operator that repeats a change sends the same ID again, so that the change takes effect only
// once.
func (*Operations) changeID(r bunrouter.Request) (string, error) {
	id := r.Header.Get("X-Change-Id")
	if !validID(id, 128) {
		return "", violation("X-Change-Id", strconv.Quote(id), "1 to 128 printable bytes, the same when a change is repeated")
	}
	return id, nil
}

func readBody(w http.ResponseWriter, r bunrouter.Request) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(w, r.Body, config.MaxDocumentBytes))
}

// decodeBody reads the body of a request and returns a decoder for it.
func decodeBody(w http.ResponseWriter, r bunrouter.Request) (*config.Decoder, error) {
	raw, err := readBody(w, r)
	if err != nil {
		return nil, err
	}
	return config.NewDecoder(raw)
}

func (o *Operations) getConfig(w http.ResponseWriter, _ bunrouter.Request) error {
	return o.respondAnswer(w, o.Control.Call(control.Get{}))
}

func (o *Operations) putConfig(w http.ResponseWriter, r bunrouter.Request) error {
	id, err := o.changeID(r)
	if err != nil {
		return respondFailure(w, err)
	}
	expect, err := strconv.ParseUint(r.URL.Query().Get("expect"), 10, 64)
	if err != nil {
		return respondFailure(w, violation("?expect", strconv.Quote(r.URL.Query().Get("expect")), "the version (mark) that this change expects"))
	}
	raw, err := readBody(w, r)
	if err != nil {
		return respondFailure(w, err)
	}
	if _, err = config.Read(raw); err != nil {
		return respondFailure(w, err)
	}
	return o.respondAnswer(w, o.Control.CallForOperator(r.Context(), control.Put{ID: id, ExpectedVersion: expect, Document: raw}))
}

// zoneHandler returns the handler of a call that evacuates or restores one zone. template is the operation without its zone and ID.
func (o *Operations) zoneHandler(template control.Evacuate) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		id, err := o.changeID(r)
		if err != nil {
			return respondFailure(w, err)
		}
		name := r.Param("domain")
		known := false
		o.Control.Inspect(func(n *control.Node) { known = n.KnowsZone(name) })
		if !known {
			return respondFailure(w, &control.NameError{Name: name, Cause: control.ErrUnknownZone})
		}
		op := template
		op.ID, op.Zone = id, name
		return o.respondAnswer(w, o.Control.CallForOperator(r.Context(), op))
	}
}

// votersHandler returns the handler of a call whose body lists the names of voters. op returns the operation.
func (o *Operations) votersHandler(op func(id string, names []string) control.Op) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		id, err := o.changeID(r)
		if err != nil {
			return respondFailure(w, err)
		}
		d, err := decodeBody(w, r)
		if err != nil {
			return respondFailure(w, err)
		}
		var names []string
		for _, e := range d.List("voters", 1, 15) {
			names = append(names, e.StringElement(64))
		}
		d.Close()
		if err = d.Err(); err != nil {
			return respondFailure(w, err)
		}
		return o.respondAnswer(w, o.Control.CallForOperator(r.Context(), op(id, names)))
	}
}

// setReplicaStates publishes the states (present, leaving or gone) that operators report for replicas of the configuration.
func (o *Operations) setReplicaStates(w http.ResponseWriter, r bunrouter.Request) error {
	d, err := decodeBody(w, r)
	if err != nil {
		return respondFailure(w, err)
	}
	op := control.SetReplicaStates{At: uint64(time.Now().UnixMilli())}
	for _, e := range d.List("replicas", 1, 4096) {
		row := control.ReplicaState{Replica: e.String("replica", true, 64), State: router.ListingState(e.String("state", true, 16))}
		if !row.State.Valid() {
			e.AddViolation(e.FieldPath("state"), string(row.State), "present, leaving or gone")
		}
		e.Close()
		op.Rows = append(op.Rows, row)
	}
	d.Close()
	if err = d.Err(); err != nil {
		return respondFailure(w, err)
	}
	if a := o.Control.CallForOperator(r.Context(), op); a.Err != nil {
		return respondFailure(w, a.Err)
	}
	return respondJSON(w, http.StatusOK, acceptedResponse{Accepted: strconv.Itoa(len(op.Rows))})
}
