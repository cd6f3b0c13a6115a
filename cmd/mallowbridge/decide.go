package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/router"
)

// LineError is a line of input that cannot be used.
type LineError struct {
	Line  int
	Cause error
}

func (e *LineError) Error() string { return fmt.Sprintf("line %d: %s", e.Line, e.Cause.Error()) }

func tools(app *kingpin.Application, cmds map[string]command) {
	c := app.Command("decide", "Read events as JSON lines and write decisions as JSON lines.")
	self := c.Flag("self", "Name of this router.").Default("r1").String()
	domain := c.Flag("domain", "Zone of this router.").Default("a").String()
	cmds["decide"] = func(in io.Reader, out io.Writer) error { return decide(in, out, *self, *domain) }
}

// Unwrap gives the cause.
func (e *LineError) Unwrap() error { return e.Cause }

// The names in JSON below are published; order is a snapshot, version its version, emptied the evacuated zones.
type eventLine struct {
	AtMs  *int64          `json:"atMs"`
	Event string          `json:"event"`
	Data  json.RawMessage `json:"data"`
}

type snapshotLine struct {
	Version        uint64          `json:"mark"`
	EvacuatedZones []string        `json:"emptied"`
	Config         json.RawMessage `json:"config"`
}

type decisionLine struct {
	AtMs int64 `json:"atMs"`
	router.Decision
}

// longestLine is in bytes.
const longestLine = 2 << 20

// decide drives a router by the events of in and writes its decisions to out.
func decide(in io.Reader, out io.Writer, self, zone string) error {
	r := router.New(router.Defaults(self, "0", zone))
	sc := bufio.NewScanner(in)
	sc.Buffer(nil, longestLine)
	enc := json.NewEncoder(out)
	n, last := 0, int64(0)
	for sc.Scan() {
		n++
		atMs, ev, err := readEventLine(sc.Bytes(), last)
		if err != nil {
			return trace.Wrap(&LineError{Line: n, Cause: err})
		}
		last = atMs
		for _, d := range r.Step(time.Duration(last)*time.Millisecond, ev) {
			if err = enc.Encode(decisionLine{AtMs: last, Decision: d}); err != nil {
				return trace.Wrap(err)
			}
		}
	}
	if sc.Err() != nil {
		return trace.Wrap(&LineError{Line: n + 1, Cause: sc.Err()})
	}
	return nil
}

// TimeError is an event without a time, or with one before Least, in milliseconds.
type TimeError struct{ Least int64 }

func (e *TimeError) Error() string {
	return fmt.Sprintf("atMs: must be a number, at least %d", e.Least)
}

// readEventLine reads an event and its time, which is not before the last one's.
func readEventLine(raw []byte, last int64) (int64, router.Event, error) {
	var l eventLine
	var err error
	if err = strict(raw, &l); err != nil {
		return 0, nil, err
	}
	if l.AtMs == nil || *l.AtMs < last {
		return 0, nil, &TimeError{Least: last}
	}
	ev, err := event(l)
	return *l.AtMs, ev, err
}

// strict reads JSON without unknown fields; nothing reads as an empty object.
func strict(raw []byte, v any) error {
	if len(raw) == 0 {
		raw = []byte("{}")
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	return d.Decode(v)
}

// UnknownEventError names an event that there is not.
type UnknownEventError struct{ Name string }

func (e *UnknownEventError) Error() string { return "unknown event " + fmt.Sprintf("%q", e.Name) }

var eventReaders = map[string]func(raw []byte) (router.Event, error){
	"arrive": read[router.Arrival], "listing": read[router.Listing], "usage": read[router.LoadReport],
	"routers": read[router.Routers], "feed": read[router.ControlStatus], "leave": read[router.ReadyToSend],
	"head": read[router.ResponseHead], "piece": read[router.ResponseStarted], "end": read[router.AttemptEnded], "hangup": read[router.ClientDisconnected],
}

// event reads an event by its published name.
func event(l eventLine) (router.Event, error) {
	switch l.Event {
	case "order":
		return readSnapshot(l.Data)
	case "tick":
		return router.Tick{}, nil
	}
	readEvent, known := eventReaders[l.Event]
	if !known {
		return nil, &UnknownEventError{Name: l.Event}
	}
	return readEvent(l.Data)
}

func readSnapshot(raw []byte) (router.Event, error) {
	var o snapshotLine
	var err error
	if err = strict(raw, &o); err != nil {
		return nil, err
	}
	c, err := config.Read(o.Config)
	if err != nil {
		return nil, err
	}
	return router.SnapshotUpdate{Snapshot: &config.Snapshot{Version: o.Version, Config: c, EvacuatedZones: o.EvacuatedZones}}, nil
}

func read[T router.Event](raw []byte) (router.Event, error) {
	var v T
	err := strict(raw, &v)
	return v, err
}
