package daemon

import (
	"time"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/register"
)

// answerSlack is how long after its deadline the answer to a call may come: the owner of control state acts on deadlines each tick.
const answerSlack = 2 * ticks

// A call runs an operation, or a look, at the owner of control state. A deadline of 0 leaves the bound to the operation.
type call struct {
	op       control.Op
	deadline time.Duration
	look     func(n *control.Node)
	reply    chan control.Answer
}

// StoppingError says that the process ends. What was under way may have had its effect.
type StoppingError struct{}

func (*StoppingError) Error() string { return "node is stopping" }

func (h *Daemon) submit(in control.In) {
	select {
	case h.in <- in:
	case <-h.Tomb.Dying():
	}
}

// Call runs an operation and waits for its answer.
func (h *Daemon) Call(op control.Op) control.Answer {
	return h.call(call{op: op, reply: make(chan control.Answer, 1)}, nil)
}

// CallBy runs an operation that has no effect after the deadline, on Clock, and answers soon after it at the latest, also where the
// owner of control state is stuck.
func (h *Daemon) CallBy(deadline time.Duration, op control.Op) control.Answer {
	overdue := time.NewTimer(deadline + answerSlack - Clock())
	defer overdue.Stop()
	return h.call(call{op: op, deadline: deadline, reply: make(chan control.Answer, 1)}, overdue.C)
}

// Look runs look at the owner of control state and waits until it is done.
func (h *Daemon) Look(look func(n *control.Node)) {
	h.call(call{look: look, reply: make(chan control.Answer, 1)}, nil)
}

func (h *Daemon) call(c call, overdue <-chan time.Time) control.Answer {
	select {
	case h.calls <- c:
	case <-overdue:
		return control.Answer{Err: &register.NoQuorumError{}}
	case <-h.Tomb.Dying():
		return control.Answer{Err: &StoppingError{}}
	}
	var a control.Answer
	select {
	case a = <-c.reply:
		return a
	case <-overdue:
		return control.Answer{Err: &register.OutcomeUnknownError{}}
	case <-h.Tomb.Dying():
		return control.Answer{Err: &StoppingError{}}
	}
}
