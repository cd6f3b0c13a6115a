package proxy

import (
	"net"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
)

// TestReadRequestOutlivesClosing: bytes of a request that were read just as the connection was shut keep it going.
func TestReadRequestOutlivesClosing(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	far, err := net.Dial("tcp", lis.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	nc, err := lis.Accept()
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
		t.Error("an idle connection that was shut still reads")
	}
	c.activate()
	if _, err = far.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if _, err = c.Read(make([]byte, 1)); err != nil || p.RequestsInFlight() != 1 {
		t.Errorf("read gives %v, %d run", err, p.RequestsInFlight())
	}
}
