package rehearsal

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/mallowbridge/mallowbridge/ledger"
)

// votingNodes have a disk; one of them may be lost.
const votingNodes = 3

// gracePeriod is how long a process may take to end after SIGTERM.
const gracePeriod = 3 * time.Second

// node is one process, and what it takes to start it again.
type node struct {
	name, ip, settings string
	voter              bool
	process            *exec.Cmd
	startedAt          time.Time
	// exited is closed once the process has ended.
	exited chan struct{}
	// faults are those that are over, failing the one that is not: the process was told to end, or killed. Whoever has the node fail owns both.
	faults  []ledger.NodeFault
	failing *ledger.NodeFault
}

// front is the address that takes clients.
func (n *node) front() string { return fmt.Sprintf("%s:%d", n.ip, frontPort) }

// Fleet runs nodes as processes of their own.
type Fleet struct {
	dir    string
	binary string
	nodes  []*node
}

// FleetSizeError says that a fleet can't have so many nodes.
type FleetSizeError struct{ Nodes int }

func (e *FleetSizeError) Error() string {
	return fmt.Sprintf("%d nodes, not %d to %d", e.Nodes, votingNodes, maxNodes)
}

// NewFleet writes the settings of n nodes into the folder dir; binary is the program.
func NewFleet(dir, binary, cloud string, n int) (*Fleet, error) {
	if n < votingNodes || n > maxNodes {
		return nil, &FleetSizeError{Nodes: n}
	}
	f := &Fleet{dir: dir, binary: binary}
	for i := range n {
		f.nodes = append(f.nodes, &node{name: fmt.Sprintf("n%d", i+1), ip: address(i), voter: i < votingNodes})
	}
	for i := range f.nodes {
		if err := f.writeSettings(i, cloud, true); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// FrontendAddrs are the addresses that take clients.
func (f *Fleet) FrontendAddrs() []string {
	var all []string
	for _, n := range f.nodes {
		all = append(all, n.front())
	}
	return all
}

func (f *Fleet) control(i int) string { return fmt.Sprintf("%s:%d", f.nodes[i].ip, controlPort) }

// Start starts a node that does not run; its log is appended to a file.
func (f *Fleet) Start(i int) error {
	n := f.nodes[i]
	log, err := os.OpenFile(filepath.Join(f.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.process = exec.Command(f.binary, "node", "--settings", n.settings)
	n.process.Args[0] = programName
	n.process.Stdout, n.process.Stderr = log, log
	if err := n.process.Start(); err != nil {
		return err
	}
	n.recover()
	n.startedAt = time.Now()
	process, exited := n.process, make(chan struct{})
	n.exited = exited
	go func() {
		_ = process.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// programName is what the processes are called.
const programName = "mallowbridge"

// startTime bounds how long a fleet takes until it has a configuration, and until it is ready.
const startTime = 30 * time.Second

// Boot starts all nodes for the first time and gives them a configuration.
func (f *Fleet) Boot(cloud, document string) error {
	for i := range f.nodes {
		if err := f.Start(i); err != nil {
			return err
		}
	}
	if err := f.Configure(document, startTime); err != nil {
		return err
	}
	for i := range f.nodes {
		if err := f.writeSettings(i, cloud, false); err != nil {
			return err
		}
	}
	return f.AwaitReady(startTime)
}

// Stop ends all nodes that run.
func (f *Fleet) Stop() {
	for i, n := range f.nodes {
		if n.process != nil {
			f.SignalAndWait(i, syscall.SIGKILL)
		}
	}
}

// AwaitReady waits until all nodes say that they are ready.
func (f *Fleet) AwaitReady(within time.Duration) error {
	end := time.Now().Add(within)
	for _, n := range f.nodes {
		for !answersOK(fmt.Sprintf("http://%s:%d/readiness", n.ip, readinessPort)) {
			if time.Now().After(end) {
				return &NotReadyError{Node: n.name}
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// NotReadyError says that a node did not become ready.
type NotReadyError struct{ Node string }

func (e *NotReadyError) Error() string { return "node " + e.Node + " does not become ready" }

func answersOK(url string) bool {
	resp, err := (&http.Client{Timeout: time.Second}).Get(url)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Configure puts the first configuration, at any node that takes it.
func (f *Fleet) Configure(document string, within time.Duration) error {
	var said string
	for i, end := 0, time.Now().Add(within); time.Now().Before(end); i++ {
		var status int
		if status, said = put(f.control(i%len(f.nodes)), 1, document); status == http.StatusOK {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return &ConfigurationError{Response: said}
}

// ControlAddrs are the addresses that take operators' calls.
func (f *Fleet) ControlAddrs() []string {
	var all []string
	for i := range f.nodes {
		all = append(all, f.control(i))
	}
	return all
}

// ConfigurationError says that no node took the configuration; Answer is the last one's.
type ConfigurationError struct{ Response string }

func (e *ConfigurationError) Error() string { return "no node takes the configuration: " + e.Response }

// CountDataRaces are the reports of the race detector in the nodes' logs, where the program has it.
func (f *Fleet) CountDataRaces() int {
	var all int
	for _, n := range f.nodes {
		text, _ := os.ReadFile(filepath.Join(f.dir, n.name+".log"))
		all += bytes.Count(text, []byte("WARNING: DATA RACE"))
	}
	return all
}
