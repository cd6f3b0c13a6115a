package gossip

import (
	"encoding/binary"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Version orders the versions of an item, by Hi and then Lo.
type Version struct{ Hi, Lo uint64 }

// Less tells whether m comes before o.
func (m Version) Less(o Version) bool {
	return m.Hi < o.Hi || (m.Hi == o.Hi && m.Lo < o.Lo)
}

// Item is one version of the data under a key. Data is of any type that has a name in gob: the packages above this one bring theirs.
type Item struct {
	Key     string
	Version Version
	Data    any
}

// KeyVersion names one version of an item.
type KeyVersion struct {
	Key     string
	Version Version
}

// Message is what stores send each other. Their encoded forms, which older builds read, are in encoding.go.
type Message interface{ gossipMessage() }

// Update brings items.
type Update struct{ Items []Item }

// Checksum is a hash over all durable items and their number; equal ones mean equal stores.
type Checksum struct {
	Hash uint64
	N    int
}

// Digest lists the versions of all durable items. Reply asks for an Update even where it would be empty.
type Digest struct {
	Versions []KeyVersion
	Reply    bool
}

// Pull asks for items by key.
type Pull struct{ Keys []string }

func (Update) gossipMessage()       {}
func (Checksum) gossipMessage()     {}
func (Digest) gossipMessage()       {}
func (Pull) gossipMessage()         {}
func (Announcement) gossipMessage() {}

// Peer is a node to talk to; Near ones are of the same failure zone.
type Peer struct {
	Name, Addr, Zone string
	SameZone         bool
}

// Send is a message for the address To.
type Send struct {
	To  string
	Msg Message
}

// Config sets the pace: a push every Push to Near peers of the same zone and Far others, so many Rounds for each item; a checksum to
// one near peer every DigestNear and to one far peer every DigestFar.
type Config struct {
	PushInterval              time.Duration
	SameZoneFanout            int
	OtherZoneFanout           int
	Rounds                    int
	SameZoneChecksumInterval  time.Duration
	OtherZoneChecksumInterval time.Duration
}

// Defaults is the configuration that nodes run with.
func Defaults() Config {
	return Config{PushInterval: 100 * time.Millisecond, SameZoneFanout: 2, OtherZoneFanout: 1, Rounds: 2, SameZoneChecksumInterval: time.Second, OtherZoneChecksumInterval: 2 * time.Second}
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

// ephemeral items are soon replaced and of no use when old: they are pushed, and digests leave them out, which otherwise never agreed.
type ephemeral interface{ Ephemeral() bool }

func (it Item) ephemeral() bool {
	f, ok := it.Data.(ephemeral)
	return ok && f.Ephemeral()
}

// sentOnce items are soon replaced and pushed in one round only.
type sentOnce interface{ SentOnce() bool }

// Store holds the newest version of each item, and what is still to be pushed. Accepted and Stale count items that were taken, and that
// were no newer. It is a pure state machine.
type Store struct {
	cfg      Config
	rng      *rand.Rand
	items    map[string]Item
	pending  map[string]*pendingPush
	asked    map[string]pulled
	hash     uint64
	durable  int
	pushed   time.Duration
	digested [2]time.Duration
	Accepted uint64
	Stale    uint64
}

// New makes an empty store; the seed is for the choice of peers.
func New(cfg Config, seed uint64) *Store {
	return &Store{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 11)), items: map[string]Item{}, pending: map[string]*pendingPush{}, asked: map[string]pulled{}}
}

func leaf(k string, m Version) uint64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:], m.Hi)
	binary.BigEndian.PutUint64(b[8:], m.Lo)
	d := xxhash.New()
	_, _ = d.WriteString(k)
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// Put takes an item of this node, and tells whether it is newer; it goes to one peer of every other zone.
func (s *Store) Put(it Item) bool { return s.hold(it, eachDomain) }

// Merge takes an item of a peer, and tells whether it is newer. What a near peer sent goes to one far peer too.
func (s *Store) Merge(it Item, near bool) bool {
	if near {
		return s.hold(it, oneFar)
	}
	return s.hold(it, nearOnly)
}

func (s *Store) hold(it Item, far reach) bool {
	old, ok := s.items[it.Key]
	if ok && !old.Version.Less(it.Version) {
		s.Stale++
		return false
	}
	if ok && !old.ephemeral() {
		s.hash ^= leaf(old.Key, old.Version)
		s.durable--
	}
	if !it.ephemeral() {
		s.hash ^= leaf(it.Key, it.Version)
		s.durable++
	}
	s.items[it.Key] = it
	left := s.cfg.Rounds
	if p, ok := it.Data.(sentOnce); ok && p.SentOnce() {
		left = 1
	}
	s.pending[it.Key] = &pendingPush{left: left, first: true, far: far}
	s.Accepted++
	return true
}

// Get returns the item under a key.
func (s *Store) Get(key string) (Item, bool) {
	it, ok := s.items[key]
	return it, ok
}

// Len is the number of items.
func (s *Store) Len() int { return len(s.items) }

func (s *Store) keys() []string {
	var keys []string
	for k, it := range s.items {
		if !it.ephemeral() {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return keys
}

// ReplyDigest is the digest of this store as the answer to a peer's.
func (s *Store) ReplyDigest() Digest {
	m := s.Digest()
	m.Reply = true
	return m
}

// Digest is that of this store.
func (s *Store) Digest() Digest {
	var m Digest
	for _, k := range s.keys() {
		m.Versions = append(m.Versions, KeyVersion{Key: k, Version: s.items[k].Version})
	}
	return m
}

// Update brings the items under the keys, as far as they are here.
func (s *Store) Update(keys []string) Update {
	var n Update
	for _, k := range keys {
		if it, ok := s.items[k]; ok {
			n.Items = append(n.Items, it)
		}
	}
	return n
}

func (s *Store) pick(peers []Peer, near bool, n int) []Peer {
	var to []Peer
	for _, p := range peers {
		if p.SameZone == near {
			to = append(to, p)
		}
	}
	s.rng.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
	return to[:min(n, len(to))]
}
