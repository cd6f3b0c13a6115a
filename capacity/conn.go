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

// typicalMessages returns one message of each type that nodes exchange in normal operation.
func typicalMessages() []any {
	return []any{
		membership.Ping{Seq: 1, Name: "n"}, membership.Ack{Seq: 1}, gossip.Checksum{Hash: 1, N: 1},
		gossip.Digest{Versions: []gossip.KeyVersion{{Key: "k", Version: gossip.Version{Hi: 1, Lo: 1}}}}, gossip.Pull{Keys: []string{"k"}},
		gossip.Update{Items: []gossip.Item{
			{Key: "k", Version: gossip.Version{Hi: 1}, Data: membership.Member{Name: "n"}},
			{Key: "u", Version: gossip.Version{Hi: 1}, Data: control.LoadReports{Zone: "a", Rows: []router.LoadReport{{Replica: "r", Running: 1}}}},
		}},
	}
}

// codecPair is the encoder and the decoder of one connection, linked by a buffer.
type codecPair struct {
	w   *transport.Writer
	buf bytes.Buffer
	r   *transport.Reader
}

// newCodecPair returns a codec pair that has carried all typical messages, and the size of their frames in bytes.
func newCodecPair() (*codecPair, int) {
	c := &codecPair{w: transport.NewWriter()}
	c.r = transport.NewReader(&c.buf)
	var frameBytes int
	for _, m := range typicalMessages() {
		frame, err := c.w.Frame(m)
		if err != nil {
			panic(err)
		}
		frameBytes += len(frame)
		c.buf.Write(frame)
		if _, err = c.r.Next(); err != nil {
			panic(err)
		}
	}
	return c, frameBytes
}

// FirstFrameOverhead returns the number of bytes by which the first frames of a connection exceed later frames of the same messages, because
// the first frame of each type also describes the type.
func FirstFrameOverhead() int {
	c, firstBytes := newCodecPair()
	laterBytes := 0
	for _, m := range typicalMessages() {
		frame, err := c.w.Frame(m)
		if err != nil {
			panic(err)
		}
		laterBytes += len(frame)
	}
	return firstBytes - laterBytes
}

// connBytes measures the heap that the encoder and the decoder of a connection use once they have carried all typical messages. It averages
// over many codec pairs.
var connBytes = sync.OnceValue(func() uint64 {
	const pairs = 200
	var before, after runtime.MemStats
	cs := make([]*codecPair, pairs)
	cs[0], _ = newCodecPair()
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range cs {
		cs[i], _ = newCodecPair()
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(cs)
	return (after.HeapAlloc - before.HeapAlloc) / pairs
})

// ConnBytes returns the heap size, in bytes, of one connection's encoder and decoder. It is measured at the first call.
func ConnBytes() uint64 { return connBytes() }
