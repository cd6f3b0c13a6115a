package sim

import (
	"time"

	"github.com/mallowbridge/mallowbridge/control"
)

// ListError is the reason why the platform's list of replicas could not be read.
type ListError struct{ Reason string }

func (e *ListError) Error() string { return "list: " + e.Reason }

// window is a span of time.
type window struct{ from, until time.Duration }

// listReadable reports whether the list can be read now.
func (s *site) listReadable() bool {
	for _, outage := range s.listOutages {
		if s.w.Now >= outage.from && s.w.Now < outage.until {
			return false
		}
	}
	return true
}

// listReadableSince returns for how long after a time the list could be read.
func (s *site) listReadableSince(at time.Duration) time.Duration {
	readable := s.w.Now - at
	for _, outage := range s.listOutages {
		readable -= max(min(outage.until, s.w.Now)-max(outage.from, at), 0)
	}
	return readable
}

// platformAddr is the platform's address in the simulated network.
const platformAddr = "platform"

// readReplicaList makes a node read the platform's list, which is listStaleness old and accepts only SiteSpec.ListRate calls per second.
func (n *Node) readReplicaList() {
	w, s := n.w, n.w.site
	respond := func(list control.ListRead) {
		n.later(2*w.Net.Delay(false), func() { n.step(list) })
	}
	s.report.ListCalls++
	if !s.listReadable() || w.Net.Blocked(n.Addr, platformAddr) || w.Net.Blocked(platformAddr, n.Addr) {
		n.later(800*time.Millisecond, func() { n.step(control.ListRead{Err: &ListError{Reason: "no response"}}) })
		return
	}
	s.listCallTimes = append(s.listCallTimes, w.Now)
	for len(s.listCallTimes) > 0 && w.Now-s.listCallTimes[0] >= time.Second {
		s.listCallTimes = s.listCallTimes[1:]
	}
	if len(s.listCallTimes) > s.spec.ListRate {
		s.report.ListCallsRejected++
		respond(control.ListRead{Err: &ListError{Reason: "called too often"}})
		return
	}
	at := w.Now - listStaleness
	var list control.ListRead
	for _, i := range s.instances {
		if i.listedAt(at) {
			list.Rows = append(list.Rows, i.listRow(at))
		}
	}
	respond(list)
}
