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

const followQueue = 1024

type follower struct {
	id    int
	first []any
	q     chan any
	n     uint64
	ready chan struct{}
}

type followers struct {
	daemon *Daemon
	all    []*follower
	last   map[string]router.Event
}

func newFollowers(h *Daemon) *followers {
	return &followers{daemon: h, last: map[string]router.Event{}}
}

func (fs *followers) tell(ev router.Event) {
	switch e := ev.(type) {
	case router.Failures:
	case router.ReplicaSuspect:
		delete(fs.last, keyOf(router.LoadReport{Replica: e.Replica}))
	default:
		fs.last[keyOf(ev)] = ev
	}
	for _, f := range fs.all {
		f.send(ev)
	}
}

func (f *follower) send(ev router.Event) {
	select {
	case f.q <- router.NumberedEvent{Seq: f.n, Event: ev}:
	default:
	}
	f.n++
}

func (fs *followers) join(f *follower, _ *control.Node) control.Input {
	taken := map[int]bool{}
	for _, o := range fs.all {
		taken[o.id] = true
	}
	for f.id = 1; taken[f.id]; f.id++ {
	}
	f.first = append(f.first, router.Welcome{Self: fs.daemon.Settings.Name + "#" + strconv.Itoa(f.id), Zone: fs.daemon.Settings.Zone, BootID: fs.daemon.boot})
	for _, key := range slices.Sorted(maps.Keys(fs.last)) {
		f.first = append(f.first, router.NumberedEvent{Seq: f.n, Event: fs.last[key]})
		f.n++
	}
	close(f.ready)
	fs.all = append(fs.all, f)
	return fs.count()
}

func (fs *followers) leave(f *follower) control.Input {
	for i, o := range fs.all {
		if o == f {
			fs.all = append(fs.all[:i], fs.all[i+1:]...)
			break
		}
	}
	return fs.count()
}

func (fs *followers) count() control.Input {
	most := 0
	for _, f := range fs.all {
		most = max(most, f.id)
	}
	return control.Command{Op: control.SetEmbeddedRouters{Count: most}}
}

func (h *Daemon) follow(conn net.Conn, _ transport.Hello, r *transport.Reader) {
	f := &follower{q: make(chan any, followQueue), ready: make(chan struct{})}
	select {
	case h.subscribe <- f:
	case <-h.Tomb.Dying():
		return
	}
	closed := make(chan struct{})
	go func() {
		_, _ = r.Next()
		close(closed)
	}()
	w := transport.NewWriter()
	h.pump(conn, w, f, closed)
	_ = conn.Close()
	select {
	case h.unsubscribe <- f:
	case <-h.Tomb.Dying():
	}
}

func (h *Daemon) pump(conn net.Conn, w *transport.Writer, f *follower, closed chan struct{}) {
	select {
	case <-f.ready:
	case <-h.Tomb.Dying():
		return
	}
	for _, msg := range f.first {
		if !h.put(conn, w, msg) {
			return
		}
	}
	for {
		select {
		case <-h.Tomb.Dying():
			return
		case <-closed:
			return
		case msg := <-f.q:
			if !h.put(conn, w, msg) {
				return
			}
		}
	}
}

func (h *Daemon) put(conn net.Conn, w *transport.Writer, msg any) bool {
	frame, err := w.Frame(msg)
	if err != nil {
		h.logFault("follower", err)
		return false
	}
	_ = conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
	_, err = conn.Write(frame)
	return err == nil
}
