package gossip

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

const (
	seeds = 20
	// spreadWithin bounds the time until one item has reached all nodes at 20 % message loss. Items that the pushes missed arrive through
	// checksums, about one a second.
	spreadWithin = 5 * time.Second
)

// hasVersion returns a function that reports whether a store holds the given version of a key.
func hasVersion(key string, version Version) func(s *Store) bool {
	return func(s *Store) bool {
		it, ok := s.Get(key)
		return ok && it.Version == version
	}
}

func TestEveryItemReachesEveryNodeUnderLoss(t *testing.T) {
	slowest := time.Duration(0)
	for seed := range uint64(seeds) {
		m := newMesh(Defaults(), seed, 0.2)
		m.stores["n0"].Put(Item{Key: "k", Version: Version{Lo: 1}, Data: text("v")})
		elapsed, all := m.until(spreadWithin, hasVersion("k", Version{Lo: 1}))
		slowest = max(slowest, elapsed)
		if !all {
			t.Errorf("seed %d: not everywhere after %s", seed, elapsed)
		}
	}
	t.Log("slowest:", slowest)
}

func TestDigestsRepairAfterPartition(t *testing.T) {
	slowest := time.Duration(0)
	for seed := range uint64(seeds) {
		m := newMesh(Defaults(), seed, 0)
		m.partitioned = func(from, to string) bool { return !m.sameZone(from, to) }
		m.stores["n0"].Put(Item{Key: "k", Version: Version{Lo: 1}, Data: text("v")})
		m.until(5*time.Second, func(*Store) bool { return false })
		if _, ok := m.stores["n1"].Get("k"); ok {
			t.Fatalf("seed %d: an item passed the partition", seed)
		}
		m.partitioned = nil
		elapsed, all := m.until(spreadWithin, hasVersion("k", Version{Lo: 1}))
		slowest = max(slowest, elapsed)
		if !all {
			t.Errorf("seed %d: not everywhere after %s", seed, elapsed)
		}
	}
	t.Log("slowest:", slowest)
}

// TestItemIsMissingWithoutDigests checks that only anti-entropy repairs a lost push, which the two tests above depend on.
func TestItemIsMissingWithoutDigests(t *testing.T) {
	cfg := Defaults()
	cfg.SameZoneChecksumInterval, cfg.OtherZoneChecksumInterval = time.Hour, time.Hour
	m := newMesh(cfg, 1, 0)
	m.partitioned = func(from, to string) bool { return !m.sameZone(from, to) }
	m.stores["n0"].Put(Item{Key: "k", Version: Version{Lo: 1}, Data: text("v")})
	m.until(5*time.Second, func(*Store) bool { return false })
	m.partitioned = nil
	if _, all := m.until(spreadWithin, hasVersion("k", Version{Lo: 1})); all {
		t.Error("the item spread without digests")
	}
}

func TestEphemeralItemsStayOutOfDigests(t *testing.T) {
	a, b := New(Defaults(), 1), New(Defaults(), 2)
	a.Put(Item{Key: "e", Version: Version{Lo: 1}, Data: brief("v")})
	if d := a.Digest(); len(d.Versions) > 0 {
		t.Errorf("digest: %v", d)
	}
	sum := Checksum{Hash: a.hash, N: a.durableCount}
	if sends := b.OnChecksum("a", sum); len(sends) > 0 {
		t.Errorf("an ephemeral item makes checksums differ: %v", sends)
	}
	a.Put(Item{Key: "d", Version: Version{Lo: 1}, Data: text("v")})
	if sum = (Checksum{Hash: a.hash, N: a.durableCount}); len(b.OnChecksum("a", sum)) == 0 {
		t.Error("a durable item does not change the checksum")
	}
}

func TestLargeItemIsPulledOncePerAnnouncer(t *testing.T) {
	for seed := range uint64(seeds) {
		cfg := Defaults()
		cfg.SameZoneChecksumInterval, cfg.OtherZoneChecksumInterval = time.Hour, time.Hour
		m := newMesh(cfg, seed, 0)
		m.stores["n0"].Put(Item{Key: "k", Version: Version{Lo: 1}, Data: bulky("v")})
		m.until(2*time.Second, func(*Store) bool { return false })
		for pair, n := range m.pulls {
			if n > 1 {
				t.Errorf("seed %d: %s pulled %d times", seed, pair, n)
			}
		}
	}
}

