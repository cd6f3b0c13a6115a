package proxy_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge"
	"github.com/mallowbridge/mallowbridge/proxy"
)

var kinds = map[proxy.MoveKind]string{
	proxy.Connect: "connect", proxy.Write: "write", proxy.Park: "park", proxy.Drop: "drop", proxy.Drain: "drain", proxy.Pass: "pass",
}

func show(moves []proxy.Move) string {
	var all []string
	for _, m := range moves {
		switch m.Kind {
		case proxy.Tell:
			name := strings.TrimPrefix(fmt.Sprintf("%T", m.Event), "mallowbridge.")
			if e, ok := m.Event.(mallowbridge.End); ok {
				name += "(" + string(e.How) + ")"
			}
			all = append(all, name)
		case proxy.Finish:
			all = append(all, fmt.Sprint("finish", m.Outcome))
		default:
			all = append(all, kinds[m.Kind])
		}
	}
	return strings.Join(all, " ")
}

func place(id string) mallowbridge.Decision {
	return mallowbridge.Decision{Verdict: mallowbridge.Place, Go: id, Route: unsafe, Instance: "i1"}
}

func send(id string) mallowbridge.Decision {
	return mallowbridge.Decision{Verdict: mallowbridge.Send, Go: id}
}

func TestExchangeSteps(t *testing.T) {
	deny := mallowbridge.Decision{Verdict: mallowbridge.Deny, After: time.Second}
	again := place("b")
	again.Route = safe
	onward := place("b")
	onward.Resumes = true
	stream := proxy.Replied{Status: 200, Stream: true}
	for _, c := range []struct {
		name  string
		steps []any
		want  string
	}{
		{"short answer", []any{place("a"), proxy.Connected{}, send("a"), proxy.Replied{Status: 200}, proxy.Ended{}},
			"connect|Leave|write|Head pass|End(whole) finish1"},
		{"long answer", []any{place("a"), proxy.Connected{}, send("a"), proxy.Replied{Status: 200}, proxy.Begun{}, proxy.Ended{}},
			"connect|Leave|write|Head pass|Piece|End(whole) finish1"},
		{"recalled", []any{place("a"), proxy.Connected{}, mallowbridge.Decision{Verdict: mallowbridge.Recall, Go: "a"}, send("a"), deny},
			"connect|Leave|park||finish2"},
		{"denied before", []any{deny}, "finish2"},
		{"no path", []any{mallowbridge.Decision{Verdict: mallowbridge.Deny, Bad: true}}, "finish3"},
		{"had its go elsewhere", []any{mallowbridge.Decision{Verdict: mallowbridge.Deny, Repeat: true}}, "finish4"},
		{"lost, then denied", []any{place("a"), proxy.Connected{}, send("a"), proxy.Lost{}, deny},
			"connect|Leave|write|drop End(broken)|finish4"},
		{"denied while it may run", []any{place("a"), proxy.Connected{}, send("a"), deny}, "connect|Leave|write|drop finish4"},
		{"closed while it may run", []any{place("a"), proxy.Connected{}, send("a"), nil}, "connect|Leave|write|drop finish4"},
		{"closed before", []any{place("a"), proxy.Connected{}, nil}, "connect|Leave|drop finish2"},
		{"unwritten, then denied", []any{place("a"), proxy.Connected{}, send("a"), proxy.Unwritten{}, deny},
			"connect|Leave|write|drop End(unreached)|finish2"},
		{"refused, then denied", []any{place("a"), proxy.Connected{}, send("a"), proxy.Replied{Status: 503, NotRun: true}, proxy.Ended{}, deny},
			"connect|Leave|write|drain|End(refused)|finish2"},
		{"421", []any{place("a"), proxy.Connected{}, send("a"), proxy.Replied{Status: 421}, proxy.Lost{}, deny},
			"connect|Leave|write|Misplaced drain|drop End(refused)|finish2"},
		{"503 without proof", []any{place("a"), proxy.Connected{}, send("a"), proxy.Replied{Status: 503}, deny},
			"connect|Leave|write|drop End(broken)|finish4"},
		{"never twice", []any{place("a"), proxy.Connected{}, send("a"), proxy.Lost{}, place("b")},
			"connect|Leave|write|drop End(broken)|Hangup finish4"},
		{"twice where it may be", []any{place("a"), proxy.Connected{}, send("a"), proxy.Lost{}, again, proxy.Connected{}, send("b"), send("b")},
			"connect|Leave|write|drop End(broken)|connect|Leave|write|"},
		{"resumed", []any{place("a"), proxy.Connected{}, send("a"), stream, proxy.Begun{}, proxy.Lost{}, onward, proxy.Connected{}, send("b"), stream, proxy.Begun{}, proxy.Ended{}},
			"connect|Leave|write|Head pass|Piece|drop End(broken)|connect|Leave|write|Head pass|Piece|End(whole) finish1"},
		{"not resumed from the start", []any{place("a"), proxy.Connected{}, send("a"), stream, proxy.Begun{}, proxy.Lost{}, again},
			"connect|Leave|write|Head pass|Piece|drop End(broken)|Hangup finish6"},
		{"capped", []any{place("a"), proxy.Unconnected{Capped: true}, deny}, "connect|End(refused)|finish2"},
		{"overdue before the write", []any{place("a"), proxy.Connected{}, send("a"), proxy.Overdue{Unwritten: true}},
			"connect|Leave|write|Hangup drop finish2"},
		{"overdue", []any{place("a"), proxy.Connected{}, send("a"), proxy.Overdue{}}, "connect|Leave|write|Hangup drop finish5"},
		{"hung up", []any{place("a"), proxy.Connected{}, send("a"), proxy.HungUp{}}, "connect|Leave|write|Hangup drop finish7"},
	} {
		t.Run(c.name, func(t *testing.T) {
			e, said := proxy.Exchange{Request: "q"}, []string{}
			for _, s := range c.steps {
				said = append(said, show(step(&e, s)))
			}
			want(t, "moves", strings.Join(said, "|"), c.want)
		})
	}
}

