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

var actionNames = map[proxy.ActionKind]string{
	proxy.Connect: "connect", proxy.WriteRequest: "write", proxy.ReleaseConnection: "release", proxy.CloseConnection: "close", proxy.DiscardResponse: "discard", proxy.ForwardResponse: "forward",
}

func describeActions(actions []proxy.Action) string {
	var all []string
	for _, action := range actions {
		switch action.Kind {
		case proxy.NotifyRouter:
			name := strings.TrimPrefix(fmt.Sprintf("%T", action.Event), "router.")
			if e, ok := action.Event.(router.AttemptEnded); ok {
				name += "(" + string(e.Result) + ")"
			}
			all = append(all, name)
		case proxy.Finish:
			all = append(all, fmt.Sprint("finish", action.Outcome))
		default:
			all = append(all, actionNames[action.Kind])
		}
	}
	return strings.Join(all, " ")
}

func placeDecision(id string) router.Decision {
	return router.Decision{Verdict: router.Place, AttemptID: id, Route: onceRoute, Instance: "i1"}
}

func sendDecision(id string) router.Decision {
	return router.Decision{Verdict: router.Send, AttemptID: id}
}

func TestExchangeSteps(t *testing.T) {
	reject := router.Decision{Verdict: router.Reject, RetryAfter: time.Second}
	second := placeDecision("b")
	second.Route = idempotentRoute
	first := placeDecision("a")
	first.Route = idempotentRoute
	resumable := placeDecision("a")
	resumable.Route = streamRoute
	resuming := placeDecision("b")
	resuming.Route, resuming.Resumes = streamRoute, true
	stream := proxy.ResponseHeadRead{Status: 200, Stream: true}
	for _, c := range []struct {
		name  string
		steps []any
		want  string
	}{
		{"short response", []any{placeDecision("a"), proxy.Connected{}, sendDecision("a"), proxy.ResponseHeadRead{Status: 200}, proxy.ResponseEnded{}},
			"connect|ReadyToSend|write|ResponseHead forward|AttemptEnded(whole) finish1"},
		{"long response", []any{placeDecision("a"), proxy.Connected{}, sendDecision("a"), proxy.ResponseHeadRead{Status: 200}, proxy.ResponseStarted{}, proxy.ResponseEnded{}},
			"connect|ReadyToSend|write|ResponseHead forward|ResponseStarted|AttemptEnded(whole) finish1"},
		{"canceled before send", []any{placeDecision("a"), proxy.Connected{}, router.Decision{Verdict: router.CancelBeforeSend, AttemptID: "a"}, sendDecision("a"), reject},
			"connect|ReadyToSend|release||finish2"},
		{"rejected before placement", []any{reject}, "finish2"},
		{"no route", []any{router.Decision{Verdict: router.Reject, Invalid: true}}, "finish3"},
		{"had its attempt elsewhere", []any{router.Decision{Verdict: router.Reject, Duplicate: true}}, "finish4"},
		{"connection lost, then rejected", []any{placeDecision("a"), proxy.Connected{}, sendDecision("a"), proxy.ConnectionLost{}, reject},
			"connect|ReadyToSend|write|close AttemptEnded(broken)|finish4"},
		{"rejected while it may run", []any{placeDecision("a"), proxy.Connected{}, sendDecision("a"), reject}, "connect|ReadyToSend|write|close finish4"},
		{"decisions closed while it may run", []any{placeDecision("a"), proxy.Connected{}, sendDecision("a"), nil}, "connect|ReadyToSend|write|close finish4"},
		{"decisions closed before the write", []any{placeDecision("a"), proxy.Connected{}, nil}, "connect|ReadyToSend|close finish2"},
		{"unwritten, then rejected", []any{placeDecision("a"), proxy.Connected{}, sendDecision("a"), proxy.Unwritten{}, reject},
			"connect|ReadyToSend|write|close AttemptEnded(unreached)|finish2"},
		{"refused, then rejected", []any{placeDecision("a"), proxy.Connected{}, sendDecision("a"), proxy.ResponseHeadRead{Status: 503, NotExecuted: true}, proxy.ResponseEnded{}, reject},
			"connect|ReadyToSend|write|discard|AttemptEnded(refused)|finish2"},
		{"421", []any{placeDecision("a"), proxy.Connected{}, sendDecision("a"), proxy.ResponseHeadRead{Status: 421}, proxy.ConnectionLost{}, reject},
			"connect|ReadyToSend|write|WrongInstance discard|close AttemptEnded(refused)|finish2"},
		{"503 without proof", []any{placeDecision("a"), proxy.Connected{}, sendDecision("a"), proxy.ResponseHeadRead{Status: 503}, reject},
			"connect|ReadyToSend|write|close AttemptEnded(broken)|finish4"},
		{"not sent twice", []any{placeDecision("a"), proxy.Connected{}, sendDecision("a"), proxy.ConnectionLost{}, placeDecision("b")},
			"connect|ReadyToSend|write|close AttemptEnded(broken)|ClientDisconnected finish4"},
		{"sent twice where the route allows it", []any{first, proxy.Connected{}, sendDecision("a"), proxy.ConnectionLost{}, second, proxy.Connected{}, sendDecision("b"), sendDecision("b")},
			"connect|ReadyToSend|write|close AttemptEnded(broken)|connect|ReadyToSend|write|"},
		{"resumed", []any{resumable, proxy.Connected{}, sendDecision("a"), stream, proxy.ResponseStarted{}, proxy.ConnectionLost{}, resuming, proxy.Connected{}, sendDecision("b"), stream, proxy.ResponseStarted{}, proxy.ResponseEnded{}},
			"connect|ReadyToSend|write|ResponseHead forward|ResponseStarted|close AttemptEnded(broken)|connect|ReadyToSend|write|ResponseHead forward|ResponseStarted|AttemptEnded(whole) finish1"},
		{"not resumed where the route became resumable later", []any{placeDecision("a"), proxy.Connected{}, sendDecision("a"), stream, proxy.ResponseStarted{}, proxy.ConnectionLost{}, resuming},
			"connect|ReadyToSend|write|ResponseHead forward|ResponseStarted|close AttemptEnded(broken)|ClientDisconnected finish6"},
		{"not retried where the route became idempotent later", []any{placeDecision("a"), proxy.Connected{}, sendDecision("a"), proxy.ConnectionLost{}, second},
			"connect|ReadyToSend|write|close AttemptEnded(broken)|ClientDisconnected finish4"},
		{"not restarted after its first bytes", []any{resumable, proxy.Connected{}, sendDecision("a"), stream, proxy.ResponseStarted{}, proxy.ConnectionLost{}, second},
			"connect|ReadyToSend|write|ResponseHead forward|ResponseStarted|close AttemptEnded(broken)|ClientDisconnected finish6"},
		{"connection limit", []any{placeDecision("a"), proxy.ConnectFailed{AtConnectionLimit: true}, reject}, "connect|AttemptEnded(refused)|finish2"},
		{"deadline passed before the write", []any{placeDecision("a"), proxy.Connected{}, sendDecision("a"), proxy.DeadlinePassed{Unwritten: true}},
			"connect|ReadyToSend|write|ClientDisconnected close finish2"},
		{"deadline passed", []any{placeDecision("a"), proxy.Connected{}, sendDecision("a"), proxy.DeadlinePassed{}}, "connect|ReadyToSend|write|ClientDisconnected close finish5"},
		{"client disconnected", []any{placeDecision("a"), proxy.Connected{}, sendDecision("a"), proxy.ClientDisconnected{}}, "connect|ReadyToSend|write|ClientDisconnected close finish7"},
	} {
		t.Run(c.name, func(t *testing.T) {
			e, described := proxy.Exchange{Request: "q"}, []string{}
			for _, s := range c.steps {
				described = append(described, describeActions(apply(&e, s)))
			}
			want(t, "actions", strings.Join(described, "|"), c.want)
		})
	}
}

