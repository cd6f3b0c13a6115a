package rehearsal

import (
	"syscall"
	"time"

	"github.com/mallowbridge/mallowbridge/ledger"
)

// beginFault records the start of a fault, unless one is ongoing. A planned fault is a proper shutdown.
func (n *node) beginFault(planned bool) {
	if n.ongoingFault == nil {
		n.ongoingFault = &ledger.NodeFault{Node: n.frontendAddr(), Planned: planned, Span: ledger.Span{FromMs: time.Now().UnixMilli()}}
	}
}

// endFault records the end of the ongoing fault, if any.
func (n *node) endFault() {
	if n.ongoingFault != nil {
		n.ongoingFault.UntilMs = time.Now().UnixMilli()
		n.pastFaults, n.ongoingFault = append(n.pastFaults, *n.ongoingFault), nil
	}
}

// PastFaults returns all faults of nodes that are over.
func (f *Fleet) PastFaults() []ledger.NodeFault {
	var all []ledger.NodeFault
	for _, n := range f.nodes {
		all = append(all, n.pastFaults...)
	}
	return all
}

// SignalAndWait sends a signal to a node and waits until its process has exited. It kills a process that runs longer than the grace period.
func (f *Fleet) SignalAndWait(i int, sig syscall.Signal) {
	n := f.nodes[i]
	n.beginFault(sig == syscall.SIGTERM)
	_ = n.process.Process.Signal(sig)
	select {
	case <-n.exited:
	case <-time.After(gracePeriod):
		_ = n.process.Process.Kill()
		<-n.exited
	}
}

// handlerTime bounds the time until a new process handles signals. Until then, SIGHUP would terminate it.
const handlerTime = 200 * time.Millisecond

// Reload makes a node reload its settings with SIGHUP.
func (f *Fleet) Reload(i int) {
	time.Sleep(time.Until(f.nodes[i].startedAt.Add(handlerTime)))
	_ = f.nodes[i].process.Process.Signal(syscall.SIGHUP)
}

// Freeze stops a node with SIGSTOP for a time and then lets it continue.
func (f *Fleet) Freeze(i int, d time.Duration) {
	n := f.nodes[i]
	n.beginFault(false)
	_ = n.process.Process.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	_ = n.process.Process.Signal(syscall.SIGCONT)
	n.endFault()
}
