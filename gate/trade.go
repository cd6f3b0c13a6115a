package gate

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/mallowbridge/mallowbridge"
)

const bytesPerToken = 4

type trade struct {
	g      *Gate
	x      *Exchange
	course *course
	began  bool
	piece  bool
	enc    *json.Encoder
	ctl    *http.ResponseController
}

func (g *Gate) trade(x *Exchange) (answered bool) {
	in := g.desk.Submit(mallowbridge.Arrive{
		Request: x.request, Offer: x.r.Param("offer"), Kind: x.r.Param("kind"), Prefix: x.prefix, Tail: len(x.body) / bytesPerToken,
	})
	t := &trade{g: g, x: x, enc: json.NewEncoder(x.w), ctl: http.NewResponseController(x.w)}
	defer t.drop()
	defer func() { _ = t.ctl.SetWriteDeadline(time.Time{}) }()
	for {
		var steps chan step
		if t.course != nil {
			steps = t.course.steps
		}
		select {
		case <-x.r.Context().Done():
			g.N.Hangups.Add(1)
			g.desk.Tell(mallowbridge.Hangup{Request: x.request})
			return true
		case d := <-in:
			if t.decided(d) {
				return true
			}
		case s := <-steps:
			t.stepped(s)
		}
	}
}

func (t *trade) drop() {
	if t.course != nil {
		t.course.stop()
		t.course = nil
	}
}

func (t *trade) decided(d mallowbridge.Decision) (final bool) {
	g, x := t.g, t.x
	if t.course != nil && d.Go != "" && d.Go != t.course.place.Go && d.Verdict != mallowbridge.Place {
		return false
	}
	switch d.Verdict {
	case mallowbridge.Place:
		t.drop()
		t.course, t.piece = g.start(x, d), false
	case mallowbridge.Send:
		if t.course != nil {
			t.course.permit <- true
		}
	case mallowbridge.Recall, mallowbridge.Cancel:
		t.drop()
	case mallowbridge.Deny:
		switch {
		case d.Bad:
			return g.bad(x, http.StatusNotFound, d.Why)
		case d.Repeat:
			g.N.Repeats.Add(1)
			g.say(x, http.StatusConflict, Outcome{Outcome: "repeat", Why: d.Why}, 0)
			return true
		}
		return g.deny(x, d.Why, d.After)
	case mallowbridge.Unknown:
		g.N.Unknown.Add(1)
		if t.began {
			panic(http.ErrAbortHandler)
		}
		g.say(x, http.StatusBadGateway, Outcome{Outcome: "unknown", Go: d.Go, Why: d.Why}, d.After)
		return true
	case mallowbridge.Partial:
		g.N.Partial.Add(1)
		panic(http.ErrAbortHandler)
	case mallowbridge.Done:
		g.N.Done.Add(1)
		return true
	}
	return false
}

func (t *trade) stepped(s step) {
	req, id := t.x.request, t.course.place.Go
	desk := t.g.desk
	switch {
	case s.leave:
		desk.Tell(mallowbridge.Leave{Request: req, Go: id})
	case s.end != "":
		if s.end == mallowbridge.Broken {
			t.g.N.Breaks.Add(1)
		}
		t.drop()
		desk.Tell(mallowbridge.End{Request: req, Go: id, How: s.end})
	default:
		t.line(s.line, req, id, desk)
	}
}

func (t *trade) line(l mallowbridge.Line, req, id string, desk *mallowbridge.Desk) {
	if !t.piece {
		t.piece = true
		desk.Tell(mallowbridge.Head{Request: req, Go: id, InstanceID: l.InstanceID})
	}
	if l.Piece == nil && !l.End {
		return
	}
	if !t.began {
		t.began = true
		desk.Tell(mallowbridge.Piece{Request: req, Go: id})
		h := t.x.w.Header()
		h.Set("Content-Type", "application/x-ndjson")
		h.Set("X-Request-Id", req)
		h.Set("X-Request-Attempt-Id", id)
		t.x.w.WriteHeader(http.StatusOK)
	}
	l.Request = req
	_ = t.ctl.SetWriteDeadline(time.Now().Add(t.g.limits.Write))
	if t.enc.Encode(l) != nil || t.ctl.Flush() != nil {
		desk.Tell(mallowbridge.Hangup{Request: req})
		panic(http.ErrAbortHandler)
	}
}
