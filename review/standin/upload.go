package main

import (
	"bytes"
	"sync"
	"syscall"
	"time"
)

// The uploads: their size, how many bytes are sent in a tenth of a second, and how long before SIGTERM they begin.
const (
	uploads    = 12
	uploadSize = 2 << 20
	uploadPace = uploadSize / 45
	uploadLead = 300 * time.Millisecond
)

// sentBefore is until when after SIGTERM a request must have been sent for its replica's work to be an excuse.
const sentBefore = 3 * time.Second

// playUpload stops a node with SIGTERM while long bodies are on their way to it. Rule LOST: around a SIGTERM no connection ends without a
// complete answer once its request was read whole and passed on.
func playUpload(w *world) (bool, error) {
	for i := range 6 {
		if _, err := w.platform.add("huvo11a", zones[i%3], behavior{work: 4 * time.Second}); err != nil {
			return false, err
		}
	}
	work := route{Name: "r-wrr6x73", Hostname: host, PathPrefix: "/jobs/", RouteType: "unsafe", TimeoutMs: 15000, TargetLatencyMs: 5000, Priority: 0, TargetService: "huvo11a", MaxAttempts: 1}
	if err := w.begin(configuration(1, 16384, 0, work)); err != nil {
		return false, err
	}
	last := len(w.fleet.nodes) - 1
	var all []outcome
	var lock sync.Mutex
	var clients sync.WaitGroup
	for n := range uploads {
		clients.Add(1)
		go func() {
			defer clients.Done()
			c := &client{record: w.record, front: w.fleet.front(last)}
			defer c.close()
			o := c.ask(request{path: "/jobs/2f", body: bytes.Repeat([]byte{byte('a' + n)}, uploadSize), deadline: 15 * time.Second, pace: uploadPace})
			lock.Lock()
			defer lock.Unlock()
			all = append(all, o)
		}()
	}
	time.Sleep(uploadLead)
	stopped := time.Now()
	if w.trouble {
		w.fleet.signal(last, syscall.SIGTERM)
	}
	clients.Wait()
	lost := 0
	for _, o := range all {
		if w.trouble && w.lost(o, stopped) {
			lost++
		}
	}
	w.record.say("%d uploads, %d served; %d read whole and passed on, sent later than %s after SIGTERM, and then cut", len(all), served(all), lost, sentBefore)
	return lost > 0 || (!w.trouble && served(all) < len(all)), nil
}

// lost tells whether a request was passed on to a replica and its connection then ended without a complete answer, though its last byte was
// sent so late that the replica's work is no excuse, and in time.
func (w *world) lost(o outcome, stopped time.Time) bool {
	if o.broke == nil && o.status != 0 {
		return false
	}
	for _, r := range w.platform.all() {
		for _, one := range r.all() {
			if one.attempt == o.attempt && o.lastByte.Sub(stopped) > sentBefore && o.ended.Sub(o.sent) < 15*time.Second {
				w.record.say("LOST: %s, its last byte sent %.2f s after SIGTERM, run by %s from %.2f s on, its connection ended at %.2f s: %v", o.attempt,
					o.lastByte.Sub(stopped).Seconds(), r.instance, one.at.Sub(stopped).Seconds(), o.ended.Sub(stopped).Seconds(), o.broke)
				return true
			}
		}
	}
	return false
}