func apply(e *proxy.Exchange, s any) []proxy.Action {
	switch s := s.(type) {
	case router.Decision:
		return e.HandleDecision(s)
	case proxy.Signal:
		return e.HandleSignal(s)
	}
	return e.HandleRouterClosed()
}

// invariantChecker checks what must hold for an exchange whatever the order of decisions and signals.
type invariantChecker struct {
	t                              *testing.T
	sends, writes, finishes        int
	connected, written, forwarding bool
	responseStarted, mayRun        bool
	// route is the route of the first placement.
	route   *config.Route
	steps   []any
	actions [][]proxy.Action
}

func (checker *invariantChecker) fail(why string) {
	var trace []string
	for i, s := range checker.steps {
		trace = append(trace, fmt.Sprintf("%T%+v -> %s", s, s, describeActions(checker.actions[i])))
	}
	checker.t.Fatalf("%s: %s", why, strings.Join(trace, "; "))
}

func (checker *invariantChecker) step(e *proxy.Exchange, s any) {
	if decision, ok := s.(router.Decision); ok && decision.Verdict == router.Send {
		checker.sends++
	}
	wasWritten, wasForwarding := checker.written, checker.forwarding
	actions := apply(e, s)
	checker.steps, checker.actions = append(checker.steps, s), append(checker.actions, actions)
	if len(actions) > 0 && checker.finishes > 0 {
		checker.fail("actions after the end")
	}
	if decision, ok := s.(router.Decision); ok && decision.Verdict == router.Place {
		if checker.route == nil {
			checker.route = decision.Route
		}
	}
	head, isHead := s.(proxy.ResponseHeadRead)
	overdue, isOverdue := s.(proxy.DeadlinePassed)
	if _, ok := s.(proxy.Unwritten); wasWritten && (ok || (isOverdue && overdue.Unwritten) || (isHead && !head.Mismatched && (head.NotExecuted || head.Status == 421))) {
		checker.written = false
	}
	for _, action := range actions {
		checker.checkAction(action, s, wasForwarding)
	}
	if _, ok := s.(proxy.ResponseStarted); ok && wasForwarding && checker.finishes == 0 {
		checker.responseStarted = true
	}
}

