package main

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"time"
)

// playResume lets streams run while their route becomes resumable, and crashes a replica after that. Rule UNASKED: no replica may run a
// request whose method, path, query or body is another than the client's.
func playResume(w *world) (bool, error) {
	for i := range 6 {
		if _, err := w.platform.add("huvo11a", zones[i%3], behavior{work: 20 * time.Millisecond, events: 60, pause: 100 * time.Millisecond}); err != nil {
			return false, err
		}
	}
	streams := route{
		Name: "r-d3zji9n", Hostname: host, PathPrefix: streamPath, RouteType: "streaming", TimeoutMs: 15000, TargetLatencyMs: 800,
		TargetService: "huvo11a", MaxAttempts: 2, SessionAffinity: true, TargetGapMs: 400,
	}
	plain := route{Name: "r-wrr6x73", Hostname: host, PathPrefix: "/plain/", RouteType: "safe", TimeoutMs: 1500, TargetLatencyMs: 300, Priority: 2, TargetService: "huvo11a", MaxAttempts: 2}
	if err := w.begin(configuration(1, 16384, 0, streams, plain)); err != nil {
		return false, err
	}
	usual := w.startTraffic("/plain/", 4, 200*time.Millisecond)
	time.Sleep(3 * time.Second)
	asked, done := w.startStreams(24)
	time.Sleep(1500 * time.Millisecond)
	if w.trouble && w.mode != "crash" {
		streams.StreamResume = true
		if err := w.order(0, "PATCH", "/configuration", "1", patch(2, streams)); err != nil {
			return false, err
		}
	}
	time.Sleep(2500 * time.Millisecond)
	if w.trouble && w.mode != "config" {
		w.busiest().crash()
	}
	outcomes := <-done
	w.record.say("%d of %d plain requests were served", served(usual.stop()), len(usual.outcomes))
	return w.judgeBodies(asked, outcomes), nil
}

// startStreams sends streams, each with a body of its own.
func (w *world) startStreams(count int) (map[string]request, chan []outcome) {
	asked, outcomes := map[string]request{}, []outcome(nil)
	var lock sync.Mutex
	var clients sync.WaitGroup
	for n := range count {
		q := request{
			path: fmt.Sprintf("%s%d", streamPath, n), body: bytes.Repeat([]byte{byte('A' + n)}, 2000+n), deadline: 15 * time.Second,
			headers: map[string]string{"X-Model": "m", "X-Token-Usage": "1460,360", "X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:800,91bd3f06:410,e440%04x:250", n)},
		}
		clients.Add(1)
		go func() {
			defer clients.Done()
			time.Sleep(time.Duration(n) * 40 * time.Millisecond)
			c := &client{record: w.record, front: w.fleet.front(n % len(w.fleet.nodes))}
			defer c.close()
			o := c.ask(q)
			lock.Lock()
			defer lock.Unlock()
			asked[o.attempt], outcomes = q, append(outcomes, o)
		}()
	}
	done := make(chan []outcome, 1)
	go func() {
		clients.Wait()
		done <- outcomes
	}()
	return asked, done
}

// busiest is the replica that has begun the most streams.
func (w *world) busiest() *replica {
	var most *replica
	count := -1
	for _, r := range w.platform.all() {
		n := 0
		for _, one := range r.all() {
			if strings.HasPrefix(one.line, "POST "+streamPath) {
				n++
			}
		}
		if n > count {
			most, count = r, n
		}
	}
	return most
}

// judgeBodies compares what replicas ran with what clients sent, and counts answers that were made of another body.
func (w *world) judgeBodies(asked map[string]request, outcomes []outcome) bool {
	changed, mixed := 0, 0
	for _, r := range w.platform.all() {
		for _, one := range r.all() {
			q, known := asked[one.attempt]
			if known && (one.line != "POST "+q.path || one.body != sum(q.body) || one.bytes != len(q.body)) {
				changed++
				w.record.say("UNASKED: %s ran %s with %d bytes of body, the client sent %d (Last-Event-Id %q)", r.instance, one.attempt, one.bytes, len(q.body), one.from)
			}
		}
	}
	for _, o := range outcomes {
		events := strings.Count(o.body, "data: ")
		own := strings.Count(o.body, "made of body "+sum(asked[o.attempt].body))
		if o.status == 200 && o.broke == nil && own < events {
			mixed++
			w.record.say("client %s got a complete answer of %d events, %d of them made of its own body", o.attempt, events, own)
		}
	}
	w.record.say("%d streams, %d whole; %d runs with another body than the client's; %d complete answers partly made of another body", len(outcomes), served(outcomes), changed, mixed)
	return changed > 0
}
