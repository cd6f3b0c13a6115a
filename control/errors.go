package control

import (
	"fmt"
	"time"
)

// NameError says why a node that an operator named cannot do what was asked.
type NameError struct{ Name, Why string }

func (e *NameError) Error() string { return e.Name + ": " + e.Why }

// StaleCallError says that an order may have lain here while the process stood still: its caller may have left long ago. It has had no
// effect.
type StaleCallError struct{ Gap time.Duration }

func (e *StaleCallError) Error() string {
	return fmt.Sprintf("this process stood still for %s and takes no order that may have come before; nothing was changed", e.Gap)
}
