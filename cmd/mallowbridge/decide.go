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

// LineError is the error for an invalid line of input. Lines are numbered from 1.
type LineError struct {
	Line  int
	Cause error
}

func (e *LineError) Error() string { return fmt.Sprintf("line %d: %s", e.Line, e.Cause.Error()) }

// addDecideCommand adds the command that runs a router on events from standard input.
func addDecideCommand(app *kingpin.Application, cmds map[string]command) {
	c := app.Command("decide", "Read router events as JSON lines and write the router's decisions as JSON lines.")
	self := c.Flag("self", "Name of the router.").Default("r1").String()
	domain := c.Flag("domain", "Zone of the router.").Default("a").String()
	cmds["decide"] = func(in io.Reader, out io.Writer) error { return decide(in, out, *self, *domain) }
}

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Cause }

// The JSON names below are part of the published format. An "order" event is a snapshot, "mark" its version, and "emptied" the evacuated
// zones.
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

// maxLineBytes is the maximum length of an input line.
const maxLineBytes = 2 << 20

// decide passes the events from in to a router and writes the router's decisions to out.
func decide(in io.Reader, out io.Writer, self, zone string) error {
	r := router.New(router.Defaults(self, "0", zone))
	sc := bufio.NewScanner(in)
	sc.Buffer(nil, maxLineBytes)
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

// TimeError is the error for an event without a time, or with a time before Least: the time of the previous event, in milliseconds.
type TimeError struct{ Least int64 }

func (e *TimeError) Error() string {
	return fmt.Sprintf("atMs: must be a number, at least %d", e.Least)
}

// readEventLine parses an event and its time in milliseconds, which must not be before last, the time of the previous event.
func readEventLine(raw []byte, last int64) (int64, router.Event, error) {
	var l eventLine
	var err error
	if err = decodeStrict(raw, &l); err != nil {
		return 0, nil, err
	}
	if l.AtMs == nil || *l.AtMs < last {
		return 0, nil, &TimeError{Least: last}
	}
	ev, err := parseEvent(l)
	return *l.AtMs, ev, err
}

// decodeStrict parses JSON and rejects unknown fields. Empty input reads as an empty object.
func decodeStrict(raw []byte, v any) error {
	if len(raw) == 0 {
		raw = []byte("{}")
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	return d.Decode(v)
}

// UnknownEventError is the error for an event whose name does not exist.
type UnknownEventError struct{ Name string }

func (e *UnknownEventError) Error() string { return "unknown event " + fmt.Sprintf("%q", e.Name) }

// eventDecoders maps the published names of events to their decoders. parseEvent handles "order" and "tick" itself.
var eventDecoders = map[string]func(raw []byte) (router.Event, error){
	"arrive": decodeEvent[router.Arrival], "listing": decodeEvent[router.Listing], "usage": decodeEvent[router.LoadReport],
	"routers": decodeEvent[router.Routers], "feed": decodeEvent[router.ControlStatus], "leave": decodeEvent[router.ReadyToSend],
	"head": decodeEvent[router.ResponseHead], "piece": decodeEvent[router.ResponseStarted], "end": decodeEvent[router.AttemptEnded], "hangup": decodeEvent[router.ClientDisconnected],
}

// parseEvent parses the data of an event according to the event's published name.
func parseEvent(l eventLine) (router.Event, error) {
	switch l.Event {
	case "order":
		return readSnapshot(l.Data)
	case "tick":
		return router.Tick{}, nil
	}
	decode, known := eventDecoders[l.Event]
	if !known {
		return nil, &UnknownEventError{Name: l.Event}
	}
	return decode(l.Data)
}

// readSnapshot parses the data of an "order" event.
func readSnapshot(raw []byte) (router.Event, error) {
	var line snapshotLine
	var err error
	if err = decodeStrict(raw, &line); err != nil {
		return nil, err
	}
	c, err := config.Read(line.Config)
	if err != nil {
		return nil, err
	}
	return router.SnapshotUpdate{Snapshot: &config.Snapshot{Version: line.Version, Config: c, EvacuatedZones: line.EvacuatedZones}}, nil
}

// decodeEvent parses the data of an event of type T.
func decodeEvent[T router.Event](raw []byte) (router.Event, error) {
	var v T
	err := decodeStrict(raw, &v)
	return v, err
}
