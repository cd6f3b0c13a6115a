package main

import (
	"syscall"
	"time"
)

// A rolling restart: how long a stopped machine stays away, and how long the next one waits, which is far above catchUpS.
const (
	away        = 500 * time.Millisecond
	betweenStop = 10 * time.Second
	// readBack is how long the configuration is asked for at the end, contactMs (3 s) at least.
	readBack = 12 * time.Second
)

// playSeeds names other seeds, which don't count, loses these, and then stops and starts two machines of the core in turn. Rule CONFIG: the
// configuration that was acknowledged comes when it is read back. TROUBLE=seeds leaves the restarts out, TROUBLE=roll the loss of the
// seeds; TROUBLE=kill has the machines killed, not stopped, and TROUBLE=all has all that run killed at once instead.
func playSeeds(w *world) (bool, error) {
	for i := range 6 {
		if _, err := w.platform.add("huvo11a", zones[i%3], behavior{work: 30 * time.Millisecond}); err != nil {
			return false, err
		}
	}
	plain := route{Name: "r-wrr6x73", Hostname: host, PathPrefix: "/plain/", RouteType: "safe", TimeoutMs: 1500, TargetLatencyMs: 300, Priority: 2, TargetService: "huvo11a", MaxAttempts: 2}
	if err := w.begin(configuration(1, 16384, 0, plain)); err != nil {
		return false, err
	}
	if err := w.fleet.rename(3, 4, 5); err != nil {
		return false, err
	}
	if err := w.order(0, "PUT", "/configuration", "1", configuration(2, 16384, 0, plain)); err != nil {
		return false, err
	}
	if w.trouble && w.mode != "roll" {
		w.lose(3, 4, 5)
	}
	time.Sleep(5 * time.Second)
	running := []int{0, 1, 2, 6, 7}
	if err := w.stopAndStart(running); err != nil {
		return false, err
	}
	return w.judgeReadBack(running), nil
}

// lose ends nodes for good.
func (w *world) lose(nodes ...int) {
	for _, i := range nodes {
		w.fleet.signal(i, syscall.SIGKILL)
		<-w.fleet.nodes[i].ended
	}
}

// stopAndStart restarts two machines of the core in turn, or what TROUBLE says.
func (w *world) stopAndStart(running []int) error {
	switch {
	case w.mode == "all":
		return w.restartAll(running)
	case !w.trouble || w.mode == "seeds":
		return nil
	}
	for _, i := range running[:2] {
		if err := w.restart(i); err != nil {
			return err
		}
	}
	return nil
}

// restart stops a node, waits until its process has ended, and starts it again.
func (w *world) restart(i int) error {
	sig := syscall.SIGTERM
	if w.mode == "kill" {
		sig = syscall.SIGKILL
	}
	w.fleet.signal(i, sig)
	select {
	case <-w.fleet.nodes[i].ended:
	case <-time.After(8 * time.Second):
		w.fleet.signal(i, syscall.SIGKILL)
		<-w.fleet.nodes[i].ended
	}
	time.Sleep(away)
	if err := w.fleet.start(i); err != nil {
		return err
	}
	time.Sleep(betweenStop)
	w.record.say("%s runs again; it is ready: %v", w.fleet.nodes[i].name, w.fleet.ready(i))
	return nil
}

// restartAll kills nodes at the same moment and starts them again.
func (w *world) restartAll(running []int) error {
	for _, i := range running {
		w.fleet.signal(i, syscall.SIGKILL)
	}
	for _, i := range running {
		<-w.fleet.nodes[i].ended
	}
	time.Sleep(away)
	for _, i := range running {
		if err := w.fleet.start(i); err != nil {
			return err
		}
	}
	time.Sleep(2 * betweenStop)
	return nil
}

// judgeReadBack asks all running nodes for the configuration, again and again.
func (w *world) judgeReadBack(running []int) bool {
	asked, came := 0, 0
	for end := time.Now().Add(readBack); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for _, i := range running {
			asked++
			if status, _ := w.call(i, "GET", "/configuration", "", ""); status == 200 {
				came++
			}
		}
	}
	for _, i := range running {
		w.record.say("%s is ready: %v", w.fleet.nodes[i].name, w.fleet.ready(i))
	}
	w.record.say("the configuration was asked for %d times at %d running nodes, all three of the core among them; it came %d times", asked, len(running), came)
	return came == 0
}
