package transport

import (
	"net"
	"testing"

	"golang.org/x/sys/unix"
	"gopkg.in/tomb.v2"
)

// A machine that lost power does not reset connections: without a bound, what is sent to it when it is back waits for TCP's next try.
func TestConnectionsToPeersBoundUnacknowledgedBytes(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := lis.Addr().String()
	_ = lis.Close()
	tb := &tomb.Tomb{}
	n, err := Listen(tb, Hello{Build: Build, Name: "a", Addr: addr, Role: "core"}, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	conn, _, err := n.dial(addr)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	ms := 0
	ctlErr := raw.Control(func(fd uintptr) { ms, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) })
	if err != nil || ctlErr != nil {
		t.Fatal(err, ctlErr)
	}
	if ms < 1 || ms > 1000 {
		t.Errorf("sent bytes may stay unacknowledged for %d ms, 0 without end", ms)
	}
	_ = conn.Close()
	tb.Kill(nil)
	_ = tb.Wait()
}
