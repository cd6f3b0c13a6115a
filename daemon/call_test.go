package daemon

import (
	"errors"
	"testing"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/register"
)

func TestCallIsAnsweredWhileControlLoopIsBlocked(t *testing.T) {
	d := &Daemon{Tomb: &tomb.Tomb{}, calls: make(chan call)}
	expired := make(chan time.Time, 1)
	expired <- time.Time{}
	var noQuorum *register.NoQuorumError
	if a := d.call(t.Context(), call{op: control.Get{}, answer: make(chan control.Answer, 1)}, expired); !errors.As(a.Err, &noQuorum) {
		t.Errorf("a call that the control loop did not receive returned %v, not a NoQuorumError", a.Err)
	}
	go func() {
		<-d.calls
		expired <- time.Time{}
	}()
	var unknown *register.OutcomeUnknownError
	if a := d.call(t.Context(), call{op: control.Get{}, answer: make(chan control.Answer, 1)}, expired); !errors.As(a.Err, &unknown) {
		t.Errorf("a call that the control loop did not answer returned %v, not an OutcomeUnknownError", a.Err)
	}
}
