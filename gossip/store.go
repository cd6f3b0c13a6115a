package gossip

import (
	"encoding/binary"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

type Version struct{ Hi, Lo uint64 }

func (m Version) Less(o Version) (yes bool) {
	return m.Hi < o.Hi || (m.Hi == o.Hi && m.Lo < o.Lo)
}

type Item struct {
	Key  string
	Mark Version
	Data any
}

type KeyVersion struct {
	Key  string
	Mark Version
}

type Update struct{ Items []Item }

type Checksum struct {
	Hash uint64
	N    int
}

type Digest struct {
	Marks []KeyVersion
	Reply bool
}

type Pull struct{ Keys []string }

type Peer struct {
	Name, Addr, Domain string
	Near               bool
}

type Send struct {
	To  string
	Msg any
}

type Config struct {
	Push       time.Duration
	Near       int
	Far        int
	Rounds     int
	DigestNear time.Duration
	DigestFar  time.Duration
}

func Defaults() (c Config) {
	return Config{Push: 100 * time.Millisecond, Near: 2, Far: 1, Rounds: 2, DigestNear: time.Second, DigestFar: 2 * time.Second}
}

type reach uint8

const (
	nearOnly reach = iota
	oneFar
	eachDomain
)

type pendingPush struct {
	left  int
	first bool
	far   reach
}

// fleeting news is soon replaced and of no use when old: it is pushed, and digests leave it out, which otherwise never agreed.
type ephemeral interface{ Ephemeral() (yes bool) }

func (it Item) ephemeral() (yes bool) {
	f, ok := it.Data.(ephemeral)
	return ok && f.Ephemeral()
}

// passing news is soon replaced and told once.
type sentOnce interface{ SentOnce() (yes bool) }

type Store struct {
	cfg      Config
	rng      *rand.Rand
	items    map[string]Item
	pending  map[string]*pendingPush
	asked    map[string]asked
	hash     uint64
	durable  int
	pushed   time.Duration
	digested [2]time.Duration
	Fresh    uint64
	Stale    uint64
}

func New(cfg Config, seed uint64) (s *Store) {
	return &Store{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 11)), items: map[string]Item{}, pending: map[string]*pendingPush{}, asked: map[string]asked{}}
}

func leaf(k string, m Version) (h uint64) {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:], m.Hi)
	binary.BigEndian.PutUint64(b[8:], m.Lo)
	d := xxhash.New()
	_, _ = d.WriteString(k)
	_, _ = d.Write(b[:])
	return d.Sum64()
}

func (s *Store) Put(it Item) (fresh bool) { return s.hold(it, eachDomain) }

func (s *Store) Merge(it Item, near bool) (fresh bool) {
	if near {
		return s.hold(it, oneFar)
	}
	return s.hold(it, nearOnly)
}

func (s *Store) hold(it Item, far reach) (fresh bool) {
	old, ok := s.items[it.Key]
	if ok && !old.Mark.Less(it.Mark) {
		s.Stale++
		return false
	}
	if ok && !old.ephemeral() {
		s.hash ^= leaf(old.Key, old.Mark)
		s.durable--
	}
	if !it.ephemeral() {
		s.hash ^= leaf(it.Key, it.Mark)
		s.durable++
	}
	s.items[it.Key] = it
	left := s.cfg.Rounds
	if p, ok := it.Data.(sentOnce); ok && p.SentOnce() {
		left = 1
	}
	s.pending[it.Key] = &pendingPush{left: left, first: true, far: far}
	s.Fresh++
	return true
}

func (s *Store) Get(key string) (it Item, ok bool) {
	it, ok = s.items[key]
	return it, ok
}

func (s *Store) Len() (n int) { return len(s.items) }

func (s *Store) keys() (keys []string) {
	for k, it := range s.items {
		if !it.ephemeral() {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return keys
}

func (s *Store) Digest(reply bool) (m Digest) {
	m.Reply = reply
	for _, k := range s.keys() {
		m.Marks = append(m.Marks, KeyVersion{Key: k, Mark: s.items[k].Mark})
	}
	return m
}

func (s *Store) Update(keys []string) (n Update) {
	for _, k := range keys {
		if it, ok := s.items[k]; ok {
			n.Items = append(n.Items, it)
		}
	}
	return n
}

func (s *Store) OnChecksum(from string, m Checksum) (sends []Send) {
	if m.Hash == s.hash && m.N == s.durable {
		return nil
	}
	return []Send{{To: from, Msg: s.Digest(true)}}
}

func (s *Store) OnDigest(from string, m Digest) (sends []Send) {
	theirs := map[string]Version{}
	var want []string
	for _, km := range m.Marks {
		theirs[km.Key] = km.Mark
		if it, ok := s.items[km.Key]; !ok || it.Mark.Less(km.Mark) {
			want = append(want, km.Key)
		}
	}
	var ahead []string
	for _, k := range s.keys() {
		if t, ok := theirs[k]; !ok || t.Less(s.items[k].Mark) {
			ahead = append(ahead, k)
		}
	}
	if len(ahead) > 0 || m.Reply {
		sends = append(sends, Send{To: from, Msg: s.Update(ahead)})
	}
	if len(want) > 0 {
		sends = append(sends, Send{To: from, Msg: Pull{Keys: want}})
	}
	return sends
}

func (s *Store) OnPull(from string, m Pull) (sends []Send) {
	return []Send{{To: from, Msg: s.Update(m.Keys)}}
}

func (s *Store) pick(peers []Peer, near bool, n int) (to []Peer) {
	for _, p := range peers {
		if p.Near == near {
			to = append(to, p)
		}
	}
	s.rng.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
	return to[:min(n, len(to))]
}
