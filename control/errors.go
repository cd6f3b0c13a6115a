package control

import (
	"errors"
	"fmt"
	"time"

	"github.com/mallowbridge/mallowbridge/membership"
)

// NameError reports why a node or zone that an operator named cannot be used for the request.
type NameError struct {
	Name  string
	Cause error
}

func (e *NameError) Error() string { return e.Name + ": " + e.Cause.Error() }

// StaleRequestError reports that an operator request may have waited here while the process was paused, so that its client may have
// disconnected long ago. The request had no effect.
type StaleRequestError struct{ Pause time.Duration }

func (e *StaleRequestError) Error() string {
	return fmt.Sprintf("this process was paused for %s and rejects requests that may have arrived before; nothing was changed", e.Pause)
}

// ClientDisconnectedError reports that the client of an operator request closed its connection before the request was started. The request
// had no effect.
type ClientDisconnectedError struct{}

func (*ClientDisconnectedError) Error() string {
	return "the client closed its connection before the request was started; nothing was changed"
}

// Unwrap returns the cause.
func (e *NameError) Unwrap() error { return e.Cause }

// The causes of a NameError.
var (
	ErrUnknownNode = errors.New("no such node is known")
	ErrUnknownZone = errors.New("no such domain")
	ErrNoDisk      = errors.New("has no disk")
	ErrNamedTwice  = errors.New("is named twice")
	ErrNoneNamed   = errors.New("must be named")
)

// NodeStateError reports that a node is not alive.
type NodeStateError struct{ State membership.State }

func (e *NodeStateError) Error() string { return "is " + e.State.String() }
