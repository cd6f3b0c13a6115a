package gossip

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	meshNodes = 12
	meshZones = 3
	meshTick  = 50 * time.Millisecond
	maxDelay  = 60 * time.Millisecond
)

type text string

// brief is the data of ephemeral items.
type brief string

func (brief) Ephemeral() bool { return true }

// bulky is the data of items that are too large to push.
type bulky string

func (bulky) Size() int { return maxPushBytes + 1 }

// envelope is a message in the network; it arrives at due.
type envelope struct {
	from, to string
	due      time.Duration
	msg      any
}

// mesh simulates stores and a network that delays, reorders and loses messages, in virtual time.
type mesh struct {
	rng         *rand.Rand
	now         time.Duration
	names       []string
	stores      map[string]*Store
	zones       map[string]string
	inFlight    []envelope
	loss        float64
	partitioned func(from, to string) bool
	// pulls counts the pulls by the pair of nodes, as "puller of sender".
	pulls map[string]int
}

func zoneOf(at int) string { return fmt.Sprint("z", at%meshZones) }

func newMesh(cfg Config, seed uint64, loss float64) *mesh {
	m := &mesh{rng: rand.New(rand.NewPCG(seed, 5)), stores: map[string]*Store{}, loss: loss, pulls: map[string]int{}, zones: map[string]string{}}
	for at := range meshNodes {
		name := fmt.Sprint("n", at)
		m.names = append(m.names, name)
		m.zones[name] = zoneOf(at)
		m.stores[name] = New(cfg, seed*meshNodes+uint64(at))
	}
	return m
}

// peers returns the peers of the node with the given index.
func (m *mesh) peers(of int) []Peer {
	var peers []Peer
	for at, name := range m.names {
		if at != of {
			peers = append(peers, Peer{Name: name, Addr: name, Zone: zoneOf(at), SameZone: zoneOf(at) == zoneOf(of)})
		}
	}
	return peers
}

func (m *mesh) send(from string, sends []Send) {
	for _, s := range sends {
		if m.rng.Float64() < m.loss || (m.partitioned != nil && m.partitioned(from, s.To)) {
			continue
		}
		due := m.now + time.Duration(m.rng.Int64N(int64(maxDelay)))
		m.inFlight = append(m.inFlight, envelope{from: from, to: s.To, due: due, msg: s.Msg})
	}
}

func (m *mesh) sameZone(a, b string) bool { return m.zones[a] == m.zones[b] }

func (m *mesh) deliver(e envelope) {
	s := m.stores[e.to]
	switch msg := e.msg.(type) {
	case Update:
		for _, it := range msg.Items {
			s.Merge(it, m.sameZone(e.from, e.to))
		}
	case Checksum:
		m.send(e.to, s.OnChecksum(e.from, msg))
	case Digest:
		m.send(e.to, s.OnDigest(e.from, msg))
	case Pull:
		m.send(e.to, s.OnPull(e.from, msg))
	case Announcement:
		sends := s.OnAnnouncement(m.now, e.from, msg)
		m.pulls[e.to+" of "+e.from] += len(sends)
		m.send(e.to, sends)
	}
}

// step advances time by one tick, delivers the messages that are due, in random order, and ticks all stores.
func (m *mesh) step() {
	m.now += meshTick
	inFlight := m.inFlight
	m.inFlight = nil
	m.rng.Shuffle(len(inFlight), func(i, j int) { inFlight[i], inFlight[j] = inFlight[j], inFlight[i] })
	for _, e := range inFlight {
		if e.due > m.now {
			m.inFlight = append(m.inFlight, e)
			continue
		}
		m.deliver(e)
	}
	for at, name := range m.names {
		m.send(name, m.stores[name].Tick(m.now, m.peers(at)))
	}
}

// until steps the mesh until has returns true for every store, for at most limit. It returns how long that took, and false if the limit was
// reached.
func (m *mesh) until(limit time.Duration, has func(s *Store) bool) (time.Duration, bool) {
	began := m.now
	for m.now-began < limit {
		if m.everywhere(has) {
			return m.now - began, true
		}
		m.step()
	}
	return limit, m.everywhere(has)
}

// everywhere reports whether has returns true for every store.
func (m *mesh) everywhere(has func(s *Store) bool) bool {
	for _, s := range m.stores {
		if !has(s) {
			return false
		}
	}
	return true
}
