package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// cutLasts is how long the link between the operator and the one node is cut.
const cutLasts = 5500 * time.Millisecond

// playEvacuation empties a zone, takes that back and empties it again, while the link between the operator and one node is cut for some
// seconds. Rule EVAC: no request may arrive in a zone later than evacuationMs after its evacuation was acknowledged, until that is taken back.
func playEvacuation(w *world) (bool, error) {
	for i := range 6 {
		if _, err := w.platform.add("huvo11a", zones[i%3], behavior{work: 30 * time.Millisecond}); err != nil {
			return false, err
		}
	}
	plain := route{Name: "r-wrr6x73", Hostname: host, PathPrefix: "/plain/", RouteType: "safe", TimeoutMs: 1500, TargetLatencyMs: 300, Priority: 2, TargetService: "huvo11a", MaxAttempts: 2}
	if err := w.begin(configuration(1, 16384, 0, plain)); err != nil {
		return false, err
	}
	usual := w.startTraffic("/plain/", 3, 150*time.Millisecond)
	// The last node has no disk and doesn't count; it alone stands behind the link that is cut.
	far := len(w.fleet.nodes) - 1
	link, err := newLink(w, w.fleet.control(far))
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	zone := zones[2]
	path := "/evacuations/" + zone
	if err = w.order(0, "POST", path, "", ""); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	kept, err := link.open()
	if err != nil {
		return false, err
	}
	if w.trouble {
		link.cut(cutLasts)
	}
	if err = w.takeBack(kept, path, far); err != nil {
		return false, err
	}
	time.Sleep(1500 * time.Millisecond)
	if err = w.order(1, "POST", path, "", ""); err != nil {
		return false, err
	}
	emptied := time.Now()
	time.Sleep(14 * time.Second)
	outcomes := usual.stop()
	w.record.say("%d of %d requests were served", served(outcomes), len(outcomes))
	return w.judgeEvacuation(zone, emptied, outcomes, far), nil
}

// takeBack sends DELETE on the operator's open connection to the far node, and after a second of silence to another node.
func (w *world) takeBack(kept net.Conn, path string, far int) error {
	name := w.fleet.nodes[far].name
	w.record.say("operator: DELETE %s at %s", path, name)
	if _, err := fmt.Fprintf(kept, "DELETE %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, name); err != nil {
		return err
	}
	_ = kept.SetReadDeadline(time.Now().Add(time.Second))
	answer := make([]byte, 512)
	n, err := kept.Read(answer)
	_ = kept.Close()
	if err == nil {
		w.record.say("operator: %s answers %.15s", name, answer[:n])
		return nil
	}
	w.record.say("operator: no answer of %s within a second; the connection is closed", name)
	return w.order(0, http.MethodDelete, path, "", "")
}

// judgeEvacuation counts what came to the zone too late, over the nodes that were in touch all the time.
func (w *world) judgeEvacuation(zone string, emptied time.Time, outcomes []outcome, far int) bool {
	over := map[string]string{}
	for _, o := range outcomes {
		over[o.attempt] = o.front
	}
	late, last := 0, time.Duration(0)
	for _, r := range w.platform.all() {
		for _, one := range r.all() {
			after := one.at.Sub(emptied)
			if r.zone != zone || after <= 5*time.Second || over[one.attempt] == w.fleet.front(far) {
				continue
			}
			late, last = late+1, max(last, after)
			w.record.say("EVAC: %s reached %s in %s over %s, %.2f s after the evacuation was acknowledged", one.attempt, r.instance, zone, over[one.attempt], after.Seconds())
		}
	}
	w.record.say("%d requests reached the evacuated zone later than 5 s after the acknowledgement, the last after %.1f s", late, last.Seconds())
	return late > 0
}

// link carries the operator's bytes to one node; while it is cut it holds them.
type link struct {
	world  *world
	to     string
	lis    net.Listener
	healed atomic.Pointer[chan struct{}]
}

func newLink(w *world, to string) (*link, error) {
	lis, err := net.Listen("tcp", fmt.Sprintf("%s98:%d", w.fleet.network, controlPort))
	if err != nil {
		return nil, err
	}
	l := &link{world: w, to: to, lis: lis}
	whole := make(chan struct{})
	close(whole)
	l.healed.Store(&whole)
	go l.serve()
	return l, nil
}

func (l *link) open() (net.Conn, error) {
	conn, err := net.Dial("tcp", l.lis.Addr().String())
	if err != nil {
		return nil, err
	}
	// The connection is used once before the cut, so it stands at the node.
	if _, err = fmt.Fprintf(conn, "GET /configuration HTTP/1.1\r\nHost: node\r\n\r\n"); err != nil {
		return nil, err
	}
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	n, err := conn.Read(make([]byte, 16384))
	l.world.record.say("operator: GET /configuration over the link: %d bytes, %v", n, err)
	return conn, err
}

// cut holds all bytes for a while; then they go on, with the end of the connection behind them.
func (l *link) cut(lasts time.Duration) {
	l.world.record.say("the link is cut for %s", lasts)
	healed := make(chan struct{})
	l.healed.Store(&healed)
	time.AfterFunc(lasts, func() {
		l.world.record.say("the link is healed")
		close(healed)
	})
}

func (l *link) serve() {
	for {
		near, err := l.lis.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", l.to)
		if err != nil {
			_ = near.Close()
			continue
		}
		go l.carry(far, near)
		go l.carry(near, far)
	}
}

func (l *link) carry(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		<-*l.healed.Load()
		if n > 0 {
			l.world.record.say("the link carries %.40q", buf[:n])
			_, _ = to.Write(buf[:n])
		}
		if err != nil {
			if err == io.EOF {
				_ = to.(*net.TCPConn).CloseWrite()
			}
			return
		}
	}
}
