package daemon

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/control"
)

const (
	// reconnectDelayMin and reconnectDelayMax bound the delay between two attempts to connect, which doubles with each failure.
	reconnectDelayMin = 100 * time.Millisecond
	reconnectDelayMax = 5 * time.Second
	// replicaTimeout bounds the dial, and the first request and response on the connection.
	replicaTimeout = 500 * time.Millisecond
	// A replica that closes maxShortConnections connections in a row, each within shortConnection, does not keep idle connections open. For such a
	// replica, a closed connection does not indicate a failure and is not reported.
	shortConnection     = time.Second
	maxShortConnections = 3
)

// replicaWatcher keeps one idle connection to a replica open. When the replica's process ends, the connection closes at once.
type replicaWatcher struct {
	daemon     *Daemon
	name, addr string
	// stop is closed when the replica is no longer part of the configuration or has another address.
	stop chan struct{}
	// reconnectNow skips the current delay.
	reconnectNow chan struct{}
	// shortInRow is the number of short connections since the last longer one.
	shortInRow int
	// delay is the time until the next attempt to connect after a failure, maxDelay its upper bound.
	delay    time.Duration
	maxDelay time.Duration
}

func (d *Daemon) newWatcher(name, addr string, maxDelay time.Duration) *replicaWatcher {
	return &replicaWatcher{daemon: d, name: name, addr: addr, stop: make(chan struct{}), reconnectNow: make(chan struct{}, 1), delay: reconnectDelayMin, maxDelay: maxDelay}
}

// watchReplicas runs one replicaWatcher per replica of the latest snapshot.
func (d *Daemon) watchReplicas() error {
	watchers := map[string]*replicaWatcher{}
	for {
		select {
		case <-d.Tomb.Dying():
			return nil
		case p := <-d.snapshots:
			d.updateWatchers(watchers, p)
		case name := <-d.reconnects:
			if w := watchers[name]; w != nil {
				select {
				case w.reconnectNow <- struct{}{}:
				default:
				}
			}
		}
	}
}

// sendSnapshot passes the latest snapshot to watchReplicas. It does not block: a snapshot that was not yet received is replaced.
func (d *Daemon) sendSnapshot(p *config.Snapshot) {
	select {
	case <-d.snapshots:
	default:
	}
	d.snapshots <- p
}

// reconnect makes the watchers of replicas that are not connected connect without waiting for the delay. It does not block: if the queue is
// full, the watchers connect when their delay is over.
func (d *Daemon) reconnect(names []string) {
	for _, name := range names {
		select {
		case d.reconnects <- name:
		default:
		}
	}
}

// updateWatchers stops the watchers of replicas that were removed or whose address changed, and starts the missing ones.
func (d *Daemon) updateWatchers(watchers map[string]*replicaWatcher, p *config.Snapshot) {
	wanted := map[string]string{}
	for _, o := range p.Config.Services {
		for _, r := range o.Replicas {
			wanted[r.Name] = r.Addr
		}
	}
	for name, w := range watchers {
		if wanted[name] != w.addr {
			close(w.stop)
			delete(watchers, name)
		}
	}
	for name, addr := range wanted {
		if watchers[name] == nil {
			w := d.newWatcher(name, addr, reconnectDelayMax)
			watchers[name] = w
			d.Tomb.Go(w.run)
		}
	}
}

// run connects again after each connection until the watcher or the daemon stops.
func (w *replicaWatcher) run() error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-w.daemon.Tomb.Dying():
			return nil
		case <-w.stop:
			return nil
		case <-w.reconnectNow:
		case <-timer.C:
		}
		if w.delay = min(2*w.delay, w.maxDelay); w.watchOnce() {
			w.delay = reconnectDelayMin
		}
		timer.Reset(map[bool]time.Duration{true: w.maxDelay, false: w.delay}[w.shortInRow >= maxShortConnections])
	}
}

// report passes the state of the connection to the control loop.
func (w *replicaWatcher) report(state control.ConnectionState, p control.Probed) {
	p.Replica, p.Local = w.name, true
	select {
	case w.daemon.inputs <- control.ConnectionChange{State: state, Probed: p}:
	case <-w.stop:
	case <-w.daemon.Tomb.Dying():
	}
}

// watchOnce connects to the replica, reads its load and then waits until the connection ends. It reports whether the replica responded.
func (w *replicaWatcher) watchOnce() bool {
	conn, err := net.DialTimeout("tcp", w.addr, replicaTimeout)
	if errors.Is(err, syscall.ECONNREFUSED) {
		w.report(control.ConnectionRefused, control.Probed{})
	}
	if err != nil {
		return false
	}
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-w.daemon.Tomb.Dying():
		case <-w.stop:
		case <-done:
		}
		_ = conn.Close()
	}()
	r := bufio.NewReader(conn)
	p, ok := w.readLoad(conn, r)
	if !ok {
		return false
	}
	w.report(control.ConnectionUp, p)
	_ = conn.SetDeadline(time.Time{})
	idleSince := time.Now()
	_, _ = r.ReadByte()
	w.connectionClosed(time.Since(idleSince) < shortConnection)
	return true
}

// connectionClosed reports that the connection was closed, unless the replica does not keep idle connections open.
func (w *replicaWatcher) connectionClosed(short bool) {
	w.shortInRow++
	if !short {
		w.shortInRow = 0
	}
	if w.shortInRow < maxShortConnections {
		w.report(control.ConnectionClosed, control.Probed{})
	}
}

// readLoad requests the load of the replica on an open connection.
func (w *replicaWatcher) readLoad(conn net.Conn, r *bufio.Reader) (control.Probed, bool) {
	_ = conn.SetDeadline(time.Now().Add(replicaTimeout))
	req, err := http.NewRequest(http.MethodGet, "http://"+w.addr+"/v1/usage", nil)
	var p control.Probed
	if err != nil || req.Write(conn) != nil {
		return p, false
	}
	resp, err := http.ReadResponse(r, req)
	if err != nil {
		return p, false
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxProbeBytes))
	var load loadResponse
	if err != nil || resp.StatusCode != http.StatusOK || json.Unmarshal(raw, &load) != nil {
		return p, false
	}
	return load.probed()
}
