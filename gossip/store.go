package gossip

import (
	"encoding/binary"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Version is the version of an item. Versions are ordered by Hi, then by Lo.
type Version struct{ Hi, Lo uint64 }

// Less reports whether v is older than o.
func (v Version) Less(o Version) bool {
	return v.Hi < o.Hi || (v.Hi == o.Hi && v.Lo < o.Lo)
}

// Item is one version of the data stored under a key. Data may be of any type that is registered under a gob name; packages that use gossip
// register their own types.
type Item struct {
	Key     string
	Version Version
	Data    any
}

// Config sets how often and to how many peers a store gossips.
type Config struct {
	// PushInterval is the time between push rounds, Rounds the number of rounds in which an item is pushed. SameZoneFanout is the number of peers
	// in this node's zone that get each push. OtherZoneFanout is the number of peers in other zones that get an item learned from a peer in this zone.
	PushInterval    time.Duration
	SameZoneFanout  int
	OtherZoneFanout int
	Rounds          int
	// SameZoneChecksumInterval is the time between checksums to one peer in the same zone, OtherZoneChecksumInterval that between checksums
	// to one peer in another zone.
	SameZoneChecksumInterval  time.Duration
	OtherZoneChecksumInterval time.Duration
}

// Defaults returns the configuration that production nodes use.
func Defaults() Config {
	return Config{PushInterval: 100 * time.Millisecond, SameZoneFanout: 2, OtherZoneFanout: 1, Rounds: 2, SameZoneChecksumInterval: time.Second, OtherZoneChecksumInterval: 2 * time.Second}
}

// pushScope says to which zones an item is pushed.
type pushScope uint8

const (
	// sameZoneOnly is for items that came from another zone.
	sameZoneOnly pushScope = iota
	// alsoOtherZones is for items that came from a peer in the same zone.
	alsoOtherZones
	// everyOtherZone is for items that originated at this node.
	everyOtherZone
)

// pendingPush is an item that is still to be pushed.
type pendingPush struct {
	roundsLeft int
	firstRound bool
	scope      pushScope
}

// ephemeral is implemented by item data that is soon replaced and useless when old. Such items are pushed, but are left out of checksums and
// digests, which would otherwise never agree between stores.
type ephemeral interface{ Ephemeral() bool }

func (it Item) ephemeral() bool {
	data, ok := it.Data.(ephemeral)
	return ok && data.Ephemeral()
}

// sentOnce is implemented by item data that is soon replaced. Such items are pushed for one round only.
type sentOnce interface{ SentOnce() bool }

// Store holds the newest version of each item and the items that are still to be pushed. It does no I/O and is not safe for concurrent use.
type Store struct {
	cfg     Config
	rng     *rand.Rand
	items   map[string]Item
	pending map[string]*pendingPush
	// pulls contains the last pull of each key.
	pulls map[string]pullAttempt
	// hash covers the durable items, whose number is durableCount.
	hash         uint64
	durableCount int
	lastPushAt   time.Duration
	// lastChecksumAt is when a checksum was last sent to the same zone and to another one.
	lastChecksumAt [2]time.Duration
	// Accepted counts the items that were stored, Stale those that were dropped because they were not newer.
	Accepted uint64
	Stale    uint64
}

// New returns an empty store. The seed determines its random choice of peers.
func New(cfg Config, seed uint64) *Store {
	return &Store{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 11)), items: map[string]Item{}, pending: map[string]*pendingPush{}, pulls: map[string]pullAttempt{}}
}

// versionHash returns the hash of one version of an item. The hash of a store is the XOR of those of its durable items.
func versionHash(key string, v Version) uint64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:], v.Hi)
	binary.BigEndian.PutUint64(b[8:], v.Lo)
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// Put stores an item that originates at this node and reports whether it is newer than the stored one. It is pushed to one peer in every
// other zone.
func (s *Store) Put(it Item) bool { return s.store(it, everyOtherZone) }

// Merge stores an item from a peer and reports whether it is newer than the stored one. sameZone says whether the peer is in this node's zone; if
// it is, the item is also pushed to peers in other zones.
func (s *Store) Merge(it Item, sameZone bool) bool {
	if sameZone {
		return s.store(it, alsoOtherZones)
	}
	return s.store(it, sameZoneOnly)
}

// store stores an item and marks it for pushing, unless the stored one is as new.
func (s *Store) store(it Item, scope pushScope) bool {
	old, ok := s.items[it.Key]
	if ok && !old.Version.Less(it.Version) {
		s.Stale++
		return false
	}
	if ok && !old.ephemeral() {
		s.hash ^= versionHash(old.Key, old.Version)
		s.durableCount--
	}
	if !it.ephemeral() {
		s.hash ^= versionHash(it.Key, it.Version)
		s.durableCount++
	}
	s.items[it.Key] = it
	rounds := s.cfg.Rounds
	if p, ok := it.Data.(sentOnce); ok && p.SentOnce() {
		rounds = 1
	}
	s.pending[it.Key] = &pendingPush{roundsLeft: rounds, firstRound: true, scope: scope}
	s.Accepted++
	return true
}

// Get returns the item under a key.
func (s *Store) Get(key string) (Item, bool) {
	it, ok := s.items[key]
	return it, ok
}

// Len returns the number of items.
func (s *Store) Len() int { return len(s.items) }

// durableKeys returns the keys of all items that are not ephemeral, sorted.
func (s *Store) durableKeys() []string {
	var keys []string
	for k, it := range s.items {
		if !it.ephemeral() {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return keys
}

// ReplyDigest returns the digest of this store with Reply set, so that the peer replies with an Update in any case.
func (s *Store) ReplyDigest() Digest {
	m := s.Digest()
	m.Reply = true
	return m
}

// Digest returns the versions of all durable items in this store.
func (s *Store) Digest() Digest {
	var m Digest
	for _, k := range s.durableKeys() {
		m.Versions = append(m.Versions, KeyVersion{Key: k, Version: s.items[k].Version})
	}
	return m
}

// Update returns an Update with the items under the given keys, without those that this store lacks.
func (s *Store) Update(keys []string) Update {
	var u Update
	for _, k := range keys {
		if it, ok := s.items[k]; ok {
			u.Items = append(u.Items, it)
		}
	}
	return u
}

// pickPeers returns up to n random peers, all in the same zone as this node or all in other zones.
func (s *Store) pickPeers(peers []Peer, sameZone bool, n int) []Peer {
	var to []Peer
	for _, p := range peers {
		if p.SameZone == sameZone {
			to = append(to, p)
		}
	}
	s.rng.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
	return to[:min(n, len(to))]
}
