package mallowbridge

import (
	"fmt"
	"net"
	"time"

	"github.com/gravitational/trace"
	"gopkg.in/tomb.v2"

	"github.com/mallowbridge/mallowbridge/router"
	"github.com/mallowbridge/mallowbridge/transport"
)

// GapError is the error if events of a daemon were lost. Got and Want are the sequence numbers of the received and the expected event.
type GapError struct{ Got, Want uint64 }

func (e *GapError) Error() string {
	return fmt.Sprintf("events of the daemon were lost: got event %d, want event %d", e.Got, e.Want)
}

const (
	// followRetry is the timeout of a connection attempt to the daemon, and the pause before the next attempt.
	followRetry = 300 * time.Millisecond
	// followTimeout is how long a daemon may be silent before the connection is closed.
	followTimeout = 5 * time.Second
)

// Follow keeps a connection to the daemon at addr until the tomb dies. It calls start with the daemon's greeting and onEvent with each event
// that follows: first the daemon's current state, then its changes. After a lost connection or a gap in the events it reconnects and starts over.
func Follow(t *tomb.Tomb, addr, name string, start func(w router.Welcome), onEvent func(ev router.Event)) {
	t.Go(func() error {
		for t.Alive() {
			_ = followOnce(t, addr, name, start, onEvent)
			select {
			case <-t.Dying():
			case <-time.After(followRetry):
			}
		}
		return nil
	})
}

// followOnce connects to the daemon once and passes on its events until the connection ends.
func followOnce(t *tomb.Tomb, addr, name string, start func(w router.Welcome), onEvent func(ev router.Event)) error {
	conn, err := net.DialTimeout("tcp", addr, followRetry)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-t.Dying():
		case <-done:
		}
		_ = conn.Close()
	}()
	r := transport.NewReader(conn)
	hello := transport.Hello{Build: transport.Build, Name: name, Role: "follower"}
	if _, err = transport.Handshake(conn, transport.NewWriter(), r, hello); err != nil {
		return err
	}
	return readEvents(conn, r, start, onEvent)
}

// readEvents passes on events until the connection ends or an event is missing.
func readEvents(conn net.Conn, r *transport.Reader, start func(w router.Welcome), onEvent func(ev router.Event)) error {
	for next := uint64(0); ; {
		_ = conn.SetReadDeadline(time.Now().Add(followTimeout))
		msg, err := r.Next()
		if err != nil {
			return err
		}
		switch m := msg.(type) {
		case router.Welcome:
			start(m)
		case router.NumberedEvent:
			if m.Seq != next {
				return trace.Wrap(&GapError{Got: m.Seq, Want: next})
			}
			next++
			onEvent(m.Event)
		}
	}
}