// TestMergeIsIdempotentAndCommutativeAndLatestWins checks that stores which merge the same versions in different orders, some repeatedly, end
// up equal and hold the newest version of each key.
func TestMergeIsIdempotentAndCommutativeAndLatestWins(t *testing.T) {
	for seed := range uint64(seeds) {
		checkMerge(t, seed)
	}
}

func checkMerge(t *testing.T, seed uint64) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 9))
	items, latest := randomItems(rng)
	one, two := New(Defaults(), 1), New(Defaults(), 2)
	for _, it := range items {
		one.Merge(it, true)
	}
	for _, at := range append(rng.Perm(len(items)), rng.Perm(len(items))...) {
		two.Merge(items[at], false)
	}
	if one.hash != two.hash || one.durableCount != two.durableCount || !reflect.DeepEqual(one.Digest(), two.Digest()) {
		t.Errorf("seed %d: stores differ: %v %v", seed, one.Digest(), two.Digest())
	}
	for key, version := range latest {
		if !hasVersion(key, version)(one) {
			t.Errorf("seed %d: %s is not at its newest version", seed, key)
		}
	}
}

// randomItems returns random versions of items under a few keys, and the newest version of each key.
func randomItems(rng *rand.Rand) ([]Item, map[string]Version) {
	var items []Item
	latest := map[string]Version{}
	for range 40 {
		it := Item{Key: string(rune('a' + rng.IntN(5))), Version: Version{Hi: rng.Uint64N(3), Lo: rng.Uint64N(4)}, Data: text("v")}
		items = append(items, it)
		if old, ok := latest[it.Key]; !ok || old.Less(it.Version) {
			latest[it.Key] = it.Version
		}
	}
	return items, latest
}

// TestPushReachesEveryZone checks that the first push alone, without digests, brings an item to every zone.
func TestPushReachesEveryZone(t *testing.T) {
	for seed := range uint64(seeds) {
		cfg := Defaults()
		cfg.SameZoneChecksumInterval, cfg.OtherZoneChecksumInterval = time.Hour, time.Hour
		m := newMesh(cfg, seed, 0)
		m.stores["n0"].Put(Item{Key: "k", Version: Version{Lo: 1}, Data: text("v")})
		m.until(cfg.PushInterval+meshTick+maxDelay+meshTick, func(*Store) bool { return false })
		reached := map[string]bool{}
		for name, s := range m.stores {
			_, has := s.Get("k")
			reached[m.zones[name]] = reached[m.zones[name]] || has
		}
		for at := range meshZones {
			if !reached[zoneOf(at)] {
				t.Errorf("seed %d: the item has not reached zone %s", seed, zoneOf(at))
			}
		}
	}
}

// TestDigestRepairsBothSides checks that one digest makes both stores equal.
func TestDigestRepairsBothSides(t *testing.T) {
	a, b := New(Defaults(), 1), New(Defaults(), 2)
	a.Put(Item{Key: "old", Version: Version{Lo: 2}, Data: text("v")})
	a.Put(Item{Key: "a", Version: Version{Lo: 1}, Data: text("v")})
	b.Put(Item{Key: "old", Version: Version{Lo: 1}, Data: text("v")})
	b.Put(Item{Key: "b", Version: Version{Lo: 1}, Data: text("v")})
	sent, pulled := 0, 0
	for _, s := range b.OnDigest("a", a.Digest()) {
		switch msg := s.Msg.(type) {
		case Update:
			for _, it := range msg.Items {
				a.Merge(it, true)
				sent++
			}
		case Pull:
			pulled += len(msg.Keys)
			for _, answer := range a.OnPull("b", msg) {
				for _, it := range answer.Msg.(Update).Items {
					b.Merge(it, true)
				}
			}
		}
	}
	if sent != 1 || pulled != 2 || !reflect.DeepEqual(a.Digest(), b.Digest()) {
		t.Errorf("%d items sent, %d pulled: %v %v", sent, pulled, a.Digest(), b.Digest())
	}
}
