package daemon

import (
	"io"
	"net"
	"testing"

	"github.com/phuslu/log"
	"gopkg.in/tomb.v2"

	"github.com/mallowbridge/mallowbridge"
	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/router"
)

func address(t *testing.T) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	return lis.Addr().String()
}

func daemon(t *testing.T, addr, data string) (*Daemon, func()) {
	tb := &tomb.Tomb{}
	s, err := ValidateSettings(Settings{Role: "core", Name: "n1", Zone: "a", Listen: addr, HTTP: addr, DataDir: data})
	if err != nil {
		t.Fatal(err)
	}
	h, err := Start(tb, s, &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}})
	if err != nil {
		t.Fatal(err)
	}
	return h, func() {
		tb.Kill(nil)
		if err := tb.Wait(); err != nil {
			t.Error(err)
		}
	}
}

const document = `{"offers":[{"name":"o","model":"m","replicas":[{"name":"r","addr":"127.0.0.1:9","domain":"a"}],"kinds":[{"name":"k"}]}]}`

func TestFollowerSurvivesDaemonRestart(t *testing.T) {
	addr, data := address(t), t.TempDir()
	h, stop := daemon(t, addr, data)
	for h.Call(control.Bootstrap{Names: []string{"n1"}}).Err != nil {
	}
	if a := h.Call(control.Put{ID: "one", Document: []byte(document)}); a.Err != nil || a.Version != 1 {
		t.Fatal(a)
	}
	tb := &tomb.Tomb{}
	versions, names := make(chan uint64, 64), make(chan string, 64)
	mallowbridge.Follow(tb, addr, "program", func(w router.Welcome) { names <- w.Self }, func(ev router.Event) {
		if o, ok := ev.(router.SnapshotUpdate); ok {
			versions <- o.Snapshot.Version
		}
	})
	if name := <-names; name != "n1#1" {
		t.Errorf("it is called %s", name)
	}
	if m := <-versions; m != 1 {
		t.Errorf("the picture has mark %d", m)
	}
	if a := h.Call(control.Put{ID: "two", ExpectedVersion: 1, Document: []byte(document)}); a.Err != nil {
		t.Fatal(a.Err)
	}
	if m := <-versions; m != 2 {
		t.Errorf("the change has mark %d", m)
	}
	stop()
	_, stop = daemon(t, addr, data)
	if m := <-versions; m != 2 {
		t.Errorf("from its disk the daemon gives mark %d", m)
	}
	tb.Kill(nil)
	if err := tb.Wait(); err != nil {
		t.Error(err)
	}
	stop()
}
