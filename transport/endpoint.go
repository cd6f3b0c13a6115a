package transport

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"gopkg.in/tomb.v2"
)

const (
	// queueLength is the maximum number of messages in each queue: one for all outgoing messages, one per peer, and one for received messages.
	queueLength = 512
	dialTimeout = 200 * time.Millisecond
	// writeTimeout bounds each write, and the whole handshake.
	writeTimeout = 2 * time.Second
	// unacknowledgedTimeout is how long sent bytes may stay unacknowledged before the kernel closes the connection.
	unacknowledgedTimeout = time.Second
	// redialDelay is the minimum time between a failed dial and the next one to the same peer, and the pause after a failed accept.
	redialDelay = 50 * time.Millisecond
	// idleTimeout is how long an inbound connection may stay silent before it is closed.
	idleTimeout = 30 * time.Second
	// maxInbound is the maximum number of inbound connections.
	maxInbound = 1024
)

// Counters are the counters of an endpoint since its start.
type Counters struct {
	// Sent counts the messages written to connections, Bytes the bytes of their frames.
	Sent, Bytes atomic.Uint64
	// Dropped counts messages that were not sent, because a queue was full or the peer could not be reached.
	Dropped atomic.Uint64
	// ProtocolErrors counts outbound handshakes that failed, inbound connections that were closed because of an invalid frame or an incompatible
	// build, and messages that could not be encoded.
	ProtocolErrors atomic.Uint64
	// Dials counts attempts to open a connection.
	Dials atomic.Uint64
}

// Inbound is a received message and the Hello of its sender.
type Inbound struct {
	From Hello
	Msg  any
}

type envelope struct {
	to  string
	msg any
}

// Endpoint exchanges messages between this node and other nodes. Each pair of nodes uses one connection per direction. Messages for a peer
// that cannot be reached are dropped.
type Endpoint struct {
	t    *tomb.Tomb
	self Hello
	lis  net.Listener
	out  chan envelope
	// Received contains the messages from other nodes.
	Received chan Inbound
	Counters Counters
	// OnError, if set, is called with the address of the peer for each error that Counters.ProtocolErrors counts.
	OnError func(peer string, err error)
	// onFollower takes over the connections of followers; they are closed when it returns.
	onFollower func(c net.Conn, h Hello, r *Reader)
}

// Listen listens on the address of self and returns the endpoint, which runs until t is killed. onFollower is called with each connection of
// a follower, which is closed when it returns; onError becomes the OnError of the endpoint. Errors are those of the listener.
func Listen(t *tomb.Tomb, self Hello, onFollower func(c net.Conn, h Hello, r *Reader), onError func(peer string, err error)) (*Endpoint, error) {
	lis, err := net.Listen("tcp", self.Addr)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	e := &Endpoint{t: t, self: self, lis: lis, out: make(chan envelope, queueLength), Received: make(chan Inbound, queueLength), OnError: onError, onFollower: onFollower}
	t.Go(e.accept)
	t.Go(e.dispatch)
	t.Go(func() error {
		<-t.Dying()
		_ = lis.Close()
		return nil
	})
	return e, nil
}

// Send queues a message for the node at the address to. It never blocks: if the queue is full, the message is dropped.
func (e *Endpoint) Send(to string, msg any) {
	select {
	case e.out <- envelope{to: to, msg: msg}:
	default:
		e.Counters.Dropped.Add(1)
	}
}

// dispatch moves outgoing messages to the queues of their peers, so that a slow peer delays only its own messages.
func (e *Endpoint) dispatch() error {
	peers := map[string]chan any{}
	for {
		select {
		case <-e.t.Dying():
			return nil
		case p := <-e.out:
			q := peers[p.to]
			if q == nil {
				q = make(chan any, queueLength)
				peers[p.to] = q
				e.t.Go(func() error { return e.sendQueued(p.to, q) })
			}
			select {
			case q <- p.msg:
			default:
				e.Counters.Dropped.Add(1)
			}
		}
	}
}

// Handshake sends self and returns the Hello of the other side of a new connection. Errors are *CodecError, *FrameSizeError,
// *IncompatibleBuildError and those of the connection.
func Handshake(conn net.Conn, w *Writer, r *Reader, self Hello) (Hello, error) {
	_ = conn.SetDeadline(time.Now().Add(writeTimeout))
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

// write writes a message to a connection within writeTimeout.
func (e *Endpoint) write(conn net.Conn, w *Writer, msg any) error {
	frame, err := w.Frame(msg)
	if err != nil {
		e.protocolError(conn.RemoteAddr().String(), err)
		return err
	}
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err = conn.Write(frame); err != nil {
		return trace.ConvertSystemError(err)
	}
	e.Counters.Sent.Add(1)
	e.Counters.Bytes.Add(uint64(len(frame)))
	return nil
}

func (e *Endpoint) protocolError(peer string, err error) {
	e.Counters.ProtocolErrors.Add(1)
	if e.OnError != nil {
		e.OnError(peer, err)
	}
}
