package rehearsal

import (
	"syscall"
	"time"

	"github.com/mallowbridge/mallowbridge/ledger"
)

// begin notes that a fault begins, unless one is under way.
func (n *node) begin(planned bool) {
	if n.failing == nil {
		n.failing = &ledger.NodeFault{Node: n.front(), Planned: planned, Span: ledger.Span{FromMs: time.Now().UnixMilli()}}
	}
}

// recover notes that the fault under way is over.
func (n *node) recover() {
	if n.failing != nil {
		n.failing.UntilMs = time.Now().UnixMilli()
		n.faults, n.failing = append(n.faults, *n.failing), nil
	}
}

// PastFaults are all faults of nodes that are over.
func (f *Fleet) PastFaults() []ledger.NodeFault {
	var all []ledger.NodeFault
	for _, n := range f.nodes {
		all = append(all, n.faults...)
	}
	return all
}

// SignalAndWait sends a signal to a node and waits until it has ended; one that outlives the grace period is killed.
func (f *Fleet) SignalAndWait(i int, sig syscall.Signal) {
	n := f.nodes[i]
	n.begin(sig == syscall.SIGTERM)
	_ = n.process.Process.Signal(sig)
	select {
	case <-n.exited:
	case <-time.After(gracePeriod):
		_ = n.process.Process.Kill()
		<-n.exited
	}
}

// handlerTime is how long a process takes at most until it handles signals: before that SIGHUP ends it.
const handlerTime = 200 * time.Millisecond

// Reload sends SIGHUP to a node.
func (f *Fleet) Reload(i int) {
	time.Sleep(time.Until(f.nodes[i].startedAt.Add(handlerTime)))
	_ = f.nodes[i].process.Process.Signal(syscall.SIGHUP)
}

// Freeze has a node stand still for a while.
func (f *Fleet) Freeze(i int, d time.Duration) {
	n := f.nodes[i]
	n.begin(false)
	_ = n.process.Process.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	_ = n.process.Process.Signal(syscall.SIGCONT)
	n.recover()
}
