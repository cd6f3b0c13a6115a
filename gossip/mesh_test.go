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
	mostDelay = 60 * time.Millisecond
)

type text string

// brief items are soon replaced.
type brief string

func (brief) Ephemeral() bool { return true }

// bulky items are too large to be pushed.
type bulky string

func (bulky) Size() int { return maxPushBytes + 1 }

type envelope struct {
	from, to string
	due      time.Duration
	msg      any
}

// mesh is some stores and a network that delays, reorders and loses, in virtual time.
type mesh struct {
	rng         *rand.Rand
	now         time.Duration
	names       []string
	stores      map[string]*Store
	zones       map[string]string
	mail        []envelope
	loss        float64
	partitioned func(from, to string) bool
	pulls       map[string]int
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

func (m *mesh) peers(of int) []Peer {
	var list []Peer
	for at, name := range m.names {
		if at != of {
			list = append(list, Peer{Name: name, Addr: name, Zone: zoneOf(at), SameZone: zoneOf(at) == zoneOf(of)})
		}
	}
	return list
}

func (m *mesh) post(from string, sends []Send) {
	for _, s := range sends {
		if m.rng.Float64() < m.loss || (m.partitioned != nil && m.partitioned(from, s.To)) {
			continue
		}
		due := m.now + time.Duration(m.rng.Int64N(int64(mostDelay)))
		m.mail = append(m.mail, envelope{from: from, to: s.To, due: due, msg: s.Msg})
	}
}

func (m *mesh) near(a, b string) bool { return m.zones[a] == m.zones[b] }

func (m *mesh) deliver(l envelope) {
	s := m.stores[l.to]
	switch msg := l.msg.(type) {
	case Update:
		for _, it := range msg.Items {
			s.Merge(it, m.near(l.from, l.to))
		}
	case Checksum:
		m.post(l.to, s.OnChecksum(l.from, msg))
	case Digest:
		m.post(l.to, s.OnDigest(l.from, msg))
	case Pull:
		m.post(l.to, s.OnPull(l.from, msg))
	case Announcement:
		sends := s.OnAnnouncement(m.now, l.from, msg)
		m.pulls[l.to+" of "+l.from] += len(sends)
		m.post(l.to, sends)
	}
}

func (m *mesh) step() {
	m.now += meshTick
	mail := m.mail
	m.mail = nil
	m.rng.Shuffle(len(mail), func(i, j int) { mail[i], mail[j] = mail[j], mail[i] })
	for _, l := range mail {
		if l.due > m.now {
			m.mail = append(m.mail, l)
			continue
		}
		m.deliver(l)
	}
	for at, name := range m.names {
		m.post(name, m.stores[name].Tick(m.now, m.peers(at)))
	}
}

// until steps until every store has what is wanted, and tells how long it took; not longer than most.
func (m *mesh) until(most time.Duration, has func(s *Store) bool) (time.Duration, bool) {
	began := m.now
	for m.now-began < most {
		if m.everywhere(has) {
			return m.now - began, true
		}
		m.step()
	}
	return most, m.everywhere(has)
}

func (m *mesh) everywhere(has func(s *Store) bool) bool {
	for _, s := range m.stores {
		if !has(s) {
			return false
		}
	}
	return true
}
