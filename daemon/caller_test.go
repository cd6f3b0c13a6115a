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

// operatorServer serves the platform's operator calls of a daemon with one zone, a, which is evacuated.
func operatorServer(t *testing.T) (*Daemon, string) {
	t.Helper()
	h, stop := daemon(t, address(t), t.TempDir())
	t.Cleanup(stop)
	for h.Call(control.Bootstrap{Names: []string{"n1"}}).Err != nil {
	}
	if err := (Documents{Daemon: h}).Evacuate(t.Context(), "first", "a"); err != nil {
		t.Fatal(err)
	}
	routes := bunrouter.New()
	platform.AddRoutes(routes, Documents{Daemon: h}, &platform.CachingReader{})
	server := httptest.NewUnstartedServer(routes)
	server.Config.ConnContext = h.Gate.ConnContext
	server.Start()
	t.Cleanup(server.Close)
	return h, server.Listener.Addr().String()
}

func (h *Daemon) evacuated(t *testing.T, zone string) bool {
	t.Helper()
	a := h.Call(control.Get{})
	if a.Err != nil {
		t.Fatal(a.Err)
	}
	return slices.Contains(a.Value.EvacuatedZones, zone)
}

// TestOrderIsNotExecutedAfterItsCallerLeft guards against EVAC: a partition holds an operator's DELETE up, the operator leaves, and when the
// partition heals the order arrives with the end of its connection behind it. It must not undo the evacuation that was acknowledged since.
func TestOrderIsNotExecutedAfterItsCallerLeft(t *testing.T) {
	const trials = 24
	h, addr := operatorServer(t)
	rng := rand.New(rand.NewPCG(33, 3))
	for i := range trials {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(conn, "DELETE /evacuations/a HTTP/1.1\r\nHost: n1\r\n\r\n")
		behind := time.Duration(rng.Int64N(int64(callerWait / 2)))
		if i%3 == 0 {
			behind = 0
		}
		time.Sleep(behind)
		if i%2 == 0 {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		_ = conn.Close()
		time.Sleep(callerWait + 50*time.Millisecond)
		if !h.evacuated(t, "a") {
			t.Fatalf("trial %d: executed, though its caller left %s after sending it", i, behind)
		}
	}
	if left := h.Gate.CallersLeft.Load(); left != trials {
		t.Errorf("%d orders counted whose callers left, not %d", left, trials)
	}
}

// TestOrderOfCallerThatWaitsIsExecuted: also on a connection that carried other calls.
func TestOrderOfCallerThatWaitsIsExecuted(t *testing.T) {
	h, addr := operatorServer(t)
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
		if resp.StatusCode != http.StatusOK || h.evacuated(t, "a") != (method == http.MethodPost) {
			t.Errorf("%s: %d, evacuated %v", method, resp.StatusCode, h.evacuated(t, "a"))
		}
	}
}

// TestOrdersOfOwnInterfaceWaitForTheirCallersToo: what carries a version is not held, what carries none is not begun once its caller left.
func TestOrdersOfOwnInterfaceWaitForTheirCallersToo(t *testing.T) {
	h, _ := operatorServer(t)
	ctx, leave := context.WithCancel(t.Context())
	time.AfterFunc(callerWait/2, leave)
	var left *control.ClientDisconnectedError
	if a := h.Order(ctx, control.Evacuate{ID: "late", Zone: "a", Restore: true}); !errors.As(a.Err, &left) || !h.evacuated(t, "a") {
		t.Errorf("%v, evacuated %v", a.Err, h.evacuated(t, "a"))
	}
	began := time.Now()
	if a := h.Order(t.Context(), control.Put{ID: "one", ExpectedVersion: 1, Document: []byte(document)}); a.Err != nil || time.Since(began) >= callerWait {
		t.Errorf("%v after %s", a.Err, time.Since(began))
	}
	if a := h.Order(t.Context(), control.Evacuate{ID: "now", Zone: "a", Restore: true}); a.Err != nil || h.evacuated(t, "a") {
		t.Errorf("%v, evacuated %v", a.Err, h.evacuated(t, "a"))
	}
}
