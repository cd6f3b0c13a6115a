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

// GapError says that events of a daemon were lost on the way.
type GapError struct{ Got, Want uint64 }

func (e *GapError) Error() string {
	return fmt.Sprintf("change %d came where %d was due", e.Got, e.Want)
}

const (
	// followRetry is the longest wait for a connection to the daemon, and the pause before the next attempt.
	followRetry = 300 * time.Millisecond
	// followTimeout is how long a daemon may send nothing.
	followTimeout = 5 * time.Second
)

// Follow keeps one connection to the daemon at addr until the tomb dies, and passes on its snapshot, then its changes, to feed. A lost
// connection or a gap starts over with a new snapshot; start is called for each.
func Follow(t *tomb.Tomb, addr, name string, start func(w router.Welcome), feed func(ev router.Event)) {
	t.Go(func() error {
		for t.Alive() {
			_ = followOnce(t, addr, name, start, feed)
			select {
			case <-t.Dying():
			case <-time.After(followRetry):
			}
		}
		return nil
	})
}

func followOnce(t *tomb.Tomb, addr, name string, start func(w router.Welcome), feed func(ev router.Event)) error {
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
	return readEvents(conn, r, start, feed)
}

// readEvents passes on what comes until the connection ends or an event is missing.
func readEvents(conn net.Conn, r *transport.Reader, start func(w router.Welcome), feed func(ev router.Event)) error {
	for due := uint64(0); ; {
		_ = conn.SetReadDeadline(time.Now().Add(followTimeout))
		msg, err := r.Next()
		if err != nil {
			return err
		}
		switch m := msg.(type) {
		case router.Welcome:
			start(m)
		case router.NumberedEvent:
			if m.Seq != due {
				return trace.Wrap(&GapError{Got: m.Seq, Want: due})
			}
			due++
			feed(m.Event)
		}
	}
}
