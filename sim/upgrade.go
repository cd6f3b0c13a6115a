package sim

import (
	"time"

	"github.com/mallowbridge/mallowbridge/control"
)

// Times of a rolling upgrade, as the daemon has them: rejectAfterRetire after the order to stop, a node rejects requests; it leaves the
// membership when all requests are sent, or unsentTimeout later; and it ends when all requests are done, or after maxDrain. The next node follows
// upgradePause after the node serves again. Progress is checked every drainPoll.
const (
	drainPoll         = 20 * time.Millisecond
	rejectAfterRetire = 1500 * time.Millisecond
	unsentTimeout     = 3 * time.Second
	maxDrain          = 10 * time.Second
	upgradePause      = 1500 * time.Millisecond
)

// rollingUpgrade restarts one node after the other with the daemon's drain sequence, each when the one before serves again.
func (w *World) rollingUpgrade(ns []*Node) {
	if len(ns) == 0 {
		return
	}
	n, from := ns[0], w.Now
	w.Tracef("%s drains", n.Name)
	n.shuttingDown = true
	w.Call(n, control.Retire{}, func(control.Answer) {})
	w.After(rejectAfterRetire, func() { n.rejecting = n.shuttingDown })
	hasLeft := false
	var poll func()
	poll = func() {
		switch {
		case !n.Alive:
			n.start()
		case !n.shuttingDown && n.router.NotReady(n.localTime()) == "":
			w.After(upgradePause, func() { w.rollingUpgrade(ns[1:]) })
			return
		case n.rejecting && !hasLeft && (n.router.UnsentRequests() == 0 || w.Now-from > rejectAfterRetire+unsentTimeout):
			hasLeft = true
			w.Call(n, control.Leave{}, func(control.Answer) {})
		case n.rejecting && hasLeft && (len(n.fleetRequests) == 0 || w.Now-from > maxDrain):
			n.kill()
			w.After(300*time.Millisecond, poll)
			return
		}
		w.After(drainPoll, poll)
	}
	poll()
}
