// Package network is the simulated network between control nodes: it delays, loses and doubles messages, partitions nodes, and carries
// each message through the frames that real nodes write and read. A Net is owned by one goroutine.
package network

import (
	"bytes"
	"math/rand/v2"
	"time"

	"github.com/mallowbridge/mallowbridge/transport"
)

type link struct {
	w   *transport.Writer
	buf bytes.Buffer
	r   *transport.Reader
}

// Net is the simulated network: shares of messages that are lost and doubled, one-way delays within (Near) and between zones (Far) with a
// random addition of up to Jitter, and counts of messages and bytes, between zones also by kind.
type Net struct {
	rng                       *rand.Rand
	links                     map[[2]string]*link
	LossRatio, DupRatio       float64
	ZoneDelay, CrossZoneDelay time.Duration
	Jitter                    time.Duration
	Partitions                map[int]func(from, to string) bool
	partitionSeq              int
	Messages                  uint64
	Bytes                     uint64
	CrossBytes                uint64
	CrossBytesByKind          map[string]uint64
}

// New makes a network that loses nothing; seed draws its delays.
func New(seed uint64) *Net {
	return &Net{
		rng: rand.New(rand.NewPCG(seed, 29)), links: map[[2]string]*link{}, ZoneDelay: 300 * time.Microsecond, CrossZoneDelay: 3 * time.Millisecond,
		Jitter: 2 * time.Millisecond, Partitions: map[int]func(from, to string) bool{}, CrossBytesByKind: map[string]uint64{},
	}
}

// Partition blocks messages from one address to another until the function that it returns is called.
func (n *Net) Partition(blocked func(from, to string) bool) func() {
	n.partitionSeq++
	id := n.partitionSeq
	n.Partitions[id] = blocked
	return func() { delete(n.Partitions, id) }
}

// Blocked tells whether a partition keeps messages from one address to another.
func (n *Net) Blocked(from, to string) bool {
	for _, c := range n.Partitions {
		if c(from, to) {
			return true
		}
	}
	return false
}

// Delay draws how long a message takes one way, within a zone (near) or between two.
func (n *Net) Delay(near bool) time.Duration {
	d := n.CrossZoneDelay
	if near {
		d = n.ZoneDelay
	}
	return d + time.Duration(n.rng.Int64N(int64(n.Jitter)))
}

func (n *Net) copy(from, to string, msg any) (any, int) {
	key := [2]string{from, to}
	l := n.links[key]
	if l == nil {
		l = &link{w: transport.NewWriter()}
		l.r = transport.NewReader(&l.buf)
		n.links[key] = l
	}
	frame, err := l.w.Frame(msg)
	if err != nil {
		panic(err)
	}
	l.buf.Write(frame)
	same, err := l.r.Next()
	if err != nil {
		panic(err)
	}
	return same, len(frame)
}

// Deliver takes a message over the network: what arrives of it, none, one or two, as it is read from its frames, and after what delays.
// Bytes between zones are counted under its kind.
func (n *Net) Deliver(from, to string, near bool, msg any, kind string) ([]any, []time.Duration) {
	same, size := n.copy(from, to, msg)
	n.Messages++
	n.Bytes += uint64(size)
	if !near {
		n.CrossBytes += uint64(size)
		n.CrossBytesByKind[kind] += uint64(size)
	}
	if n.Blocked(from, to) || n.rng.Float64() < n.LossRatio {
		return nil, nil
	}
	copies, delays := []any{same}, []time.Duration{n.Delay(near)}
	if n.rng.Float64() < n.DupRatio {
		copies, delays = append(copies, same), append(delays, n.Delay(near)+50*time.Millisecond)
	}
	return copies, delays
}
