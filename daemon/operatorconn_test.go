package daemon

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/platform"
)

// operatorServer starts a daemon whose zone a is evacuated, and a server for the platform's operator requests. It returns the daemon and the
// address of the server.
func operatorServer(t *testing.T) (*Daemon, string) {
	t.Helper()
	d, stop := startDaemon(t, freeAddress(t), t.TempDir())
	t.Cleanup(stop)
	for d.Call(control.Bootstrap{Names: []string{"n1"}}).Err != nil {
	}
	if err := (OperatorControl{Daemon: d}).Evacuate(t.Context(), "first", "a"); err != nil {
		t.Fatal(err)
	}
	routes := bunrouter.New()
	platform.AddRoutes(routes, OperatorControl{Daemon: d}, &platform.CachingReader{})
	server := httptest.NewUnstartedServer(routes)
	server.Config.ConnContext = d.PauseGuard.ConnContext
	server.Start()
	t.Cleanup(server.Close)
	return d, server.Listener.Addr().String()
}

func (d *Daemon) evacuated(t *testing.T, zone string) bool {
	t.Helper()
	a := d.Call(control.Get{})
	if a.Err != nil {
		t.Fatal(a.Err)
	}
	return slices.Contains(a.Value.EvacuatedZones, zone)
}

// TestRequestIsNotExecutedAfterClientDisconnected guards against the loss of an acknowledged evacuation (EVAC): a partition delays an operator's
// DELETE, and the operator disconnects. When the partition heals, the request arrives, directly followed by the end of its connection. It must
// not undo an evacuation that was acknowledged in the meantime.
func TestRequestIsNotExecutedAfterClientDisconnected(t *testing.T) {
	const trials = 24
	d, addr := operatorServer(t)
	rng := rand.New(rand.NewPCG(33, 3))
	for i := range trials {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(conn, "DELETE /evacuations/a HTTP/1.1\r\nHost: n1\r\n\r\n")
		closedAfter := time.Duration(rng.Int64N(int64(disconnectWait / 2)))
		if i%3 == 0 {
			closedAfter = 0
		}
		time.Sleep(closedAfter)
		if i%2 == 0 {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		_ = conn.Close()
		time.Sleep(disconnectWait + 50*time.Millisecond)
		if !d.evacuated(t, "a") {
			t.Fatalf("trial %d: the request was executed, although the client disconnected %s after sending it", i, closedAfter)
		}
	}
	// On a busy machine the process can pause for longer than pauseThreshold; the guard then rejects the request as stale instead.
	if disconnected, stale := d.PauseGuard.ClientsDisconnected.Load(), d.PauseGuard.StaleRequests.Load(); disconnected+stale != trials {
		t.Errorf("ClientsDisconnected is %d and StaleRequests is %d, want %d in total", disconnected, stale, trials)
	}
}

// TestRequestOfConnectedClientIsExecuted sends several requests on one connection, whose client waits for each response.
func TestRequestOfConnectedClientIsExecuted(t *testing.T) {
	d, addr := operatorServer(t)
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	for _, method := range []string{http.MethodDelete, http.MethodPost, http.MethodDelete} {
		fmt.Fprintf(conn, "%s /evacuations/a HTTP/1.1\r\nHost: n1\r\n\r\n", method)
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		if resp.StatusCode != http.StatusOK || d.evacuated(t, "a") != (method == http.MethodPost) {
			t.Errorf("%s: status %d, evacuated %v", method, resp.StatusCode, d.evacuated(t, "a"))
		}
	}
}

// TestCallForOperatorChecksThatClientIsConnected checks that a request that names a version is executed without a wait, and that a request that
// names none is not executed if the client disconnects during the wait.
func TestCallForOperatorChecksThatClientIsConnected(t *testing.T) {
	d, _ := operatorServer(t)
	ctx, disconnect := context.WithCancel(t.Context())
	time.AfterFunc(disconnectWait/2, disconnect)
	var disconnected *control.ClientDisconnectedError
	if a := d.CallForOperator(ctx, control.Evacuate{ID: "late", Zone: "a", Restore: true}); !errors.As(a.Err, &disconnected) || !d.evacuated(t, "a") {
		t.Errorf("error %v, evacuated %v", a.Err, d.evacuated(t, "a"))
	}
	start := time.Now()
	if a := d.CallForOperator(t.Context(), control.Put{ID: "one", ExpectedVersion: 1, Document: []byte(document)}); a.Err != nil || time.Since(start) >= disconnectWait {
		t.Errorf("error %v after %s", a.Err, time.Since(start))
	}
	if a := d.CallForOperator(t.Context(), control.Evacuate{ID: "now", Zone: "a", Restore: true}); a.Err != nil || d.evacuated(t, "a") {
		t.Errorf("error %v, evacuated %v", a.Err, d.evacuated(t, "a"))
	}
}