func step(e *proxy.Exchange, s any) []proxy.Move {
	switch s := s.(type) {
	case mallowbridge.Decision:
		return e.Decided(s)
	case proxy.Signal:
		return e.Happened(s)
	}
	return e.Closed()
}

// judge holds an exchange to what must hold in any order of decisions and signals.
type judge struct {
	t                       *testing.T
	sends, writes, finishes int
	open, written, passing  bool
	began, mayRun           bool
	place                   mallowbridge.Decision
	steps                   []any
	moves                   [][]proxy.Move
}

func (j *judge) fail(why string) {
	var trace []string
	for i, s := range j.steps {
		trace = append(trace, fmt.Sprintf("%T%+v -> %s", s, s, show(j.moves[i])))
	}
	j.t.Fatalf("%s: %s", why, strings.Join(trace, "; "))
}

func (j *judge) step(e *proxy.Exchange, s any) {
	if d, ok := s.(mallowbridge.Decision); ok && d.Verdict == mallowbridge.Send {
		j.sends++
	}
	wasWritten, wasPassing := j.written, j.passing
	moves := step(e, s)
	j.steps, j.moves = append(j.steps, s), append(j.moves, moves)
	if len(moves) > 0 && j.finishes > 0 {
		j.fail("moves after the end")
	}
	if d, ok := s.(mallowbridge.Decision); ok && d.Verdict == mallowbridge.Place {
		j.place = d
	}
	r, replied := s.(proxy.Replied)
	overdue, isOverdue := s.(proxy.Overdue)
	if _, ok := s.(proxy.Unwritten); wasWritten && (ok || (isOverdue && overdue.Unwritten) || (replied && !r.Foreign && (r.NotRun || r.Status == 421))) {
		j.written = false
	}
	for _, m := range moves {
		j.move(m, s, wasPassing)
	}
	if _, ok := s.(proxy.Begun); ok && wasPassing && j.finishes == 0 {
		j.began = true
	}
}

func (j *judge) move(m proxy.Move, s any, wasPassing bool) {
	switch m.Kind {
	case proxy.Connect:
		if j.open {
			j.fail("two connections")
		}
		j.open = true
	case proxy.Write:
		again := j.place.Resumes || j.place.Route.Repeatable || j.place.Route.Resumable
		if j.writes++; j.writes > j.sends || !j.open || (j.mayRun && !again) {
			j.fail("written without leave")
		}
		j.written = true
	case proxy.Drop, proxy.Park:
		if m.Kind == proxy.Park && j.written {
			j.fail("a used connection is parked as unused")
		}
		j.mayRun = j.mayRun || j.written
		j.open, j.written, j.passing = false, false, false
	case proxy.Pass:
		if r := s.(proxy.Replied); r.NotRun || r.Foreign || r.Open || (r.Bare && r.Status/100 == 2) || (j.began && !r.Stream) || j.passing {
			j.fail("passed on what must not be")
		}
		j.passing = true
	case proxy.Tell:
		if end, ok := m.Event.(mallowbridge.End); ok {
			j.mayRun = j.mayRun || (j.written && end.How != mallowbridge.Refused && end.How != mallowbridge.Unreached)
			j.open, j.written, j.passing = false, false, false
		}
	case proxy.Finish:
		j.finish(m, s, wasPassing)
	}
}

func (j *judge) finish(m proxy.Move, s any, wasPassing bool) {
	_, ended := s.(proxy.Ended)
	switch j.finishes++; {
	case j.finishes > 1:
		j.fail("two ends")
	case m.Outcome == proxy.Done && !(ended && wasPassing):
		j.fail("a clean end that the replica did not give")
	case (m.Outcome == proxy.Denied || m.Outcome == proxy.NotFound) && (j.mayRun || j.written):
		j.fail("denied what may have run")
	case j.began && m.Outcome != proxy.Done && m.Outcome != proxy.Aborted && m.Outcome != proxy.Gone:
		j.fail("two answers")
	case j.open:
		j.fail("ended with a connection")
	}
}
