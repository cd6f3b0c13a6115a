package daemon

import (
	"context"
	"time"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/register"
)

// answerSlack is how long after its deadline the answer to a call may come: the owner of control state acts on deadlines each tick.
const answerSlack = 2 * ticks

// A call runs an operation, or a look, at the owner of control state. A deadline of 0 leaves the bound to the operation.
type call struct {
	// id is the Command's.
	id       uint64
	op       control.Op
	deadline time.Duration
	// cancelled says that the caller of the call of this id has left.
	cancelled bool
	look      func(n *control.Node)
	reply     chan control.Answer
}

// StoppingError says that the process ends. What was under way may have had its effect.
type StoppingError struct{}

func (*StoppingError) Error() string { return "node is stopping" }

func (h *Daemon) submit(in control.Input) {
	select {
	case h.in <- in:
	case <-h.Tomb.Dying():
	}
}

// Call runs an operation of this process's own and waits for its answer.
func (h *Daemon) Call(op control.Op) control.Answer {
	return h.call(context.Background(), h.newCall(op, 0), nil)
}

// CallWithDeadline runs an operation that has no effect after the deadline, on Clock, and answers soon after it at the latest, also where the
// owner of control state is stuck. An order is not begun once ctx is done.
func (h *Daemon) CallWithDeadline(ctx context.Context, deadline time.Duration, op control.Op) control.Answer {
	overdue := time.NewTimer(deadline + answerSlack - Clock())
	defer overdue.Stop()
	return h.call(ctx, h.newCall(op, deadline), overdue.C)
}

// CallForOperator runs an operator's order that came with the request of ctx, within the operation's own bound. It has no effect where the request
// may have lain here while the process stood still, nor where its caller has left.
func (h *Daemon) CallForOperator(ctx context.Context, op control.Op) control.Answer {
	_, err := h.PauseGuard.Admit(ctx, 0)
	if err == nil {
		err = h.confirmCaller(ctx, op)
	}
	if err != nil {
		return control.Answer{Err: err}
	}
	return h.call(ctx, h.newCall(op, 0), nil)
}

// confirmCaller fails where the caller of an order has left. Later the context tells.
func (h *Daemon) confirmCaller(ctx context.Context, op control.Op) error {
	err := awaitCaller(ctx, waitFor(op))
	if err != nil {
		h.PauseGuard.ClientsDisconnected.Add(1)
	}
	return err
}

// Inspect runs look at the owner of control state and waits until it is done.
func (h *Daemon) Inspect(look func(n *control.Node)) {
	h.call(context.Background(), call{look: look, reply: make(chan control.Answer, 1)}, nil)
}

func (h *Daemon) newCall(op control.Op, deadline time.Duration) call {
	return call{id: h.calledIDs.Add(1), op: op, deadline: deadline, reply: make(chan control.Answer, 1)}
}

func (h *Daemon) call(ctx context.Context, c call, overdue <-chan time.Time) control.Answer {
	select {
	case h.calls <- c:
	case <-ctx.Done():
		return control.Answer{Err: &control.ClientDisconnectedError{}}
	case <-overdue:
		return control.Answer{Err: &register.NoQuorumError{}}
	case <-h.Tomb.Dying():
		return control.Answer{Err: &StoppingError{}}
	}
	left := ctx.Done()
	var cancels chan<- call
	for {
		select {
		case a := <-c.reply:
			return a
		case <-left:
			left, cancels = nil, h.calls
			h.PauseGuard.ClientsDisconnected.Add(1)
		case cancels <- call{id: c.id, cancelled: true}:
			cancels = nil
		case <-overdue:
			return control.Answer{Err: &register.OutcomeUnknownError{}}
		case <-h.Tomb.Dying():
			return control.Answer{Err: &StoppingError{}}
		}
	}
}
