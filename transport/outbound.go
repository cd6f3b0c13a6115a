package transport

import (
	"net"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

// outbound is the connection on which messages are sent to one peer. It is used by one goroutine only.
type outbound struct {
	endpoint *Endpoint
	addr     string
	conn     net.Conn
	w        *Writer
	// redialAt is the earliest time of the next dial after a failed one.
	redialAt time.Time
}

// sendQueued sends the messages in the queue of a peer until the tomb is killed.
func (e *Endpoint) sendQueued(addr string, q chan any) error {
	out := &outbound{endpoint: e, addr: addr}
	defer out.close()
	for {
		select {
		case <-e.t.Dying():
			return nil
		case msg := <-q:
			if !out.deliver(msg) {
				e.Counters.Dropped.Add(1)
			}
		}
	}
}

// deliver writes a message and reports whether that succeeded. If the open connection fails, it tries once more on a new one.
func (o *outbound) deliver(msg any) bool {
	for range 2 {
		if o.conn == nil && !o.dial() {
			return false
		}
		if o.endpoint.write(o.conn, o.w, msg) == nil {
			return true
		}
		o.close()
	}
	return false
}

func (o *outbound) dial() bool {
	if time.Now().Before(o.redialAt) {
		return false
	}
	conn, w, err := o.endpoint.dial(o.addr)
	if err != nil {
		o.redialAt = time.Now().Add(redialDelay)
		return false
	}
	o.conn, o.w = conn, w
	return true
}

func (o *outbound) close() {
	if o.conn != nil {
		_ = o.conn.Close()
		o.conn = nil
	}
}

// dial opens a connection to a peer and performs the handshake.
func (e *Endpoint) dial(addr string) (net.Conn, *Writer, error) {
	e.Counters.Dials.Add(1)
	d := net.Dialer{Timeout: dialTimeout, Control: setUserTimeout}
	conn, err := d.Dial("tcp", addr)
	if err != nil {
		return nil, nil, trace.ConvertSystemError(err)
	}
	w := NewWriter()
	_, err = Handshake(conn, w, NewReader(conn), e.self)
	if err != nil {
		e.protocolError(addr, err)
		_ = conn.Close()
		return nil, nil, err
	}
	go e.closeOnRead(conn)
	return conn, w, nil
}

// setUserTimeout sets TCP_USER_TIMEOUT, which bounds how long sent bytes may stay unacknowledged. Without it, a connection to a machine that
// lost power or was partitioned stays open. When the machine is reachable again, messages written to that connection wait until TCP
// retransmits, which may be seconds later.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	ctlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
	})
	if err == nil {
		err = ctlErr
	}
	return err
}

// closeOnRead closes an outbound connection when the peer closes it or, against the protocol, sends anything after the handshake.
func (*Endpoint) closeOnRead(conn net.Conn) {
	var b [1]byte
	_, _ = conn.Read(b[:])
	_ = conn.Close()
}
