package capacity

import (
	"bytes"
	"runtime"
	"sync"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/router"
	"github.com/mallowbridge/mallowbridge/transport"
)

func usualMessages() []any {
	return []any{
		membership.Ping{Seq: 1, Name: "n"}, membership.Ack{Seq: 1}, gossip.Checksum{Hash: 1, N: 1},
		gossip.Digest{Versions: []gossip.KeyVersion{{Key: "k", Version: gossip.Version{Hi: 1, Lo: 1}}}}, gossip.Pull{Keys: []string{"k"}},
		gossip.Update{Items: []gossip.Item{
			{Key: "k", Version: gossip.Version{Hi: 1}, Data: membership.Member{Name: "n"}},
			{Key: "u", Version: gossip.Version{Hi: 1}, Data: control.LoadReports{Zone: "a", Rows: []router.LoadReport{{Replica: "r", Running: 1}}}},
		}},
	}
}

type conn struct {
	w   *transport.Writer
	buf bytes.Buffer
	r   *transport.Reader
}

func open() (*conn, int) {
	c := &conn{w: transport.NewWriter()}
	c.r = transport.NewReader(&c.buf)
	var frames int
	for _, m := range usualMessages() {
		frame, err := c.w.Frame(m)
		if err != nil {
			panic(err)
		}
		frames += len(frame)
		c.buf.Write(frame)
		if _, err = c.r.Next(); err != nil {
			panic(err)
		}
	}
	return c, frames
}

// FirstFrameOverhead is what the first frames of a connection cost beyond the same frames later: they describe their types.
func FirstFrameOverhead() int {
	c, first := open()
	later := 0
	for _, m := range usualMessages() {
		frame, err := c.w.Frame(m)
		if err != nil {
			panic(err)
		}
		later += len(frame)
	}
	return first - later
}

// connBytes is the heap that a connection's coders hold, both ways, once they have carried the usual kinds.
var connBytes = sync.OnceValue(func() uint64 {
	const many = 200
	var before, after runtime.MemStats
	cs := make([]*conn, many)
	cs[0], _ = open()
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range cs {
		cs[i], _ = open()
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(cs)
	return (after.HeapAlloc - before.HeapAlloc) / many
})

// ConnBytes is the heap that the coders of one connection hold.
func ConnBytes() uint64 { return connBytes() }
