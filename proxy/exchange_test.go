package proxy_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/proxy"
	"github.com/mallowbridge/mallowbridge/router"
)

var kinds = map[proxy.ActionKind]string{
	proxy.Connect: "connect", proxy.WriteRequest: "write", proxy.ReleaseConnection: "park", proxy.CloseConnection: "drop", proxy.DiscardResponse: "drain", proxy.ForwardResponse: "pass",
}

func show(actions []proxy.Action) string {
	var all []string
	for _, m := range actions {
		switch m.Kind {
		case proxy.NotifyRouter:
			name := strings.TrimPrefix(fmt.Sprintf("%T", m.Event), "router.")
			if e, ok := m.Event.(router.AttemptEnded); ok {
				name += "(" + string(e.Result) + ")"
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

func place(id string) router.Decision {
	return router.Decision{Verdict: router.Place, AttemptID: id, Route: unsafe, Instance: "i1"}
}

func send(id string) router.Decision {
	return router.Decision{Verdict: router.Send, AttemptID: id}
}

func TestExchangeSteps(t *testing.T) {
	deny := router.Decision{Verdict: router.Reject, RetryAfter: time.Second}
	repeated := place("b")
	repeated.Route = safe
	repeatable := place("a")
	repeatable.Route = safe
	resumable := place("a")
	resumable.Route = streams
	onward := place("b")
	onward.Route, onward.Resumes = streams, true
	stream := proxy.ResponseHeadRead{Status: 200, Stream: true}
	for _, c := range []struct {
		name  string
		steps []any
		want  string
	}{
		{"short answer", []any{place("a"), proxy.Connected{}, send("a"), proxy.ResponseHeadRead{Status: 200}, proxy.ResponseEnded{}},
			"connect|ReadyToSend|write|AnswerHead pass|AttemptEnded(whole) finish1"},
		{"long answer", []any{place("a"), proxy.Connected{}, send("a"), proxy.ResponseHeadRead{Status: 200}, proxy.ResponseStarted{}, proxy.ResponseEnded{}},
			"connect|ReadyToSend|write|AnswerHead pass|AnswerStarted|AttemptEnded(whole) finish1"},
		{"recalled", []any{place("a"), proxy.Connected{}, router.Decision{Verdict: router.CancelBeforeSend, AttemptID: "a"}, send("a"), deny},
			"connect|ReadyToSend|park||finish2"},
		{"denied before", []any{deny}, "finish2"},
		{"no path", []any{router.Decision{Verdict: router.Reject, Invalid: true}}, "finish3"},
		{"had its go elsewhere", []any{router.Decision{Verdict: router.Reject, Repeat: true}}, "finish4"},
		{"lost, then denied", []any{place("a"), proxy.Connected{}, send("a"), proxy.ConnectionLost{}, deny},
			"connect|ReadyToSend|write|drop AttemptEnded(broken)|finish4"},
		{"denied while it may run", []any{place("a"), proxy.Connected{}, send("a"), deny}, "connect|ReadyToSend|write|drop finish4"},
		{"closed while it may run", []any{place("a"), proxy.Connected{}, send("a"), nil}, "connect|ReadyToSend|write|drop finish4"},
		{"closed before", []any{place("a"), proxy.Connected{}, nil}, "connect|ReadyToSend|drop finish2"},
		{"unwritten, then denied", []any{place("a"), proxy.Connected{}, send("a"), proxy.Unwritten{}, deny},
			"connect|ReadyToSend|write|drop AttemptEnded(unreached)|finish2"},
		{"refused, then denied", []any{place("a"), proxy.Connected{}, send("a"), proxy.ResponseHeadRead{Status: 503, NotExecuted: true}, proxy.ResponseEnded{}, deny},
			"connect|ReadyToSend|write|drain|AttemptEnded(refused)|finish2"},
		{"421", []any{place("a"), proxy.Connected{}, send("a"), proxy.ResponseHeadRead{Status: 421}, proxy.ConnectionLost{}, deny},
			"connect|ReadyToSend|write|WrongInstance drain|drop AttemptEnded(refused)|finish2"},
		{"503 without proof", []any{place("a"), proxy.Connected{}, send("a"), proxy.ResponseHeadRead{Status: 503}, deny},
			"connect|ReadyToSend|write|drop AttemptEnded(broken)|finish4"},
		{"never twice", []any{place("a"), proxy.Connected{}, send("a"), proxy.ConnectionLost{}, place("b")},
			"connect|ReadyToSend|write|drop AttemptEnded(broken)|ClientDisconnected finish4"},
		{"twice where it may be", []any{repeatable, proxy.Connected{}, send("a"), proxy.ConnectionLost{}, repeated, proxy.Connected{}, send("b"), send("b")},
			"connect|ReadyToSend|write|drop AttemptEnded(broken)|connect|ReadyToSend|write|"},
		{"resumed", []any{resumable, proxy.Connected{}, send("a"), stream, proxy.ResponseStarted{}, proxy.ConnectionLost{}, onward, proxy.Connected{}, send("b"), stream, proxy.ResponseStarted{}, proxy.ResponseEnded{}},
			"connect|ReadyToSend|write|AnswerHead pass|AnswerStarted|drop AttemptEnded(broken)|connect|ReadyToSend|write|AnswerHead pass|AnswerStarted|AttemptEnded(whole) finish1"},
		{"not resumed where the route became resumable later", []any{place("a"), proxy.Connected{}, send("a"), stream, proxy.ResponseStarted{}, proxy.ConnectionLost{}, onward},
			"connect|ReadyToSend|write|AnswerHead pass|AnswerStarted|drop AttemptEnded(broken)|ClientDisconnected finish6"},
		{"not repeated where the route became repeatable later", []any{place("a"), proxy.Connected{}, send("a"), proxy.ConnectionLost{}, repeated},
			"connect|ReadyToSend|write|drop AttemptEnded(broken)|ClientDisconnected finish4"},
		{"not resumed from the start", []any{resumable, proxy.Connected{}, send("a"), stream, proxy.ResponseStarted{}, proxy.ConnectionLost{}, repeated},
			"connect|ReadyToSend|write|AnswerHead pass|AnswerStarted|drop AttemptEnded(broken)|ClientDisconnected finish6"},
		{"capped", []any{place("a"), proxy.ConnectFailed{AtConnectionLimit: true}, deny}, "connect|AttemptEnded(refused)|finish2"},
		{"overdue before the write", []any{place("a"), proxy.Connected{}, send("a"), proxy.DeadlinePassed{Unwritten: true}},
			"connect|ReadyToSend|write|ClientDisconnected drop finish2"},
		{"overdue", []any{place("a"), proxy.Connected{}, send("a"), proxy.DeadlinePassed{}}, "connect|ReadyToSend|write|ClientDisconnected drop finish5"},
		{"hung up", []any{place("a"), proxy.Connected{}, send("a"), proxy.ClientDisconnected{}}, "connect|ReadyToSend|write|ClientDisconnected drop finish7"},
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

func step(e *proxy.Exchange, s any) []proxy.Action {
	switch s := s.(type) {
	case router.Decision:
		return e.HandleDecision(s)
	case proxy.Signal:
		return e.HandleSignal(s)
	}
	return e.HandleRouterClosed()
}

// judge holds an exchange to what must hold in any order of decisions and signals.
type judge struct {
	t                       *testing.T
	sends, writes, finishes int
	open, written, passing  bool
	began, mayRun           bool
	// route is that of the first placement.
	route *config.Route
	steps []any
	moves [][]proxy.Action
}

func (j *judge) fail(why string) {
	var trace []string
	for i, s := range j.steps {
		trace = append(trace, fmt.Sprintf("%T%+v -> %s", s, s, show(j.moves[i])))
	}
	j.t.Fatalf("%s: %s", why, strings.Join(trace, "; "))
}

func (j *judge) step(e *proxy.Exchange, s any) {
	if d, ok := s.(router.Decision); ok && d.Verdict == router.Send {
		j.sends++
	}
	wasWritten, wasPassing := j.written, j.passing
	actions := step(e, s)
	j.steps, j.moves = append(j.steps, s), append(j.moves, actions)
	if len(actions) > 0 && j.finishes > 0 {
		j.fail("moves after the end")
	}
	if d, ok := s.(router.Decision); ok && d.Verdict == router.Place {
		if j.route == nil {
			j.route = d.Route
		}
	}
	r, replied := s.(proxy.ResponseHeadRead)
	overdue, isOverdue := s.(proxy.DeadlinePassed)
	if _, ok := s.(proxy.Unwritten); wasWritten && (ok || (isOverdue && overdue.Unwritten) || (replied && !r.Mismatched && (r.NotExecuted || r.Status == 421))) {
		j.written = false
	}
	for _, m := range actions {
		j.checkAction(m, s, wasPassing)
	}
	if _, ok := s.(proxy.ResponseStarted); ok && wasPassing && j.finishes == 0 {
		j.began = true
	}
}

func (j *judge) checkAction(m proxy.Action, s any, wasPassing bool) {
	switch m.Kind {
	case proxy.Connect:
		if j.open {
			j.fail("two connections")
		}
		j.open = true
	case proxy.WriteRequest:
		repeated := j.route.Repeatable || j.route.Resumable
		if j.writes++; j.writes > j.sends || !j.open || (j.mayRun && !repeated) {
			j.fail("written without leave")
		}
		j.written = true
	case proxy.CloseConnection, proxy.ReleaseConnection:
		if m.Kind == proxy.ReleaseConnection && j.written {
			j.fail("a used connection is parked as unused")
		}
		j.mayRun = j.mayRun || j.written
		j.open, j.written, j.passing = false, false, false
	case proxy.ForwardResponse:
		if r := s.(proxy.ResponseHeadRead); r.NotExecuted || r.Mismatched || r.CloseDelimited || (r.Unsealed && r.Status/100 == 2) || (j.began && !r.Stream) || j.passing {
			j.fail("passed on what must not be")
		}
		j.passing = true
	case proxy.NotifyRouter:
		if end, ok := m.Event.(router.AttemptEnded); ok {
			j.mayRun = j.mayRun || (j.written && end.Result != router.Refused && end.Result != router.NotSent)
			j.open, j.written, j.passing = false, false, false
		}
	case proxy.Finish:
		j.finish(m, s, wasPassing)
	}
}

func (j *judge) finish(m proxy.Action, s any, wasPassing bool) {
	_, ended := s.(proxy.ResponseEnded)
	switch j.finishes++; {
	case j.finishes > 1:
		j.fail("two ends")
	case m.Outcome == proxy.Completed && !(ended && wasPassing):
		j.fail("a clean end that the replica did not give")
	case (m.Outcome == proxy.Rejected || m.Outcome == proxy.NotFound) && (j.mayRun || j.written):
		j.fail("denied what may have run")
	case j.began && m.Outcome != proxy.Completed && m.Outcome != proxy.Aborted && m.Outcome != proxy.AbandonedByClient:
		j.fail("two answers")
	case j.open:
		j.fail("ended with a connection")
	}
}
