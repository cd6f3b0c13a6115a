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
	h := &Daemon{Tomb: &tomb.Tomb{}, calls: make(chan call)}
	overdue := make(chan time.Time, 1)
	overdue <- time.Time{}
	var none *register.NoQuorumError
	if a := h.call(t.Context(), call{op: control.Get{}, reply: make(chan control.Answer, 1)}, overdue); !errors.As(a.Err, &none) {
		t.Errorf("not taken over: %v", a.Err)
	}
	go func() {
		<-h.calls
		overdue <- time.Time{}
	}()
	var unknown *register.OutcomeUnknownError
	if a := h.call(t.Context(), call{op: control.Get{}, reply: make(chan control.Answer, 1)}, overdue); !errors.As(a.Err, &unknown) {
		t.Errorf("taken over, and no answer: %v", a.Err)
	}
}
