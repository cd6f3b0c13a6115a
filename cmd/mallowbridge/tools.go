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

	"github.com/mallowbridge/mallowbridge"
	"github.com/mallowbridge/mallowbridge/config"
)

type LineError struct {
	Line int
	Why  string
}

func (e *LineError) Error() (text string) { return fmt.Sprintf("line %d: %s", e.Line, e.Why) }

func tools(app *kingpin.Application, cmds map[string]command) {
	c := app.Command("decide", "Read events as JSON lines and write decisions as JSON lines.")
	self := c.Flag("self", "Name of this router.").Default("r1").String()
	domain := c.Flag("domain", "Domain of this router.").Default("a").String()
	cmds["decide"] = func(in io.Reader, out io.Writer) error { return decide(in, out, *self, *domain) }
}

type eventLine struct {
	AtMs  *int64          `json:"atMs"`
	Event string          `json:"event"`
	Data  json.RawMessage `json:"data"`
}

type orderLine struct {
	Mark    uint64          `json:"mark"`
	Emptied []string        `json:"emptied"`
	Config  json.RawMessage `json:"config"`
}

type decisionLine struct {
	AtMs int64 `json:"atMs"`
	mallowbridge.Decision
}

const longestLine = 2 << 20

func decide(in io.Reader, out io.Writer, self, domain string) (err error) {
	r := mallowbridge.New(mallowbridge.Defaults(self, "0", domain))
	sc := bufio.NewScanner(in)
	sc.Buffer(nil, longestLine)
	enc := json.NewEncoder(out)
	last := int64(0)
	n := 0
	for sc.Scan() {
		n++
		var l eventLine
		if err = strict(sc.Bytes(), &l); err != nil {
			return trace.Wrap(&LineError{Line: n, Why: err.Error()})
		}
		if l.AtMs == nil || *l.AtMs < last {
			return trace.Wrap(&LineError{Line: n, Why: fmt.Sprintf("atMs: must be a number, at least %d", last)})
		}
		last = *l.AtMs
		ev, err := event(l)
		if err != nil {
			return trace.Wrap(&LineError{Line: n, Why: err.Error()})
		}
		for _, d := range r.Step(time.Duration(last)*time.Millisecond, ev) {
			if err = enc.Encode(decisionLine{AtMs: last, Decision: d}); err != nil {
				return trace.Wrap(err)
			}
		}
	}
	if sc.Err() != nil {
		return trace.Wrap(&LineError{Line: n + 1, Why: sc.Err().Error()})
	}
	return nil
}

func strict(raw []byte, v any) (err error) {
	if len(raw) == 0 {
		raw = []byte("{}")
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	return d.Decode(v)
}

type EventError struct{ Name string }

func (e *EventError) Error() (text string) { return "unknown event " + fmt.Sprintf("%q", e.Name) }

func event(l eventLine) (ev mallowbridge.Event, err error) {
	switch l.Event {
	case "order":
		var o orderLine
		if err = strict(l.Data, &o); err != nil {
			return nil, err
		}
		c, err := config.Read(o.Config)
		if err != nil {
			return nil, err
		}
		return mallowbridge.Order{Picture: &config.Snapshot{Mark: o.Mark, Charter: c, Emptied: o.Emptied}}, nil
	case "arrive":
		return read[mallowbridge.Arrive](l.Data)
	case "listing":
		return read[mallowbridge.Listing](l.Data)
	case "usage":
		return read[mallowbridge.Usage](l.Data)
	case "routers":
		return read[mallowbridge.Routers](l.Data)
	case "feed":
		return read[mallowbridge.Feed](l.Data)
	case "leave":
		return read[mallowbridge.Leave](l.Data)
	case "head":
		return read[mallowbridge.Head](l.Data)
	case "piece":
		return read[mallowbridge.Piece](l.Data)
	case "end":
		return read[mallowbridge.End](l.Data)
	case "hangup":
		return read[mallowbridge.Hangup](l.Data)
	case "tick":
		return mallowbridge.Tick{}, nil
	}
	return nil, &EventError{Name: l.Event}
}

func read[T mallowbridge.Event](raw []byte) (ev mallowbridge.Event, err error) {
	var v T
	err = strict(raw, &v)
	return v, err
}
