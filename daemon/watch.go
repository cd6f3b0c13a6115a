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
	lookAgain = 100 * time.Millisecond
	lookFor   = 500 * time.Millisecond
	kept      = time.Second
	lookMost  = 5 * time.Second
	hasty     = 3
)

// An eye keeps one idle connection to a replica: when the replica's process ends, the connection tells it at once.
type replicaWatcher struct {
	h          *Daemon
	name, addr string
	stop       chan struct{}
	poke       chan struct{}
	ends       int
	nap        time.Duration
	most       time.Duration
}

func (h *Daemon) eye(name, addr string, most time.Duration) (e *replicaWatcher) {
	return &replicaWatcher{h: h, name: name, addr: addr, stop: make(chan struct{}), poke: make(chan struct{}, 1), nap: lookAgain, most: most}
}

func (h *Daemon) watch() (err error) {
	eyes := map[string]*replicaWatcher{}
	for {
		select {
		case <-h.T.Dying():
			return nil
		case p := <-h.pics:
			h.watchAll(eyes, p)
		case name := <-h.looks:
			if e := eyes[name]; e != nil {
				select {
				case e.poke <- struct{}{}:
				default:
				}
			}
		}
	}
}

// picture leaves the newest for the watchers and never waits for them.
func (h *Daemon) watchSnapshot(p *config.Snapshot) {
	select {
	case <-h.pics:
	default:
	}
	h.pics <- p
}

func (h *Daemon) wake(names []string) {
	for _, name := range names {
		select {
		case h.looks <- name:
		default:
		}
	}
}

func (h *Daemon) watchAll(eyes map[string]*replicaWatcher, p *config.Snapshot) {
	wanted := map[string]string{}
	for _, o := range p.Charter.Offers {
		for _, r := range o.Replicas {
			wanted[r.Name] = r.Addr
		}
	}
	for name, e := range eyes {
		if wanted[name] != e.addr {
			close(e.stop)
			delete(eyes, name)
		}
	}
	for name, addr := range wanted {
		if eyes[name] == nil {
			e := h.eye(name, addr, lookMost)
			eyes[name] = e
			h.T.Go(e.run)
		}
	}
}

func (e *replicaWatcher) run() (err error) {
	wait := time.NewTimer(0)
	defer wait.Stop()
	for {
		select {
		case <-e.h.T.Dying():
			return nil
		case <-e.stop:
			return nil
		case <-e.poke:
		case <-wait.C:
		}
		if e.nap = min(2*e.nap, e.most); e.look() {
			e.nap = lookAgain
		}
		wait.Reset(map[bool]time.Duration{true: e.most, false: e.nap}[e.ends >= hasty])
	}
}

func (e *replicaWatcher) tell(state control.ConnectionState, p control.Probed) {
	p.Replica, p.Own = e.name, true
	select {
	case e.h.in <- control.Observation{State: state, Probed: p}:
	case <-e.stop:
	case <-e.h.T.Dying():
	}
}

// look looks once, and for as long as the replica keeps the connection. News that it is back wake who naps between looks.
func (e *replicaWatcher) look() (seen bool) {
	conn, err := net.DialTimeout("tcp", e.addr, lookFor)
	if errors.Is(err, syscall.ECONNREFUSED) {
		e.tell(control.Down, control.Probed{})
	}
	if err != nil {
		return false
	}
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-e.h.T.Dying():
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
	e.tell(control.Up, p)
	_ = conn.SetDeadline(time.Time{})
	from := time.Now()
	_, _ = r.ReadByte()
	e.ended(time.Since(from) < kept)
	return true
}

// ended tells that the connection was shut, unless this replica keeps none and shuts each at once.
func (e *replicaWatcher) ended(soon bool) {
	e.ends++
	if !soon {
		e.ends = 0
	}
	if e.ends < hasty {
		e.tell(control.Closed, control.Probed{})
	}
}

func (e *replicaWatcher) ask(conn net.Conn, r *bufio.Reader) (p control.Probed, ok bool) {
	_ = conn.SetDeadline(time.Now().Add(lookFor))
	req, err := http.NewRequest(http.MethodGet, "http://"+e.addr+"/v1/usage", nil)
	if err != nil || req.Write(conn) != nil {
		return p, false
	}
	resp, err := http.ReadResponse(r, req)
	if err != nil {
		return p, false
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, probeBytes))
	var u usage
	if err != nil || resp.StatusCode != http.StatusOK || json.Unmarshal(raw, &u) != nil {
		return p, false
	}
	return u.probed()
}
