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
)

// Ports of each node; the nodes differ in their addresses.
const (
	frontPort     = 18161
	controlPort   = 18166
	readinessPort = 18167
	firstPort     = 17720
	lastPort      = 17735
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
	// exited is closed once the process has ended.
	exited chan struct{}
}

// Fleet runs nodes as processes of their own.
type Fleet struct {
	dir    string
	binary string
	nodes  []*node
}

// zoneOf gives the i-th node or replica its zone.
func zoneOf(i int) string { return string(rune('a' + i%3)) }

// maxNodes is how many nodes a fleet has at most.
const maxNodes = 15

// address gives each node of this process an address on the loopback interface that no other process has reason to take.
func address(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+(pid>>12)&0x3f, (pid>>4)&0xff, (pid&0xf)*maxNodes+i+1)
}

// NewFleet writes the settings of n nodes into the folder dir; binary is the program.
func NewFleet(dir, binary, cloud string, n int) (*Fleet, error) {
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

// Fronts are the addresses that take clients.
func (f *Fleet) Fronts() []string {
	var all []string
	for _, n := range f.nodes {
		all = append(all, fmt.Sprintf("%s:%d", n.ip, frontPort))
	}
	return all
}

func (f *Fleet) control(i int) string { return fmt.Sprintf("%s:%d", f.nodes[i].ip, controlPort) }

func (f *Fleet) writeSettings(i int, cloud string, firstStart bool) error {
	n := f.nodes[i]
	n.settings = filepath.Join(f.dir, n.name+".yaml")
	disk := ""
	if n.voter {
		disk = fmt.Sprintf("dataDirectory: %q\n", filepath.Join(f.dir, n.name))
	}
	text := fmt.Sprintf(`nodeName: %q
role: "node"
serves: ["frontend", "control_plane"]
ipAddress: %q
zone: %q
region: "r"
bindAddresses: {front: "%[2]s:%[4]d", readiness: "%[2]s:%[5]d", control: "%[2]s:%[6]d"}
internalPortRange: [%[7]d, %[8]d]
seedNodes: [%[9]q, %[10]q, %[11]q]
firstStart: %[12]t
countsTowardQuorum: %[13]t
faultTolerance: {machines: 1, zones: 1, regions: 0}
bounds: {gracePeriodS: %[14]d, retryBudgetRatio: 0.5, retryBudgetExtra: 4000, retryWindowS: 10}
cloudApi: {address: %[15]q, ratePerS: 40}
`, n.name, n.ip, zoneOf(i), frontPort, readinessPort, controlPort, firstPort, lastPort, f.control(0), f.control(1), f.control(2),
		firstStart, n.voter, int(gracePeriod.Seconds()), cloud) + disk
	return os.WriteFile(n.settings, []byte(text), 0o600)
}

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

// Signal sends a signal to a node and waits until it has ended; one that outlives the grace period is killed.
func (f *Fleet) Signal(i int, sig syscall.Signal) {
	n := f.nodes[i]
	_ = n.process.Process.Signal(sig)
	select {
	case <-n.exited:
	case <-time.After(gracePeriod):
		_ = n.process.Process.Kill()
		<-n.exited
	}
}

// Freeze has a node stand still for a while.
func (f *Fleet) Freeze(i int, d time.Duration) {
	process := f.nodes[i].process.Process
	_ = process.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	_ = process.Signal(syscall.SIGCONT)
}

// Stop ends all nodes that run.
func (f *Fleet) Stop() {
	for i, n := range f.nodes {
		if n.process != nil {
			f.Signal(i, syscall.SIGKILL)
		}
	}
}

// AwaitReady waits until all nodes say that they are ready.
func (f *Fleet) AwaitReady(within time.Duration) error {
	end := time.Now().Add(within)
	for _, n := range f.nodes {
		for !answersOK(fmt.Sprintf("http://%s:%d/readiness", n.ip, readinessPort)) {
			if time.Now().After(end) {
				return &StartError{Node: n.name}
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// StartError says that a node did not become ready.
type StartError struct{ Node string }

func (e *StartError) Error() string { return "node " + e.Node + " does not become ready" }

func answersOK(url string) bool {
	resp, err := (&http.Client{Timeout: time.Second}).Get(url)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Configure puts the first configuration, at any node that takes it.
func (f *Fleet) Configure(within time.Duration) error {
	var said string
	for i, end := 0, time.Now().Add(within); time.Now().Before(end); i++ {
		var status int
		if status, said = put(f.control(i%len(f.nodes)), 1); status == http.StatusOK {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return &ConfigurationError{Answer: said}
}

// Controls are the addresses that take operators' calls.
func (f *Fleet) Controls() []string {
	var all []string
	for i := range f.nodes {
		all = append(all, f.control(i))
	}
	return all
}

// ConfigurationError says that no node took the configuration; Answer is the last one's.
type ConfigurationError struct{ Answer string }

func (e *ConfigurationError) Error() string { return "no node takes the configuration: " + e.Answer }

// Races are the reports of the race detector in the nodes' logs, where the program has it.
func (f *Fleet) Races() int {
	var all int
	for _, n := range f.nodes {
		text, _ := os.ReadFile(filepath.Join(f.dir, n.name+".log"))
		all += bytes.Count(text, []byte("WARNING: DATA RACE"))
	}
	return all
}
