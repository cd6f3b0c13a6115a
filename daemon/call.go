package daemon

import (
	"context"
	"time"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/register"
)

// answerGrace is how long after its deadline the answer to a call may arrive: the control loop checks deadlines only at each tick.
const answerGrace = 2 * controlTickInterval

// call is a message to the control loop. It runs an operation, calls inspect, or cancels an earlier call.
type call struct {
	// id is the ID of the control.Command.
	id uint64
	op control.Op
	// deadline is the deadline of the control.Command, on Clock; 0 means the operation's own timeout.
	deadline time.Duration
	// cancelled is set in a message that cancels the earlier call with the same ID, because its client disconnected.
	cancelled bool
	inspect   func(n *control.Node)
	answer    chan control.Answer
}

// StoppingError reports that the process is stopping. An operation that was running may have taken effect.
type StoppingError struct{}

func (*StoppingError) Error() string { return "node is stopping" }

// submit passes an input to the control loop.
func (d *Daemon) submit(in control.Input) {
	select {
	case d.inputs <- in:
	case <-d.Tomb.Dying():
	}
}

// Call runs an operation within the operation's own timeout and waits for its answer. It checks neither for a pause of the process nor for a
// disconnected client, so it is for reads and for operations that this process itself requests.
func (d *Daemon) Call(op control.Op) control.Answer {
	return d.call(context.Background(), d.newCall(op, 0), nil)
}

// CallWithDeadline runs an operation that has no effect after the deadline, which is a time on Clock. It returns at most answerGrace after the
// deadline, even if the control loop is blocked. An operator request is not started once ctx is done.
func (d *Daemon) CallWithDeadline(ctx context.Context, deadline time.Duration, op control.Op) control.Answer {
	expired := time.NewTimer(deadline + answerGrace - Clock())
	defer expired.Stop()
	return d.call(ctx, d.newCall(op, deadline), expired.C)
}

// CallForOperator runs an operator request that arrived with the HTTP request of ctx, within the operation's own timeout. The request has no effect
// if it may have waited on this machine while the process was paused, or if the client has disconnected.
func (d *Daemon) CallForOperator(ctx context.Context, op control.Op) control.Answer {
	_, err := d.PauseGuard.Admit(ctx, 0)
	if err == nil {
		err = d.checkClientConnected(ctx, op)
	}
	if err != nil {
		return control.Answer{Err: err}
	}
	return d.call(ctx, d.newCall(op, 0), nil)
}

// checkClientConnected returns an error if the client of an operator request has disconnected, after waiting as long as the operation requires.
// From then on, the context reports whether the client disconnects.
func (d *Daemon) checkClientConnected(ctx context.Context, op control.Op) error {
	err := awaitDisconnect(ctx, disconnectWaitFor(op))
	if err != nil {
		d.PauseGuard.ClientsDisconnected.Add(1)
	}
	return err
}

// Inspect calls inspect in the goroutine that owns the control state, and waits until it returns.
func (d *Daemon) Inspect(inspect func(n *control.Node)) {
	d.call(context.Background(), call{inspect: inspect, answer: make(chan control.Answer, 1)}, nil)
}

func (d *Daemon) newCall(op control.Op, deadline time.Duration) call {
	return call{id: d.lastCallID.Add(1), op: op, deadline: deadline, answer: make(chan control.Answer, 1)}
}

// call passes c to the control loop and waits for its answer. expired ends the wait: with a register.NoQuorumError if the control loop has not
// received c, otherwise with a register.OutcomeUnknownError, because the operation may have taken effect. When ctx is done, c is cancelled;
// if the control loop has received c, call still waits for the answer.
func (d *Daemon) call(ctx context.Context, c call, expired <-chan time.Time) control.Answer {
	select {
	case d.calls <- c:
	case <-ctx.Done():
		return control.Answer{Err: &control.ClientDisconnectedError{}}
	case <-expired:
		return control.Answer{Err: &register.NoQuorumError{}}
	case <-d.Tomb.Dying():
		return control.Answer{Err: &StoppingError{}}
	}
	disconnected := ctx.Done()
	var cancels chan<- call
	for {
		select {
		case a := <-c.answer:
			return a
		case <-disconnected:
			disconnected, cancels = nil, d.calls
			d.PauseGuard.ClientsDisconnected.Add(1)
		case cancels <- call{id: c.id, cancelled: true}:
			cancels = nil
		case <-expired:
			return control.Answer{Err: &register.OutcomeUnknownError{}}
		case <-d.Tomb.Dying():
			return control.Answer{Err: &StoppingError{}}
		}
	}
}
