package main

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"mallowbridge": main})
}

func TestScripts(t *testing.T) {
	var next atomic.Int64
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(e *testscript.Env) error {
			for i := range 10 {
				e.Setenv("P"+strconv.Itoa(i), ownAddr(int(next.Add(1))))
			}
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"await": await, "operate": operate, "awaitmatch": awaitMatch, "config": writeConfig, "signal": sendSignal, "nodeconfig": nodeConfig, "awaitunready": awaitUnready,
		},
	})
}

// ownAddr returns the i-th loopback address of this process. It contains the process id, so that other processes do not use it.
func ownAddr(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 16+pid>>16&0x7f, pid>>8&0xff, pid&0xff, 17100+i)
}

// await repeats a command until it succeeds, for at most 60 s.
func await(ts *testscript.TestScript, _ bool, args []string) {
	deadline := time.Now().Add(60 * time.Second)
	for ts.Exec(args[0], args[1:]...) != nil {
		if time.Now().After(deadline) {
			ts.Fatalf("timed out waiting for %v", args)
		}
	}
}

// operate runs an operator's command as exec does. It repeats it, for at most 60 s, while a node that the machine paused rejects it and says that
// nothing was changed.
func operate(ts *testscript.TestScript, neg bool, args []string) {
	const paused = "this process was paused"
	deadline := time.Now().Add(60 * time.Second)
	err := ts.Exec(args[0], args[1:]...)
	for err != nil && strings.Contains(ts.ReadFile("stderr"), paused) && time.Now().Before(deadline) {
		err = ts.Exec(args[0], args[1:]...)
	}
	if neg != (err != nil) {
		ts.Fatalf("%v: error %v", args, err)
	}
}

// awaitMatch repeats a command until it succeeds and its output matches a pattern, or does not match if neg is set, for at most 60 s.
func awaitMatch(ts *testscript.TestScript, neg bool, args []string) {
	want := regexp.MustCompile(args[0])
	deadline := time.Now().Add(60 * time.Second)
	for ts.Exec(args[1], args[2:]...) != nil || want.MatchString(ts.ReadFile("stdout")) == neg {
		if time.Now().After(deadline) {
			ts.Fatalf("timed out waiting for %v", args)
		}
	}
}

// unreadyWithin is much shorter than the time after which a node with a grace period of 30 s leaves the fleet, which also makes it unready.
const unreadyWithin = 10 * time.Second

// awaitUnready waits until the readiness interface at an address responds with status 503 and the given reason as its body.
func awaitUnready(ts *testscript.TestScript, _ bool, args []string) {
	reason, addr := args[0], args[1]
	for deadline := time.Now().Add(unreadyWithin); ; time.Sleep(10 * time.Millisecond) {
		resp, err := http.Get("http://" + addr + "/")
		if err == nil {
			body, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusServiceUnavailable && strings.TrimSpace(string(body)) == reason {
				return
			}
		}
		if time.Now().After(deadline) {
			ts.Fatalf("%s is not unready with the reason %q: %v", addr, reason, err)
		}
	}
}

// sendSignal sends SIGSTOP or SIGCONT to the background process that has the given argument.
func sendSignal(ts *testscript.TestScript, _ bool, args []string) {
	for _, c := range ts.BackgroundCmds() {
		if slices.Contains(c.Args, args[1]) {
			ts.Check(c.Process.Signal(map[string]os.Signal{"STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT}[args[0]]))
			return
		}
	}
	ts.Fatalf("no background process with the argument %s", args[1])
}

// writeConfig writes a configuration document with a replica at each of the given addresses, each in its own zone.
func writeConfig(ts *testscript.TestScript, _ bool, args []string) {
	text := `{"offers":[{"name":"zoning","model":"m1","cold":{"startRoom":4,"rampMs":0},"replicas":[`
	for i, addr := range args[1:] {
		if i > 0 {
			text += ","
		}
		text += `{"name":"r` + strconv.Itoa(i+1) + `","addr":"` + addr + `","domain":"` + string(rune('a'+i)) + `","room":64}`
	}
	text += `],"kinds":[{"name":"counter","firstTokenMs":5000,"repeatable":true},{"name":"checklist","firstTokenMs":5000,"repeatable":true},
{"name":"dossier","firstTokenMs":8000}]}]}`
	ts.Check(os.WriteFile(filepath.Join(ts.Getenv("WORK"), args[0]), []byte(text), 0o600))
}

// nodeConfig writes the platform's settings file for a node with a disk whose only seed is itself.
func nodeConfig(ts *testscript.TestScript, _ bool, args []string) {
	grace := "2"
	if len(args) > 6 {
		grace = args[6]
	}
	front, readiness, control, internal := netip.MustParseAddrPort(args[1]), args[2], args[3], netip.MustParseAddrPort(args[4])
	text := fmt.Sprintf(`nodeName: "n1"
role: "node"
serves: ["frontend", "control_plane"]
ipAddress: %q
zone: "a"
region: "r"
bindAddresses: {front: %q, readiness: %q, control: %q}
internalPortRange: [%d, %d]
seedNodes: [%q]
firstStart: true
dataDirectory: %q
faultTolerance: {machines: 0, zones: 0, regions: 0}
bounds: {gracePeriodS: %s}
cloudApi: {address: %q, ratePerS: 10}
`, front.Addr(), front, readiness, control, internal.Port(), internal.Port()+1, control, filepath.Join(ts.Getenv("WORK"), "disk"), grace, args[5])
	ts.Check(os.WriteFile(filepath.Join(ts.Getenv("WORK"), args[0]), []byte(text), 0o600))
}