func (checker *invariantChecker) checkAction(action proxy.Action, s any, wasForwarding bool) {
	switch action.Kind {
	case proxy.Connect:
		if checker.connected {
			checker.fail("two connections")
		}
		checker.connected = true
	case proxy.WriteRequest:
		retryable := checker.route.Idempotent || checker.route.Resumable
		if checker.writes++; checker.writes > checker.sends || !checker.connected || (checker.mayRun && !retryable) {
			checker.fail("written without permission")
		}
		checker.written = true
	case proxy.CloseConnection, proxy.ReleaseConnection:
		if action.Kind == proxy.ReleaseConnection && checker.written {
			checker.fail("a used connection is released as unused")
		}
		checker.mayRun = checker.mayRun || checker.written
		checker.connected, checker.written, checker.forwarding = false, false, false
	case proxy.ForwardResponse:
		if r := s.(proxy.ResponseHeadRead); r.NotExecuted || r.Mismatched || r.CloseDelimited || (r.Unsealed && r.Status/100 == 2) || (checker.responseStarted && !r.Stream) || checker.forwarding {
			checker.fail("a response is forwarded that must not be")
		}
		checker.forwarding = true
	case proxy.NotifyRouter:
		if end, ok := action.Event.(router.AttemptEnded); ok {
			checker.mayRun = checker.mayRun || (checker.written && end.Result != router.Refused && end.Result != router.NotSent)
			checker.connected, checker.written, checker.forwarding = false, false, false
		}
	case proxy.Finish:
		checker.finish(action, s, wasForwarding)
	}
}

func (checker *invariantChecker) finish(action proxy.Action, s any, wasForwarding bool) {
	_, ended := s.(proxy.ResponseEnded)
	switch checker.finishes++; {
	case checker.finishes > 1:
		checker.fail("ended twice")
	case action.Outcome == proxy.Completed && !(ended && wasForwarding):
		checker.fail("completed although the replica did not end the response")
	case (action.Outcome == proxy.Rejected || action.Outcome == proxy.NotFound) && (checker.mayRun || checker.written):
		checker.fail("rejected a request that may have run")
	case checker.responseStarted && action.Outcome != proxy.Completed && action.Outcome != proxy.Aborted && action.Outcome != proxy.AbandonedByClient:
		checker.fail("two responses")
	case checker.connected:
		checker.fail("ended with an open connection")
	}
}
