package daemon

import (
	"maps"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/router"
	"github.com/mallowbridge/mallowbridge/transport"
)

// followerQueueLength is the maximum number of events that wait to be sent to a follower.
const followerQueueLength = 1024

// follower is a program that embeds a router and receives this node's events over a connection.
type follower struct {
	// id is the lowest positive number that no other follower of this node has. It is part of the name of the follower's router.
	id int
	// initial contains the first messages to send: a Welcome and the latest event of each key.
	initial []any
	// queue contains the later events to send.
	queue chan any
	// nextSeq is the sequence number of the next event.
	nextSeq uint64
	// ready is closed when initial is complete.
	ready chan struct{}
}

// followers contains the connected followers. It is owned by the control loop.
type followers struct {
	daemon *Daemon
	all    []*follower
	// latest contains the latest event by coalesceKey.
	latest map[string]router.Event
}

func newFollowers(d *Daemon) *followers {
	return &followers{daemon: d, latest: map[string]router.Event{}}
}

// publish sends an event to all followers and keeps it for later ones, except for Failures and ReplicaSuspect events. A ReplicaSuspect makes
// the last load report of the replica obsolete.
func (fs *followers) publish(ev router.Event) {
	switch e := ev.(type) {
	case router.Failures:
	case router.ReplicaSuspect:
		delete(fs.latest, coalesceKey(router.LoadReport{Replica: e.Replica}))
	default:
		fs.latest[coalesceKey(ev)] = ev
	}
	for _, f := range fs.all {
		f.send(ev)
	}
}

// send queues an event. If the queue is full, the event is dropped; the gap in the sequence numbers makes the follower reconnect.
func (f *follower) send(ev router.Event) {
	select {
	case f.queue <- router.NumberedEvent{Seq: f.nextSeq, Event: ev}:
	default:
	}
	f.nextSeq++
}

// add adds a follower and prepares its initial messages. It returns the input that updates the number of embedded routers.
func (fs *followers) add(f *follower, _ *control.Node) control.Input {
	taken := map[int]bool{}
	for _, o := range fs.all {
		taken[o.id] = true
	}
	for f.id = 1; taken[f.id]; f.id++ {
	}
	f.initial = append(f.initial, router.Welcome{Self: fs.daemon.Settings.Name + "#" + strconv.Itoa(f.id), Zone: fs.daemon.Settings.Zone, BootID: fs.daemon.bootID})
	for _, key := range slices.Sorted(maps.Keys(fs.latest)) {
		f.initial = append(f.initial, router.NumberedEvent{Seq: f.nextSeq, Event: fs.latest[key]})
		f.nextSeq++
	}
	close(f.ready)
	fs.all = append(fs.all, f)
	return fs.countChange()
}

// remove removes a follower. It returns the input that updates the number of embedded routers.
func (fs *followers) remove(f *follower) control.Input {
	for i, o := range fs.all {
		if o == f {
			fs.all = append(fs.all[:i], fs.all[i+1:]...)
			break
		}
	}
	return fs.countChange()
}

// countChange returns the input that sets the number of embedded routers to the highest follower ID in use.
func (fs *followers) countChange() control.Input {
	highest := 0
	for _, f := range fs.all {
		highest = max(highest, f.id)
	}
	return control.Command{Op: control.SetEmbeddedRouters{Count: highest}}
}

// serveFollower sends events to a follower until its connection ends. It is called in a goroutine of its own.
func (d *Daemon) serveFollower(conn net.Conn, _ transport.Hello, r *transport.Reader) {
	f := &follower{queue: make(chan any, followerQueueLength), ready: make(chan struct{})}
	select {
	case d.subscribe <- f:
	case <-d.Tomb.Dying():
		return
	}
	closed := make(chan struct{})
	go func() {
		_, _ = r.Next()
		close(closed)
	}()
	w := transport.NewWriter()
	d.streamEvents(conn, w, f, closed)
	_ = conn.Close()
	select {
	case d.unsubscribe <- f:
	case <-d.Tomb.Dying():
	}
}

// streamEvents writes the follower's messages to its connection until the connection fails, closed is closed, or the daemon stops.
func (d *Daemon) streamEvents(conn net.Conn, w *transport.Writer, f *follower, closed chan struct{}) {
	select {
	case <-f.ready:
	case <-d.Tomb.Dying():
		return
	}
	for _, msg := range f.initial {
		if !d.writeMessage(conn, w, msg) {
			return
		}
	}
	for {
		select {
		case <-d.Tomb.Dying():
			return
		case <-closed:
			return
		case msg := <-f.queue:
			if !d.writeMessage(conn, w, msg) {
				return
			}
		}
	}
}

// writeMessage writes a message to a follower and reports whether that succeeded.
func (d *Daemon) writeMessage(conn net.Conn, w *transport.Writer, msg any) bool {
	frame, err := w.Frame(msg)
	if err != nil {
		d.logPeerError("follower", err)
		return false
	}
	_ = conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
	_, err = conn.Write(frame)
	return err == nil
}
