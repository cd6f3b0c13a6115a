package gossip

import (
	"encoding/binary"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

type Mark struct{ Hi, Lo uint64 }

func (m Mark) Less(o Mark) (yes bool) {
	return m.Hi < o.Hi || (m.Hi == o.Hi && m.Lo < o.Lo)
}

type Item struct {
	Key  string
	Mark Mark
	Data any
}

type KeyMark struct {
	Key  string
	Mark Mark
}

type News struct{ Items []Item }

type Sum struct {
	Hash uint64
	N    int
}

type Marks struct {
	Marks []KeyMark
	Reply bool
}

type Want struct{ Keys []string }

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

type hot struct {
	left  int
	first bool
	far   reach
}

// fleeting news is soon replaced and of no use when old: it is pushed, and digests leave it out, which otherwise never agreed.
type fleeting interface{ Fleeting() (yes bool) }

func (it Item) fleeting() (yes bool) {
	f, ok := it.Data.(fleeting)
	return ok && f.Fleeting()
}

// passing news is soon replaced and told once.
type passing interface{ Passing() (yes bool) }

type Store struct {
	cfg      Config
	rng      *rand.Rand
	items    map[string]Item
	hot      map[string]*hot
	asked    map[string]asked
	hash     uint64
	lasting  int
	pushed   time.Duration
	digested [2]time.Duration
	Fresh    uint64
	Stale    uint64
}

func New(cfg Config, seed uint64) (s *Store) {
	return &Store{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 11)), items: map[string]Item{}, hot: map[string]*hot{}, asked: map[string]asked{}}
}

func leaf(k string, m Mark) (h uint64) {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:], m.Hi)
	binary.BigEndian.PutUint64(b[8:], m.Lo)
	d := xxhash.New()
	_, _ = d.WriteString(k)
	_, _ = d.Write(b[:])
	return d.Sum64()
}

func (s *Store) Put(it Item) (fresh bool) { return s.hold(it, eachDomain) }

func (s *Store) Hear(it Item, near bool) (fresh bool) {
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
	if ok && !old.fleeting() {
		s.hash ^= leaf(old.Key, old.Mark)
		s.lasting--
	}
	if !it.fleeting() {
		s.hash ^= leaf(it.Key, it.Mark)
		s.lasting++
	}
	s.items[it.Key] = it
	left := s.cfg.Rounds
	if p, ok := it.Data.(passing); ok && p.Passing() {
		left = 1
	}
	s.hot[it.Key] = &hot{left: left, first: true, far: far}
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
		if !it.fleeting() {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return keys
}

func (s *Store) Marks(reply bool) (m Marks) {
	m.Reply = reply
	for _, k := range s.keys() {
		m.Marks = append(m.Marks, KeyMark{Key: k, Mark: s.items[k].Mark})
	}
	return m
}

func (s *Store) News(keys []string) (n News) {
	for _, k := range keys {
		if it, ok := s.items[k]; ok {
			n.Items = append(n.Items, it)
		}
	}
	return n
}

func (s *Store) OnSum(from string, m Sum) (sends []Send) {
	if m.Hash == s.hash && m.N == s.lasting {
		return nil
	}
	return []Send{{To: from, Msg: s.Marks(true)}}
}

func (s *Store) OnMarks(from string, m Marks) (sends []Send) {
	theirs := map[string]Mark{}
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
		sends = append(sends, Send{To: from, Msg: s.News(ahead)})
	}
	if len(want) > 0 {
		sends = append(sends, Send{To: from, Msg: Want{Keys: want}})
	}
	return sends
}

func (s *Store) OnWant(from string, m Want) (sends []Send) {
	return []Send{{To: from, Msg: s.News(m.Keys)}}
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
