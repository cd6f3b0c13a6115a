package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// keptPerNode is how many clients keep a connection to each node.
const keptPerNode = 8

// playLimits raises maxHeaderBytes while clients keep their connections, and then has them send longer headers, inside the new bound. Rules
// DENIED and CONFIG: proper requests that every configuration that may be in force allows are not ended with a 4xx of the system's own.
func playLimits(w *world) (bool, error) {
	for i := range 6 {
		if _, err := w.platform.add("huvo11a", zones[i%3], behavior{work: 10 * time.Millisecond}); err != nil {
			return false, err
		}
	}
	plain := route{Name: "r-wrr6x73", Hostname: host, PathPrefix: "/plain/", RouteType: "unsafe", TimeoutMs: 1500, TargetLatencyMs: 300, Priority: 2, TargetService: "huvo11a", MaxAttempts: 1}
	if err := w.begin(configuration(1, 16384, 0, plain)); err != nil {
		return false, err
	}
	var clients []*client
	for i := range w.fleet.nodes {
		for range keptPerNode {
			clients = append(clients, &client{record: w.record, front: w.fleet.front(i)})
		}
	}
	outcomes := rounds(clients, 15, 12<<10)
	longer := 12 << 10
	if w.trouble {
		if err := w.order(0, "PUT", "/configuration", "1", configuration(2, 32768, 0, plain)); err != nil {
			return false, err
		}
		longer = 28 << 10
		outcomes = append(outcomes, rounds(clients, 15, 12<<10)...)
	}
	outcomes = append(outcomes, rounds(clients, 5, longer)...)
	denied := 0
	for _, o := range outcomes {
		if o.status >= 400 && o.status < 500 && o.status != 408 && o.status != 421 && o.status != 429 {
			denied++
		}
	}
	bound := 5 + len(outcomes)/500
	w.record.say("%d requests, %d served; %d ended with a 4xx of the system's own, the rule allows %d", len(outcomes), served(outcomes), denied, bound)
	return denied > bound, nil
}

// rounds has each client send a request with so many bytes of headers every 0.2 s.
func rounds(clients []*client, count, headers int) []outcome {
	var all []outcome
	var lock sync.Mutex
	for range count {
		var round sync.WaitGroup
		for _, c := range clients {
			round.Add(1)
			go func() {
				defer round.Done()
				o := c.ask(request{path: "/plain/2f", body: []byte("{}"), deadline: 1500 * time.Millisecond, headers: prompt(headers)})
				lock.Lock()
				defer lock.Unlock()
				all = append(all, o)
			}()
		}
		round.Wait()
		time.Sleep(200 * time.Millisecond)
	}
	return all
}

// prompt gives headers of about so many bytes, for a prompt of many parts.
func prompt(bytes int) map[string]string {
	var parts []string
	for n, length := 0, 0; length < bytes-512; n++ {
		part := fmt.Sprintf("%08x:16", n)
		parts, length = append(parts, part), length+len(part)+1
	}
	return map[string]string{"X-Model": "m", "X-Token-Usage": fmt.Sprintf("%d,80", 16*len(parts)), "X-Prompt-Prefix": strings.Join(parts, ",")}
}
