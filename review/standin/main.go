// Command standin plays the cases of the review: it starts nodes of mallowbridge as processes of their own, on loopback addresses and the
// real clock, and stands in for their clients, replicas, operators and platform. It exits with 1 if the rule of the case was broken, with 0 if
// it held, and with 2 if the case could not be played. TROUBLE=0 plays the same without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes.
const (
	held    = 0
	broken  = 1
	invalid = 2
)

// longest is how long a case may run.
const longest = 110 * time.Second

// world is what a case is played in.
type world struct {
	record   *record
	fleet    *fleet
	platform *platform
	trouble  bool
	// mode is the value of TROUBLE.
	mode string
}

// A scenario plays one case and tells whether its rule was broken.
type scenario struct {
	nodes, disks int
	play         func(w *world) (bool, error)
}

var scenarios = map[string]scenario{
	"resume":     {nodes: 3, disks: 3, play: playResume},
	"evacuation": {nodes: 6, disks: 3, play: playEvacuation},
	"limits":     {nodes: 3, disks: 3, play: playLimits},
	"upload":     {nodes: 3, disks: 3, play: playUpload},
	"seeds":      {nodes: 8, disks: 3, play: playSeeds},
}

func main() {
	if len(os.Args) != 4 || scenarios[os.Args[1]].play == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		os.Exit(invalid)
	}
	os.Exit(run(scenarios[os.Args[1]], os.Args[2], os.Args[3]))
}

func run(s scenario, root, recordPath string) int {
	rec, err := openRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return invalid
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		rec.say("no temporary folder: %v", err)
		return invalid
	}
	defer os.RemoveAll(dir)
	w := &world{record: rec, trouble: os.Getenv("TROUBLE") != "0", mode: os.Getenv("TROUBLE")}
	code := make(chan int, 1)
	go func() { code <- w.run(s, root, dir) }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	result := invalid
	select {
	case result = <-code:
	case <-stop:
	case <-time.After(longest):
		rec.say("gave up after %s", longest)
	}
	if w.fleet != nil {
		w.fleet.killAll()
	}
	fmt.Println(map[int]string{held: "the rule held", broken: "the rule was broken", invalid: "the case could not be played"}[result])
	return result
}

func (w *world) run(s scenario, root, dir string) int {
	var err error
	if w.fleet, err = newFleet(w.record, root, dir, s.nodes, s.disks); err != nil {
		w.record.say("no fleet: %v", err)
		return invalid
	}
	w.platform = newPlatform(w.record, w.fleet)
	was, err := s.play(w)
	if err != nil {
		w.record.say("could not be played: %v", err)
		return invalid
	}
	w.record.say("disruption: %v; rule broken: %v", w.trouble, was)
	if was {
		return broken
	}
	return held
}

// begin starts all nodes, gives them the first configuration and waits until they are ready.
func (w *world) begin(document string) error {
	if err := w.platform.serve(); err != nil {
		return err
	}
	for i := range w.fleet.nodes {
		if err := w.fleet.start(i); err != nil {
			return err
		}
	}
	end := time.Now().Add(20 * time.Second)
	for i := 0; ; i++ {
		status, said := w.call(i%len(w.fleet.nodes), "PUT", "/configuration", "0", document)
		if status == 200 {
			break
		}
		if time.Now().After(end) {
			return fmt.Errorf("the first configuration: %d %s", status, said)
		}
		time.Sleep(200 * time.Millisecond)
	}
	for i := range w.fleet.nodes {
		for !w.fleet.ready(i) {
			if time.Now().After(end) {
				return fmt.Errorf("node %d is not ready", i+1)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.record.say("all nodes are ready")
	time.Sleep(2 * time.Second)
	return nil
}
