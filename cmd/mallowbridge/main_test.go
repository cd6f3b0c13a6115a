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
				e.Setenv("P"+strconv.Itoa(i), own(int(next.Add(1))))
			}
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"await": await, "awaitmatch": awaitMatch, "config": writeConfig, "signal": send, "nodeconfig": nodeConfig, "awaitunready": awaitUnready,
		},
	})
}

// own names a loopback address that no other process has reason to take: the process id is in it.
func own(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 16+pid>>16&0x7f, pid>>8&0xff, pid&0xff, 17100+i)
}

func await(ts *testscript.TestScript, _ bool, args []string) {
	end := time.Now().Add(60 * time.Second)
	for ts.Exec(args[0], args[1:]...) != nil {
		if time.Now().After(end) {
			ts.Fatalf("gave up on %v", args)
		}
	}
}

func awaitMatch(ts *testscript.TestScript, neg bool, args []string) {
	want := regexp.MustCompile(args[0])
	end := time.Now().Add(60 * time.Second)
	for ts.Exec(args[1], args[2:]...) != nil || want.MatchString(ts.ReadFile("stdout")) == neg {
		if time.Now().After(end) {
			ts.Fatalf("gave up on %v", args)
		}
	}
}

// unreadyWithin is far less than the time after which a node with a grace period of 30 s leaves the fleet, and is unready for that.
const unreadyWithin = 10 * time.Second

// awaitUnready waits until the readiness interface at an address answers 503 for a reason, which is its body.
func awaitUnready(ts *testscript.TestScript, _ bool, args []string) {
	reason, addr := args[0], args[1]
	for end := time.Now().Add(unreadyWithin); ; time.Sleep(10 * time.Millisecond) {
		resp, err := http.Get("http://" + addr + "/")
		if err == nil {
			body, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusServiceUnavailable && strings.TrimSpace(string(body)) == reason {
				return
			}
		}
		if time.Now().After(end) {
			ts.Fatalf("%s is not unready for %q: %v", addr, reason, err)
		}
	}
}

func send(ts *testscript.TestScript, _ bool, args []string) {
	for _, c := range ts.BackgroundCmds() {
		if slices.Contains(c.Args, args[1]) {
			ts.Check(c.Process.Signal(map[string]os.Signal{"STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT}[args[0]]))
			return
		}
	}
	ts.Fatalf("no process of %s", args[1])
}

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

// nodeConfig writes the platform's settings for one node with a disk that is its own only seed.
func nodeConfig(ts *testscript.TestScript, _ bool, args []string) {
	grace := "2"
	if len(args) > 6 {
		grace = args[6]
	}
	front, ready, control, inner := netip.MustParseAddrPort(args[1]), args[2], args[3], netip.MustParseAddrPort(args[4])
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
`, front.Addr(), front, ready, control, inner.Port(), inner.Port()+1, control, filepath.Join(ts.Getenv("WORK"), "disk"), grace, args[5])
	ts.Check(os.WriteFile(filepath.Join(ts.Getenv("WORK"), args[0]), []byte(text), 0o600))
}
