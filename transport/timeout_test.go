package transport

import (
	"net"
	"testing"

	"golang.org/x/sys/unix"
	"gopkg.in/tomb.v2"
)

// TestConnectionsToPeersBoundUnacknowledgedBytes checks that TCP_USER_TIMEOUT is set. A machine that lost power does not reset its connections.
// Without the timeout, messages sent to it after it is back wait for the next TCP retransmission.
func TestConnectionsToPeersBoundUnacknowledgedBytes(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := lis.Addr().String()
	_ = lis.Close()
	tb := &tomb.Tomb{}
	e, err := Listen(tb, Hello{Build: Build, Name: "a", Addr: addr, Role: "core"}, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	conn, _, err := e.dial(addr)
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
		t.Errorf("TCP_USER_TIMEOUT is %d ms, want 1 to 1000 (0 means no limit)", ms)
	}
	_ = conn.Close()
	tb.Kill(nil)
	_ = tb.Wait()
}
