// Package network simulates the network between control nodes: a Net delays, loses and duplicates messages, partitions nodes, and encodes and
// decodes each message with the frames that real nodes write and read. Deliver carries one message, Partition blocks some. A Net is owned by
// one goroutine.
package network

import (
	"bytes"
	"math/rand/v2"
	"time"

	"github.com/mallowbridge/mallowbridge/transport"
)

// link encodes and decodes the messages from one address to another; as on a real connection, both ends keep state between messages.
type link struct {
	writer *transport.Writer
	buf    bytes.Buffer
	reader *transport.Reader
}

// Net is the simulated network. LossRatio and DupRatio are the shares of messages that are lost and duplicated. The one-way delay is ZoneDelay
// within a zone and CrossZoneDelay between zones, plus a random addition of up to Jitter. Messages and Bytes count all messages, CrossBytes
// and CrossBytesByKind those between zones.
type Net struct {
	rng                       *rand.Rand
	links                     map[[2]string]*link
	LossRatio, DupRatio       float64
	ZoneDelay, CrossZoneDelay time.Duration
	Jitter                    time.Duration
	// Partitions contains, by number, functions that report whether messages from one address to another are blocked.
	Partitions       map[int]func(from, to string) bool
	lastPartition    int
	Messages         uint64
	Bytes            uint64
	CrossBytes       uint64
	CrossBytesByKind map[string]uint64
}

// New returns a network that loses nothing; seed determines its delays and losses.
func New(seed uint64) *Net {
	return &Net{
		rng: rand.New(rand.NewPCG(seed, 29)), links: map[[2]string]*link{}, ZoneDelay: 300 * time.Microsecond, CrossZoneDelay: 3 * time.Millisecond,
		Jitter: 2 * time.Millisecond, Partitions: map[int]func(from, to string) bool{}, CrossBytesByKind: map[string]uint64{},
	}
}

// Partition blocks the messages for which blocked returns true, until the returned function is called.
func (n *Net) Partition(blocked func(from, to string) bool) func() {
	n.lastPartition++
	id := n.lastPartition
	n.Partitions[id] = blocked
	return func() { delete(n.Partitions, id) }
}

// Blocked reports whether a partition blocks messages from one address to another.
func (n *Net) Blocked(from, to string) bool {
	for _, c := range n.Partitions {
		if c(from, to) {
			return true
		}
	}
	return false
}

// Delay draws the random one-way delay of a message, within a zone or between two.
func (n *Net) Delay(sameZone bool) time.Duration {
	d := n.CrossZoneDelay
	if sameZone {
		d = n.ZoneDelay
	}
	return d + time.Duration(n.rng.Int64N(int64(n.Jitter)))
}

// roundTrip returns a message as it is decoded from its frame, and the frame's length in bytes.
func (n *Net) roundTrip(from, to string, msg any) (any, int) {
	key := [2]string{from, to}
	l := n.links[key]
	if l == nil {
		l = &link{writer: transport.NewWriter()}
		l.reader = transport.NewReader(&l.buf)
		n.links[key] = l
	}
	frame, err := l.writer.Frame(msg)
	if err != nil {
		panic(err)
	}
	l.buf.Write(frame)
	decoded, err := l.reader.Next()
	if err != nil {
		panic(err)
	}
	return decoded, len(frame)
}

// Deliver carries a message over the network. It returns the copies that arrive (none, one or two), as decoded from their frames, and the
// delay of each. Bytes between zones are counted under the message's kind.
func (n *Net) Deliver(from, to string, sameZone bool, msg any, kind string) ([]any, []time.Duration) {
	received, size := n.roundTrip(from, to, msg)
	n.Messages++
	n.Bytes += uint64(size)
	if !sameZone {
		n.CrossBytes += uint64(size)
		n.CrossBytesByKind[kind] += uint64(size)
	}
	if n.Blocked(from, to) || n.rng.Float64() < n.LossRatio {
		return nil, nil
	}
	copies, delays := []any{received}, []time.Duration{n.Delay(sameZone)}
	if n.rng.Float64() < n.DupRatio {
		copies, delays = append(copies, received), append(delays, n.Delay(sameZone)+50*time.Millisecond)
	}
	return copies, delays
}
