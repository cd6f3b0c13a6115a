package rehearsal

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/mallowbridge/mallowbridge/ledger"
)

// voterCount is the number of nodes that have a disk and vote on the register. One of them may be lost.
const voterCount = 3

// gracePeriod is how long a process may take to exit after SIGTERM.
const gracePeriod = 3 * time.Second

// node is a node process and everything that is needed to start it again.
type node struct {
	name, ip, settings string
	voter              bool
	process            *exec.Cmd
	// exited is closed when the process has exited. mayExit is set before it is told to exit.
	exited  chan struct{}
	mayExit *atomic.Bool
	// pastFaults are the faults that are over. ongoingFault is the current fault, nil without one. Only the goroutine that injects faults into the
	// node may use them.
	pastFaults   []ledger.NodeFault
	ongoingFault *ledger.NodeFault
}

// frontendAddr returns the address that accepts client requests.
func (n *node) frontendAddr() string { return fmt.Sprintf("%s:%d", n.ip, frontendPort) }

// Fleet runs each node as a separate process.
type Fleet struct {
	dir    string
	binary string
	nodes  []*node
	exits  unexpectedExits
}

// FleetSizeError reports a number of nodes that a fleet can't have.
type FleetSizeError struct{ Nodes int }

func (e *FleetSizeError) Error() string {
	return fmt.Sprintf("a fleet can't have %d nodes, only %d to %d", e.Nodes, voterCount, maxNodes)
}

// NewFleet writes the settings of n nodes to the directory dir. The nodes run the program binary and read their replicas from the platform address
// cloud.
func NewFleet(dir, binary, cloud string, n int) (*Fleet, error) {
	if n < voterCount || n > maxNodes {
		return nil, &FleetSizeError{Nodes: n}
	}
	f := &Fleet{dir: dir, binary: binary}
	for i := range n {
		f.nodes = append(f.nodes, &node{name: fmt.Sprintf("n%d", i+1), ip: address(i), voter: i < voterCount})
	}
	for i := range f.nodes {
		if err := f.writeSettings(i, cloud, true); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// FrontendAddrs returns the addresses that accept client requests.
func (f *Fleet) FrontendAddrs() []string {
	var all []string
	for _, n := range f.nodes {
		all = append(all, n.frontendAddr())
	}
	return all
}

func (f *Fleet) controlAddr(i int) string { return fmt.Sprintf("%s:%d", f.nodes[i].ip, controlPort) }

// Start starts the i-th node, which must not be running, and appends its output to its log file.
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
	n.endFault()
	process, exited, mayExit := n.process, make(chan struct{}), &atomic.Bool{}
	n.exited, n.mayExit = exited, mayExit
	go func() {
		_ = process.Wait()
		if !mayExit.Load() {
			f.exits.add(n.name, process.ProcessState.String())
		}
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// programName is the name under which the processes run (argv[0]).
const programName = "mallowbridge"

// startTimeout bounds the time until a new fleet has accepted a configuration, and then the time until it is ready.
const startTimeout = 30 * time.Second

// Boot starts all nodes for the first time, puts the first configuration and waits until all nodes are ready.
func (f *Fleet) Boot(cloud, document string) error {
	for i := range f.nodes {
		if err := f.Start(i); err != nil {
			return err
		}
	}
	if err := f.Configure(document, startTimeout); err != nil {
		return err
	}
	for i := range f.nodes {
		if err := f.writeSettings(i, cloud, false); err != nil {
			return err
		}
	}
	return f.AwaitReady(startTimeout)
}

// Stop stops all nodes that were started.
func (f *Fleet) Stop() {
	for i, n := range f.nodes {
		if n.process != nil {
			f.SignalAndWait(i, syscall.SIGKILL)
		}
	}
}

// AwaitReady waits until the readiness checks of all nodes succeed.
func (f *Fleet) AwaitReady(within time.Duration) error {
	end := time.Now().Add(within)
	for _, n := range f.nodes {
		for !returnsOK(fmt.Sprintf("http://%s:%d/readiness", n.ip, readinessPort)) {
			if time.Now().After(end) {
				return &NotReadyError{Node: n.name}
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// NotReadyError reports a node that did not become ready in time.
type NotReadyError struct{ Node string }

func (e *NotReadyError) Error() string { return fmt.Sprintf("node %q did not become ready", e.Node) }

func returnsOK(url string) bool {
	resp, err := (&http.Client{Timeout: time.Second}).Get(url)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Configure puts the first configuration. It tries one node after another until one accepts it.
func (f *Fleet) Configure(document string, within time.Duration) error {
	var response string
	for i, end := 0, time.Now().Add(within); time.Now().Before(end); i++ {
		var status int
		if status, response = putConfiguration(f.controlAddr(i%len(f.nodes)), 1, document); status == http.StatusOK {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return &ConfigurationError{Response: response}
}

// ControlAddrs returns the addresses that accept operator requests.
func (f *Fleet) ControlAddrs() []string {
	var all []string
	for i := range f.nodes {
		all = append(all, f.controlAddr(i))
	}
	return all
}

// ConfigurationError reports that no node accepted the configuration. Response is the last error, or the body of the last response.
type ConfigurationError struct{ Response string }

func (e *ConfigurationError) Error() string {
	return "no node accepted the configuration: " + e.Response
}

// CountDataRaces returns the number of the race detector's reports in the nodes' logs. It finds some only if the program was built with the race
// detector.
func (f *Fleet) CountDataRaces() int {
	var races int
	for _, n := range f.nodes {
		text, _ := os.ReadFile(filepath.Join(f.dir, n.name+".log"))
		races += bytes.Count(text, []byte("WARNING: DATA RACE"))
	}
	return races
}
