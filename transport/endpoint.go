package transport

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
	"gopkg.in/tomb.v2"
)

const (
	queued              = 512
	dialFor             = 200 * time.Millisecond
	writeFor            = 2 * time.Second
	unacknowledgedLimit = time.Second
	redialMin           = 50 * time.Millisecond
	idleLimit           = 30 * time.Second
	maxInbound          = 1024
)

// Counters count messages sent, their bytes, messages dropped, connections closed over unreadable frames, and connection attempts.
type Counters struct {
	Sent, Bytes, Dropped, ProtocolErrors, Dials atomic.Uint64
}

// Inbound is a message and who sent it.
type Inbound struct {
	From Hello
	Msg  any
}

type envelope struct {
	to  string
	msg any
}

// Endpoint sends messages to other nodes over one connection each way, and takes theirs in In. Nothing is kept for a peer that can't be
// reached.
type Endpoint struct {
	t        *tomb.Tomb
	self     Hello
	lis      net.Listener
	out      chan envelope
	Received chan Inbound
	Counters Counters
	OnError  func(peer string, err error)
	follow   func(c net.Conn, h Hello, r *Reader)
}

// Listen opens the port of self and serves until t dies. Connections of followers are handed to follow; fault hears of connections that
// were closed over an error. Errors are those of the listener.
func Listen(t *tomb.Tomb, self Hello, follow func(c net.Conn, h Hello, r *Reader), fault func(peer string, err error)) (*Endpoint, error) {
	lis, err := net.Listen("tcp", self.Addr)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	n := &Endpoint{t: t, self: self, lis: lis, out: make(chan envelope, queued), Received: make(chan Inbound, queued), OnError: fault, follow: follow}
	t.Go(n.accept)
	t.Go(n.dispatch)
	t.Go(func() error {
		<-t.Dying()
		_ = lis.Close()
		return nil
	})
	return n, nil
}

// Send queues a message, or drops it where the queue is full.
func (n *Endpoint) Send(to string, msg any) {
	select {
	case n.out <- envelope{to: to, msg: msg}:
	default:
		n.Counters.Dropped.Add(1)
	}
}

func (n *Endpoint) dispatch() error {
	peers := map[string]chan any{}
	for {
		select {
		case <-n.t.Dying():
			return nil
		case p := <-n.out:
			q := peers[p.to]
			if q == nil {
				q = make(chan any, queued)
				peers[p.to] = q
				n.t.Go(func() error { return n.peer(p.to, q) })
			}
			select {
			case q <- p.msg:
			default:
				n.Counters.Dropped.Add(1)
			}
		}
	}
}

// outbound is the connection on which a node sends to one other node. It is owned by one goroutine.
type outbound struct {
	net  *Endpoint
	addr string
	conn net.Conn
	w    *Writer
	// redialAt is when another dial may be tried after one failed.
	redialAt time.Time
}

// peer sends what is queued for a node until the tomb dies.
func (n *Endpoint) peer(addr string, q chan any) error {
	out := &outbound{net: n, addr: addr}
	defer out.close()
	for {
		select {
		case <-n.t.Dying():
			return nil
		case msg := <-q:
			if !out.deliver(msg) {
				n.Counters.Dropped.Add(1)
			}
		}
	}
}

// deliver writes a message, on a new connection where the one that was open fails.
func (o *outbound) deliver(msg any) bool {
	for range 2 {
		if o.conn == nil && !o.dial() {
			return false
		}
		if o.net.write(o.conn, o.w, msg) == nil {
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
	conn, w, err := o.net.dial(o.addr)
	if err != nil {
		o.redialAt = time.Now().Add(redialMin)
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

func (n *Endpoint) dial(addr string) (net.Conn, *Writer, error) {
	n.Counters.Dials.Add(1)
	d := net.Dialer{Timeout: dialFor, Control: setUserTimeout}
	conn, err := d.Dial("tcp", addr)
	if err != nil {
		return nil, nil, trace.ConvertSystemError(err)
	}
	w := NewWriter()
	_, err = Handshake(conn, w, NewReader(conn), n.self)
	if err != nil {
		n.fault(addr, err)
		_ = conn.Close()
		return nil, nil, err
	}
	go n.drain(conn)
	return conn, w, nil
}

// setUserTimeout bounds how long sent bytes may stay unacknowledged. A connection to a machine that lost power, or is cut off, would
// else live on, and when the machine is back take messages until TCP sends anew, which may be seconds later.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	ctlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedLimit.Milliseconds()))
	})
	if err == nil {
		err = ctlErr
	}
	return err
}

func (*Endpoint) drain(conn net.Conn) {
	var b [1]byte
	_, _ = conn.Read(b[:])
	_ = conn.Close()
}

// Handshake exchanges hellos on a new connection. Errors: *CodecError, *IncompatibleBuildError, or the connection's.
func Handshake(conn net.Conn, w *Writer, r *Reader, self Hello) (Hello, error) {
	_ = conn.SetDeadline(time.Now().Add(writeFor))
	defer func() { _ = conn.SetDeadline(time.Time{}) }()
	frame, err := w.Frame(self)
	var theirs Hello
	if err != nil {
		return theirs, err
	}
	if _, err = conn.Write(frame); err != nil {
		return theirs, trace.ConvertSystemError(err)
	}
	msg, err := r.Next()
	if err != nil {
		return theirs, err
	}
	theirs, ok := msg.(Hello)
	if !ok {
		return theirs, trace.Wrap(&CodecError{Cause: errNoHello})
	}
	return theirs, CheckBuild(self.Build, theirs.Build)
}

func (n *Endpoint) write(conn net.Conn, w *Writer, msg any) error {
	frame, err := w.Frame(msg)
	if err != nil {
		n.fault(conn.RemoteAddr().String(), err)
		return err
	}
	_ = conn.SetWriteDeadline(time.Now().Add(writeFor))
	if _, err = conn.Write(frame); err != nil {
		return trace.ConvertSystemError(err)
	}
	n.Counters.Sent.Add(1)
	n.Counters.Bytes.Add(uint64(len(frame)))
	return nil
}

func (n *Endpoint) fault(peer string, err error) {
	n.Counters.ProtocolErrors.Add(1)
	if n.OnError != nil {
		n.OnError(peer, err)
	}
}
