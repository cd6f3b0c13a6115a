package rehearsal

import (
	"net"
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
	n.mayExit.Store(true)
	_ = n.process.Process.Signal(sig)
	select {
	case <-n.exited:
	case <-time.After(gracePeriod):
		_ = n.process.Process.Kill()
		<-n.exited
	}
}

// Reload makes a node reload its settings with SIGHUP, as soon as it listens: a process that has not reached its main function yet would end.
func (f *Fleet) Reload(i int) {
	if f.awaitListening(i) {
		_ = f.nodes[i].process.Process.Signal(syscall.SIGHUP)
	}
}

// awaitListening waits until a node accepts connections of operators, and reports whether it does.
func (f *Fleet) awaitListening(i int) bool {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(listenPollInterval) {
		select {
		case <-f.nodes[i].exited:
			return false
		default:
		}
		if conn, err := net.DialTimeout("tcp", f.controlAddr(i), time.Second); err == nil {
			_ = conn.Close()
			return true
		}
	}
	return false
}

// listenPollInterval is the time between two attempts to connect to a node that starts.
const listenPollInterval = 5 * time.Millisecond

// Freeze stops a node with SIGSTOP for a time and then lets it continue.
func (f *Fleet) Freeze(i int, d time.Duration) {
	n := f.nodes[i]
	n.beginFault(false)
	_ = n.process.Process.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	_ = n.process.Process.Signal(syscall.SIGCONT)
	n.endFault()
}
