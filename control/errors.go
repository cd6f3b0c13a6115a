package control

import (
	"errors"
	"fmt"
	"time"

	"github.com/mallowbridge/mallowbridge/membership"
)

// NameError says why a node that an operator named cannot do what was asked.
type NameError struct {
	Name  string
	Cause error
}

func (e *NameError) Error() string { return e.Name + ": " + e.Cause.Error() }

// StaleRequestError says that an order may have lain here while the process stood still: its caller may have left long ago. It has had no
// effect.
type StaleRequestError struct{ Pause time.Duration }

func (e *StaleRequestError) Error() string {
	return fmt.Sprintf("this process stood still for %s and takes no order that may have come before; nothing was changed", e.Pause)
}

// ClientDisconnectedError says that the caller of an order closed its connection before the order was begun. It has had no effect.
type ClientDisconnectedError struct{}

func (*ClientDisconnectedError) Error() string {
	return "the caller closed its connection before the order was begun; nothing was changed"
}

// Unwrap gives the cause.
func (e *NameError) Unwrap() error { return e.Cause }

// The causes of a NameError.
var (
	ErrUnknownNode = errors.New("no such node is known")
	ErrUnknownZone = errors.New("no such domain")
	ErrNoDisk      = errors.New("has no disk")
	ErrNamedTwice  = errors.New("is named twice")
	ErrNoneNamed   = errors.New("must be named")
)

// NodeStateError says that a node isn't alive.
type NodeStateError struct{ State membership.State }

func (e *NodeStateError) Error() string { return "is " + e.State.String() }
