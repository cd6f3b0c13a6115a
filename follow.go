package mallowbridge

import (
	"encoding/gob"
	"fmt"
	"net"
	"time"

	"github.com/gravitational/trace"
	"gopkg.in/tomb.v2"

	"github.com/mallowbridge/mallowbridge/transport"
)

func init() {
	for name, v := range map[string]any{
		"ew": Welcome{}, "en": Numbered{}, "eo": Order{}, "er": Routers{}, "eu": Usage{}, "el": Listing{}, "ef": Feed{}, "ed": Doubt{}, "eR": Roster{}, "eF": Failures{},
	} {
		gob.RegisterName(name, v)
	}
	gob.RegisterName("hello", transport.Hello{})
}

type Welcome struct{ Self, Domain, Boot string }

type Numbered struct {
	N     uint64
	Event Event
}

type GapError struct{ Got, Want uint64 }

func (e *GapError) Error() (text string) {
	return fmt.Sprintf("change %d came where %d was due", e.Got, e.Want)
}

const refollow = 300 * time.Millisecond

// Follow keeps one connection to the daemon at addr and hands on its picture, then its changes.
// A lost connection or a gap starts over with a new picture; start is called for each.
func Follow(t *tomb.Tomb, addr, name string, start func(w Welcome), feed func(ev Event)) {
	t.Go(func() error {
		for t.Alive() {
			_ = followOnce(t, addr, name, start, feed)
			select {
			case <-t.Dying():
			case <-time.After(refollow):
			}
		}
		return nil
	})
}

func followOnce(t *tomb.Tomb, addr, name string, start func(w Welcome), feed func(ev Event)) (err error) {
	conn, err := net.DialTimeout("tcp", addr, refollow)
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
	if _, err = transport.Greet(conn, transport.NewWriter(), r, transport.Hello{Build: transport.Build, Name: name, Role: "follower"}); err != nil {
		return err
	}
	want := uint64(0)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		msg, err := r.Next()
		if err != nil {
			return err
		}
		switch m := msg.(type) {
		case Welcome:
			start(m)
		case Numbered:
			if m.N != want {
				return trace.Wrap(&GapError{Got: m.N, Want: want})
			}
			want++
			feed(m.Event)
		}
	}
}
