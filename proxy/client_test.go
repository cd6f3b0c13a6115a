package proxy

import (
	"net"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
)

// TestReadRequestOutlivesClosing checks that a request is served if its first bytes were read at the moment when its idle connection was
// closed.
func TestReadRequestOutlivesClosing(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	remote, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer remote.Close()
	nc, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	p := New(nil, Headers{}, Defaults(), nil, "b")
	c := p.accept(nc, nil, config.Limits{}).(*client)
	defer c.Close()
	c.activate()
	c.deactivate()
	if err = c.SetReadDeadline(time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	c.closeIdle()
	if _, err = c.Read(make([]byte, 1)); err == nil {
		t.Error("an idle connection that was closed can still be read")
	}
	c.activate()
	if _, err = remote.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if _, err = c.Read(make([]byte, 1)); err != nil || p.RequestsInFlight() != 1 {
		t.Errorf("read returned %v with %d requests in flight", err, p.RequestsInFlight())
	}
}
