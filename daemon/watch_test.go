package daemon

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"gopkg.in/tomb.v2"

	"github.com/mallowbridge/mallowbridge/control"
)

// startWatcher watches a replica at addr and returns the inputs that the watcher sends to the control loop.
func startWatcher(t *testing.T, addr string) chan control.Input {
	tb := &tomb.Tomb{}
	d := &Daemon{Tomb: tb, inputs: make(chan control.Input)}
	w := d.newWatcher("r", addr, reconnectDelayMin)
	tb.Go(w.run)
	t.Cleanup(func() {
		tb.Kill(nil)
		if err := tb.Wait(); err != nil {
			t.Error(err)
		}
	})
	return d.inputs
}

// serveLoad serves the load of a replica. keep sets whether it keeps connections open between requests.
func serveLoad(_ *testing.T, lis net.Listener, instance string, keep bool) *httptest.Server {
	srv := &httptest.Server{Listener: lis, Config: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"instanceId":"` + instance + `","running":1,"leaving":false,"lagMs":0}`))
	})}}
	srv.Config.SetKeepAlivesEnabled(keep)
	srv.Start()
	return srv
}

// expectChange fails unless the next input is the wanted change of the connection's state.
func expectChange(t *testing.T, in chan control.Input, want control.ConnectionState, instance string) {
	t.Helper()
	change := (<-in).(control.ConnectionChange)
	if change.State != want || change.InstanceID != instance || change.Replica != "r" {
		t.Fatalf("got %+v, want state %d of instance %q", change, want, instance)
	}
}

func TestRestartIsDetectedByClosedConnection(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := lis.Addr().String()
	srv := serveLoad(t, lis, "i1", true)
	in := startWatcher(t, addr)
	expectChange(t, in, control.ConnectionUp, "i1")
	srv.CloseClientConnections()
	srv.Listener.Close()
	expectChange(t, in, control.ConnectionClosed, "")
	expectChange(t, in, control.ConnectionRefused, "")
	if lis, err = net.Listen("tcp", addr); err != nil {
		t.Fatal(err)
	}
	second := serveLoad(t, lis, "i2", true)
	defer second.Close()
	change := (<-in).(control.ConnectionChange)
	for change.State == control.ConnectionRefused {
		change = (<-in).(control.ConnectionChange)
	}
	if change.State != control.ConnectionUp || change.InstanceID != "i2" {
		t.Errorf("got %+v after the restart, want instance i2", change)
	}
}

func TestReplicaWithoutKeepAliveStopsBeingReportedAsClosed(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := serveLoad(t, lis, "i1", false)
	defer srv.Close()
	in := startWatcher(t, lis.Addr().String())
	for range maxShortConnections - 1 {
		expectChange(t, in, control.ConnectionUp, "i1")
		expectChange(t, in, control.ConnectionClosed, "")
	}
	expectChange(t, in, control.ConnectionUp, "i1")
	expectChange(t, in, control.ConnectionUp, "i1")
}
