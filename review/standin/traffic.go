package main

import (
	"sync"
	"time"
)

// traffic is clients that send plain requests at an even pace until they are told to stop.
type traffic struct {
	lock     sync.Mutex
	outcomes []outcome
	stopped  chan struct{}
	clients  sync.WaitGroup
}

// startTraffic has so many clients for each node send a request each pause.
func (w *world) startTraffic(path string, perNode int, pause time.Duration) *traffic {
	t := &traffic{stopped: make(chan struct{})}
	for i := range w.fleet.nodes {
		for n := range perNode {
			t.clients.Add(1)
			go func() {
				defer t.clients.Done()
				time.Sleep(pause * time.Duration(n) / time.Duration(perNode))
				t.send(&client{record: w.record, front: w.fleet.front(i)}, path, pause)
			}()
		}
	}
	return t
}

func (t *traffic) send(c *client, path string, pause time.Duration) {
	defer c.close()
	tick := time.NewTicker(pause)
	defer tick.Stop()
	for {
		select {
		case <-t.stopped:
			return
		case <-tick.C:
		}
		o := c.ask(request{path: path + "1", body: []byte("{}"), deadline: 1500 * time.Millisecond})
		t.lock.Lock()
		t.outcomes = append(t.outcomes, o)
		t.lock.Unlock()
	}
}

// stop ends the traffic and gives what came of it.
func (t *traffic) stop() []outcome {
	close(t.stopped)
	t.clients.Wait()
	return t.outcomes
}

// served counts the outcomes with a success.
func served(all []outcome) int {
	n := 0
	for _, o := range all {
		if o.status == 200 && o.broke == nil {
			n++
		}
	}
	return n
}
