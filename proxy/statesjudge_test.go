package proxy

import (
	"strings"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/router"
)

// responseProves returns whether the named response belongs to this request and whether it proves that the request did not run.
func responseProves(name string) (accepted, refuses bool) {
	accepted = !strings.HasPrefix(name, "another's")
	return accepted, accepted && (name == "503 with proof" || name == "421")
}

// checkStep applies the actions of one step to the world. It returns the rule that they break, or an empty string.
func (w *world) checkStep(e *Exchange, route *config.Route, before phase, name string, actions []Action) string {
	if w.finalActions > 0 && len(actions) > 0 {
		return "actions after the final response"
	}
	if before == written && w.current == attemptMayRun {
		switch _, refuses := responseProves(name); {
		case refuses:
			w.current = attemptRefused
		case name == "reset before the write", name == "time over before the write":
			w.current = attemptUnwritten
		}
	}
	for _, action := range actions {
		if violation := w.applyAction(route, before, name, action); violation != "" {
			return violation
		}
	}
	if name == "first bytes" && before == forwarding && w.finalActions == 0 {
		w.responseReceived()
	}
	if e.Finished() != (w.finalActions == 1) {
		return "finished without a final response"
	}
	return ""
}

// responseReceived records what kind of response the client has once the first bytes of an attempt reach it.
func (w *world) responseReceived() {
	w.clientHas = contentNonStream
	if w.forwardingStream {
		w.clientHas = contentStream
	}
}

// attemptEnded records that the current attempt is over.
func (w *world) attemptEnded() {
	w.mayRun = w.mayRun || w.current == attemptMayRun
	w.current, w.forwardingStream, w.sendPermitted = attemptUnwritten, false, 0
}

func (w *world) applyAction(route *config.Route, before phase, name string, action Action) string {
	switch action.Kind {
	case Connect:
		return w.connect()
	case WriteRequest:
		return w.write(route)
	case ReleaseConnection:
		if w.current != attemptUnwritten {
			return "a connection that carries a request is released as unused"
		}
		w.connected = false
	case CloseConnection:
		w.connected = false
		w.attemptEnded()
	case DiscardResponse:
		if _, refuses := responseProves(name); !refuses {
			return "discarded a response that is not a refusal"
		}
	case ForwardResponse:
		return w.forward(name)
	case NotifyRouter:
		if end, ok := action.Event.(router.AttemptEnded); ok {
			return w.routerNotified(end)
		}
	case Finish:
		return w.finish(before, name, action)
	}
	return ""
}

func (w *world) connect() string {
	if w.connected {
		return "two connections"
	}
	w.connected = true
	w.attemptEnded()
	return ""
}

func (w *world) write(route *config.Route) string {
	switch {
	case !w.connected || w.sendPermitted == 0:
		return "written without permission"
	case w.mayRun && !route.Idempotent && !route.Resumable:
		return "a request that must not be sent twice may run twice"
	case w.current != attemptUnwritten:
		return "written twice to one replica"
	}
	w.current = attemptMayRun
	return ""
}

func (w *world) forward(name string) string {
	accepted, refuses := responseProves(name)
	stream := name == "stream"
	switch {
	case !accepted:
		return "another request's response is forwarded"
	case refuses, strings.HasSuffix(name, "without proof"):
		return "a statement that the request did not run is forwarded as a response"
	case name == "response without length", name == "response without seal":
		return "a response that may be incomplete is forwarded"
	case w.clientHas == contentNonStream, w.clientHas == contentStream && !stream:
		return "two responses are joined"
	case w.clientHas == contentStream && !w.exchangeResumes():
		return "a stream starts again after its first part"
	}
	w.forwardingStream = stream
	return ""
}

// exchangeResumes reports whether the newest placement continues after the last event forwarded, and all events forwarded had ids.
func (w *world) exchangeResumes() bool {
	return w.exchange.placement.resumes && !w.exchange.cannotResume
}

func (w *world) routerNotified(end router.AttemptEnded) string {
	if (end.Result == router.NotSent || end.Result == router.Refused) && w.current == attemptMayRun {
		return "the router is notified that the request did not run, but it may have"
	}
	w.connected = false
	w.attemptEnded()
	return ""
}

func (w *world) finish(before phase, name string, action Action) string {
	w.finalActions++
	responseStarted := w.clientHas != contentNone
	switch {
	case w.finalActions > 1:
		return "two final responses"
	case w.connected:
		return "ended with an open connection"
	case action.Outcome == Completed && (before != forwarding || name != "end"):
		return "a truncated response looks complete"
	case (action.Outcome == Rejected || action.Outcome == NotFound) && w.mayRun:
		return "rejected a request that may have run"
	case responseStarted && action.Outcome != Completed && action.Outcome != Aborted && action.Outcome != AbandonedByClient:
		return "a second response after the first bytes of one"
	case action.Outcome == Rejected && action.RetryAfter <= 0:
		return "rejected without Retry-After"
	}
	return ""
}
