package sim

import (
	"time"

	"github.com/mallowbridge/mallowbridge/control"
)

const (
	drainLook = 20 * time.Millisecond
	retire    = 1500 * time.Millisecond
	letGo     = 3 * time.Second
	drainMost = 10 * time.Second
	listLag   = 1500 * time.Millisecond
)

// upgrade stops nodes with a warning, one by one, as the daemon drains, and goes on when the one before serves again.
func (w *World) upgrade(ns []*Node) {
	if len(ns) == 0 {
		return
	}
	n, from := ns[0], w.Now
	w.Tracef("%s drains", n.Name)
	n.shuttingDown = true
	w.Call(n, control.Retire{}, func(control.Answer) {})
	w.After(retire, func() { n.rejecting = n.shuttingDown })
	departed := false
	var look func()
	look = func() {
		switch {
		case !n.Alive:
			n.start()
		case !n.shuttingDown && n.router.NotReady(n.local()) == "":
			w.After(listLag, func() { w.upgrade(ns[1:]) })
			return
		case n.rejecting && !departed && (n.router.UnsentRequests() == 0 || w.Now-from > retire+letGo):
			departed = true
			w.Call(n, control.Leave{}, func(control.Answer) {})
		case n.rejecting && departed && (len(n.asks) == 0 || w.Now-from > drainMost):
			n.kill()
			w.After(300*time.Millisecond, look)
			return
		}
		w.After(drainLook, look)
	}
	look()
}
