package sim

import (
	"time"

	"github.com/mallowbridge/mallowbridge/control"
)

// ListError says why the platform's list of replicas could not be read.
type ListError struct{ Reason string }

func (e *ListError) Error() string { return "list: " + e.Reason }

type window struct{ from, until time.Duration }

// readable tells whether the list can be read.
func (s *site) readable() bool {
	for _, d := range s.downs {
		if s.w.Now >= d.from && s.w.Now < d.until {
			return false
		}
	}
	return true
}

// since tells how long the list could be read after that moment.
func (s *site) since(at time.Duration) time.Duration {
	d := s.w.Now - at
	for _, x := range s.downs {
		d -= max(min(x.until, s.w.Now)-max(x.from, at), 0)
	}
	return d
}

const platformAddr = "platform"

// list has a node read the platform's list, which runs behind and takes only so many calls a second.
func (n *Node) list() {
	w, s := n.w, n.w.site
	give := func(r control.ListRead) {
		n.later(2*w.Net.Delay(false), func() { n.step(r) })
	}
	s.report.ListCalls++
	if !s.readable() || w.Net.Blocked(n.Addr, platformAddr) || w.Net.Blocked(platformAddr, n.Addr) {
		n.later(800*time.Millisecond, func() { n.step(control.ListRead{Err: &ListError{Reason: "no answer"}}) })
		return
	}
	s.calls = append(s.calls, w.Now)
	for len(s.calls) > 0 && w.Now-s.calls[0] >= time.Second {
		s.calls = s.calls[1:]
	}
	if len(s.calls) > s.spec.ListRate {
		s.report.ListCallsRejected++
		give(control.ListRead{Err: &ListError{Reason: "called too often"}})
		return
	}
	at := w.Now - listBehind
	var r control.ListRead
	for _, i := range s.instances {
		if i.listed(at) {
			r.Rows = append(r.Rows, i.row(at))
		}
	}
	give(r)
}
