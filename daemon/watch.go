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
	// lookPauseMin and lookPauseMax bound the pause between two tries to connect, which doubles with each failure.
	lookPauseMin = 100 * time.Millisecond
	lookPauseMax = 5 * time.Second
	// lookTimeout bounds the connecting, and the first answer on the connection.
	lookTimeout = 500 * time.Millisecond
	// A replica that closes shortConnectionsMost connections in a row within shortConnection keeps none: that says nothing of its health.
	shortConnection      = time.Second
	shortConnectionsMost = 3
)

// A replicaWatcher keeps one idle connection to a replica: when the replica's process ends, the connection closes at once.
type replicaWatcher struct {
	daemon      *Daemon
	name, addr  string
	stop        chan struct{}
	lookNow     chan struct{}
	shortInARow int
	pause       time.Duration
	pauseMax    time.Duration
}

func (h *Daemon) newWatcher(name, addr string, most time.Duration) *replicaWatcher {
	return &replicaWatcher{daemon: h, name: name, addr: addr, stop: make(chan struct{}), lookNow: make(chan struct{}, 1), pause: lookPauseMin, pauseMax: most}
}

func (h *Daemon) watch() error {
	watchers := map[string]*replicaWatcher{}
	for {
		select {
		case <-h.Tomb.Dying():
			return nil
		case p := <-h.snapshots:
			h.watchAll(watchers, p)
		case name := <-h.looks:
			if e := watchers[name]; e != nil {
				select {
				case e.lookNow <- struct{}{}:
				default:
				}
			}
		}
	}
}

// sendSnapshot leaves the newest snapshot for the watchers and never waits for them.
func (h *Daemon) sendSnapshot(p *config.Snapshot) {
	select {
	case <-h.snapshots:
	default:
	}
	h.snapshots <- p
}

func (h *Daemon) lookNow(names []string) {
	for _, name := range names {
		select {
		case h.looks <- name:
		default:
		}
	}
}

func (h *Daemon) watchAll(watchers map[string]*replicaWatcher, p *config.Snapshot) {
	wanted := map[string]string{}
	for _, o := range p.Config.Services {
		for _, r := range o.Replicas {
			wanted[r.Name] = r.Addr
		}
	}
	for name, e := range watchers {
		if wanted[name] != e.addr {
			close(e.stop)
			delete(watchers, name)
		}
	}
	for name, addr := range wanted {
		if watchers[name] == nil {
			e := h.newWatcher(name, addr, lookPauseMax)
			watchers[name] = e
			h.Tomb.Go(e.run)
		}
	}
}

func (e *replicaWatcher) run() error {
	wait := time.NewTimer(0)
	defer wait.Stop()
	for {
		select {
		case <-e.daemon.Tomb.Dying():
			return nil
		case <-e.stop:
			return nil
		case <-e.lookNow:
		case <-wait.C:
		}
		if e.pause = min(2*e.pause, e.pauseMax); e.look() {
			e.pause = lookPauseMin
		}
		wait.Reset(map[bool]time.Duration{true: e.pauseMax, false: e.pause}[e.shortInARow >= shortConnectionsMost])
	}
}

func (e *replicaWatcher) report(state control.ConnectionState, p control.Probed) {
	p.Replica, p.Local = e.name, true
	select {
	case e.daemon.in <- control.ConnectionChange{State: state, Probed: p}:
	case <-e.stop:
	case <-e.daemon.Tomb.Dying():
	}
}

// look connects once, and watches for as long as the replica keeps the connection.
func (e *replicaWatcher) look() bool {
	conn, err := net.DialTimeout("tcp", e.addr, lookTimeout)
	if errors.Is(err, syscall.ECONNREFUSED) {
		e.report(control.ConnectionRefused, control.Probed{})
	}
	if err != nil {
		return false
	}
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-e.daemon.Tomb.Dying():
		case <-e.stop:
		case <-done:
		}
		_ = conn.Close()
	}()
	r := bufio.NewReader(conn)
	p, seen := e.ask(conn, r)
	if !seen {
		return false
	}
	e.report(control.ConnectionUp, p)
	_ = conn.SetDeadline(time.Time{})
	from := time.Now()
	_, _ = r.ReadByte()
	e.ended(time.Since(from) < shortConnection)
	return true
}

// ended reports that the connection was closed, unless this replica keeps none and closes each at once.
func (e *replicaWatcher) ended(soon bool) {
	e.shortInARow++
	if !soon {
		e.shortInARow = 0
	}
	if e.shortInARow < shortConnectionsMost {
		e.report(control.ConnectionClosed, control.Probed{})
	}
}

func (e *replicaWatcher) ask(conn net.Conn, r *bufio.Reader) (control.Probed, bool) {
	_ = conn.SetDeadline(time.Now().Add(lookTimeout))
	req, err := http.NewRequest(http.MethodGet, "http://"+e.addr+"/v1/usage", nil)
	var p control.Probed
	if err != nil || req.Write(conn) != nil {
		return p, false
	}
	resp, err := http.ReadResponse(r, req)
	if err != nil {
		return p, false
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, probeBytes))
	var u usageAnswer
	if err != nil || resp.StatusCode != http.StatusOK || json.Unmarshal(raw, &u) != nil {
		return p, false
	}
	return u.probed()
}
