package proxy

import (
	"strings"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/router"
)

// replies tells what an answer proves: whether it is this request's, and whether it says that nothing ran.
func replies(name string) (accepted, refuses bool) {
	accepted = !strings.HasPrefix(name, "another's")
	return accepted, accepted && (name == "503 with proof" || name == "421")
}

// judge carries the moves of one step out in the world, and gives the rule that they break, if any.
func (w *world) judge(e *Exchange, route *config.Route, before phase, name string, actions []Action) string {
	if w.finishes > 0 && len(actions) > 0 {
		return "moves after the final answer"
	}
	if before == written && w.current == truthMayRun {
		switch _, refuses := replies(name); {
		case refuses:
			w.current = truthRefused
		case name == "reset before the write", name == "time over before the write":
			w.current = truthUntouched
		}
	}
	for _, m := range actions {
		if breach := w.applyAction(route, before, name, m); breach != "" {
			return breach
		}
	}
	if name == "first bytes" && before == passing && w.finishes == 0 {
		w.received()
	}
	if e.Finished() != (w.finishes == 1) {
		return "over without a final answer"
	}
	return ""
}

// received notes what the client holds once the first bytes of an attempt reach it.
func (w *world) received() {
	w.clientHas = contentFlat
	if w.passingStream {
		w.clientHas = contentStream
	}
}

// ended notes that the attempt under way is over.
func (w *world) ended() {
	w.mayRun = w.mayRun || w.current == truthMayRun
	w.current, w.passingStream, w.sends = truthUntouched, false, 0
}

func (w *world) applyAction(route *config.Route, before phase, name string, m Action) string {
	switch m.Kind {
	case Connect:
		return w.connect()
	case WriteRequest:
		return w.write(route)
	case ReleaseConnection:
		if w.current != truthUntouched {
			return "a connection that carries a request is kept as unused"
		}
		w.open = false
	case CloseConnection:
		w.open = false
		w.ended()
	case DiscardResponse:
		if _, refuses := replies(name); !refuses {
			return "read over as a refusal what is none"
		}
	case ForwardResponse:
		return w.pass(name)
	case NotifyRouter:
		if end, ok := m.Event.(router.AttemptEnded); ok {
			return w.told(end)
		}
	case Finish:
		return w.finish(before, name, m)
	}
	return ""
}

func (w *world) connect() string {
	if w.open {
		return "two connections"
	}
	w.open = true
	w.ended()
	return ""
}

func (w *world) write(route *config.Route) string {
	switch {
	case !w.open || w.sends == 0:
		return "written without leave"
	case w.mayRun && !route.Repeatable && !route.Resumable:
		return "what may not be repeated may run twice"
	case w.current != truthUntouched:
		return "written twice to one replica"
	}
	w.current = truthMayRun
	return ""
}

func (w *world) pass(name string) string {
	accepted, refuses := replies(name)
	stream := name == "stream"
	switch {
	case !accepted:
		return "another request's answer is passed on"
	case refuses, strings.HasSuffix(name, "without proof"):
		return "a promise of the replica is passed on as an answer"
	case name == "answer without length", name == "answer without seal":
		return "an answer that may be a part is passed on"
	case w.clientHas == contentFlat, w.clientHas == contentStream && !stream:
		return "two answers are joined"
	case w.clientHas == contentStream && !w.exchangeResumes():
		return "a stream begins anew behind its first part"
	}
	w.passingStream = stream
	return ""
}

// exchangeResumes tells whether the newest place goes on after the last event passed on, all of which had ids.
func (w *world) exchangeResumes() bool { return w.exchange.place.resumes && !w.exchange.stuck }

func (w *world) told(end router.AttemptEnded) string {
	if (end.Result == router.NotSent || end.Result == router.Refused) && w.current == truthMayRun {
		return "the router is told that nothing ran, but it may have"
	}
	w.open = false
	w.ended()
	return ""
}

func (w *world) finish(before phase, name string, m Action) string {
	w.finishes++
	has := w.clientHas != contentNone
	switch {
	case w.finishes > 1:
		return "two final answers"
	case w.open:
		return "ended with a connection"
	case m.Outcome == Completed && (before != passing || name != "end"):
		return "a part is made to look whole"
	case (m.Outcome == Rejected || m.Outcome == NotFound) && w.mayRun:
		return "denied what may have run"
	case has && m.Outcome != Completed && m.Outcome != Aborted && m.Outcome != AbandonedByClient:
		return "a second answer after the first bytes of one"
	case m.Outcome == Rejected && m.RetryAfter <= 0:
		return "denied without when to come back"
	}
	return ""
}
