package daemon

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"gopkg.in/tomb.v2"

	"github.com/mallowbridge/mallowbridge/control"
)

func watched(t *testing.T, addr string) chan control.Input {
	tb := &tomb.Tomb{}
	h := &Daemon{Tomb: tb, in: make(chan control.Input)}
	e := h.newWatcher("r", addr, lookPauseMin)
	tb.Go(e.run)
	t.Cleanup(func() {
		tb.Kill(nil)
		if err := tb.Wait(); err != nil {
			t.Error(err)
		}
	})
	return h.in
}

func serveUsage(_ *testing.T, lis net.Listener, instance string, keep bool) *httptest.Server {
	srv := &httptest.Server{Listener: lis, Config: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"instanceId":"` + instance + `","running":1,"leaving":false,"lagMs":0}`))
	})}}
	srv.Config.SetKeepAlivesEnabled(keep)
	srv.Start()
	return srv
}

func next(t *testing.T, in chan control.Input, want control.ConnectionState, instance string) {
	t.Helper()
	s := (<-in).(control.ConnectionChange)
	if s.State != want || s.InstanceID != instance || s.Replica != "r" {
		t.Fatalf("saw %+v, not state %d of %q", s, want, instance)
	}
}

func TestRestartIsDetectedByClosedConnection(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := lis.Addr().String()
	srv := serveUsage(t, lis, "i1", true)
	in := watched(t, addr)
	next(t, in, control.ConnectionUp, "i1")
	srv.CloseClientConnections()
	srv.Listener.Close()
	next(t, in, control.ConnectionClosed, "")
	next(t, in, control.ConnectionRefused, "")
	if lis, err = net.Listen("tcp", addr); err != nil {
		t.Fatal(err)
	}
	second := serveUsage(t, lis, "i2", true)
	defer second.Close()
	s := (<-in).(control.ConnectionChange)
	for s.State == control.ConnectionRefused {
		s = (<-in).(control.ConnectionChange)
	}
	if s.State != control.ConnectionUp || s.InstanceID != "i2" {
		t.Errorf("saw %+v after the restart", s)
	}
}

func TestReplicaWithoutKeepAliveIsNotSuspectedForever(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := serveUsage(t, lis, "i1", false)
	defer srv.Close()
	in := watched(t, lis.Addr().String())
	for range shortConnectionsMost - 1 {
		next(t, in, control.ConnectionUp, "i1")
		next(t, in, control.ConnectionClosed, "")
	}
	next(t, in, control.ConnectionUp, "i1")
	next(t, in, control.ConnectionUp, "i1")
}
