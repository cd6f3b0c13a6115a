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

// freeAddress returns a local address with a free port.
func freeAddress(t *testing.T) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	return lis.Addr().String()
}

// startDaemon starts the daemon of node n1 and returns it with a function that stops it.
func startDaemon(t *testing.T, addr, data string) (*Daemon, func()) {
	tb := &tomb.Tomb{}
	s, err := ValidateSettings(Settings{Role: "core", Name: "n1", Zone: "a", Listen: addr, HTTP: addr, DataDir: data})
	if err != nil {
		t.Fatal(err)
	}
	d, err := Start(tb, s, &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}})
	if err != nil {
		t.Fatal(err)
	}
	return d, func() {
		tb.Kill(nil)
		if err := tb.Wait(); err != nil {
			t.Error(err)
		}
	}
}

const document = `{"offers":[{"name":"o","model":"m","replicas":[{"name":"r","addr":"127.0.0.1:9","domain":"a"}],"kinds":[{"name":"k"}]}]}`

func TestFollowerSurvivesDaemonRestart(t *testing.T) {
	addr, data := freeAddress(t), t.TempDir()
	d, stop := startDaemon(t, addr, data)
	for d.Call(control.Bootstrap{Names: []string{"n1"}}).Err != nil {
	}
	if a := d.Call(control.Put{ID: "one", Document: []byte(document)}); a.Err != nil || a.Version != 1 {
		t.Fatal(a)
	}
	tb := &tomb.Tomb{}
	versions, names := make(chan uint64, 64), make(chan string, 64)
	mallowbridge.Follow(tb, addr, "program", func(w router.Welcome) { names <- w.Self }, func(ev router.Event) {
		if update, ok := ev.(router.SnapshotUpdate); ok {
			versions <- update.Snapshot.Version
		}
	})
	if name := <-names; name != "n1#1" {
		t.Errorf("the name of the follower's router is %s, want n1#1", name)
	}
	if v := <-versions; v != 1 {
		t.Errorf("the first snapshot has version %d, want 1", v)
	}
	if a := d.Call(control.Put{ID: "two", ExpectedVersion: 1, Document: []byte(document)}); a.Err != nil {
		t.Fatal(a.Err)
	}
	if v := <-versions; v != 2 {
		t.Errorf("the snapshot after the change has version %d, want 2", v)
	}
	stop()
	_, stop = startDaemon(t, addr, data)
	if v := <-versions; v != 2 {
		t.Errorf("the snapshot after the restart of the daemon has version %d, want 2", v)
	}
	tb.Kill(nil)
	if err := tb.Wait(); err != nil {
		t.Error(err)
	}
	stop()
}
