package gossip

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

const (
	seeds = 20
	// spreadWithin is the bound on the spread of one item under 20 % loss; a node hears of all that a push missed by digests, about one
	// a second.
	spreadWithin = 5 * time.Second
)

func holds(key string, version Version) func(s *Store) bool {
	return func(s *Store) bool {
		it, ok := s.Get(key)
		return ok && it.Version == version
	}
}

func TestEveryItemReachesEveryNodeUnderLoss(t *testing.T) {
	worst := time.Duration(0)
	for seed := range uint64(seeds) {
		m := newMesh(Defaults(), seed, 0.2)
		m.stores["n0"].Put(Item{Key: "k", Version: Version{Lo: 1}, Data: text("v")})
		elapsed, all := m.until(spreadWithin, holds("k", Version{Lo: 1}))
		worst = max(worst, elapsed)
		if !all {
			t.Errorf("seed %d: not everywhere after %s", seed, elapsed)
		}
	}
	t.Log("worst:", worst)
}

func TestDigestsRepairAfterPartition(t *testing.T) {
	worst := time.Duration(0)
	for seed := range uint64(seeds) {
		m := newMesh(Defaults(), seed, 0)
		m.partitioned = func(from, to string) bool { return !m.near(from, to) }
		m.stores["n0"].Put(Item{Key: "k", Version: Version{Lo: 1}, Data: text("v")})
		m.until(5*time.Second, func(*Store) bool { return false })
		if _, ok := m.stores["n1"].Get("k"); ok {
			t.Fatalf("seed %d: the cut lets items through", seed)
		}
		m.partitioned = nil
		elapsed, all := m.until(spreadWithin, holds("k", Version{Lo: 1}))
		worst = max(worst, elapsed)
		if !all {
			t.Errorf("seed %d: not everywhere after %s", seed, elapsed)
		}
	}
	t.Log("worst:", worst)
}

// Without digests a push that was lost is never made good: the two tests above rest on them.
func TestItemIsMissingWithoutDigests(t *testing.T) {
	cfg := Defaults()
	cfg.SameZoneChecksumInterval, cfg.OtherZoneChecksumInterval = time.Hour, time.Hour
	m := newMesh(cfg, 1, 0)
	m.partitioned = func(from, to string) bool { return !m.near(from, to) }
	m.stores["n0"].Put(Item{Key: "k", Version: Version{Lo: 1}, Data: text("v")})
	m.until(5*time.Second, func(*Store) bool { return false })
	m.partitioned = nil
	if _, all := m.until(spreadWithin, holds("k", Version{Lo: 1})); all {
		t.Error("something else than digests repairs")
	}
}

func TestEphemeralItemsStayOutOfDigests(t *testing.T) {
	a, b := New(Defaults(), 1), New(Defaults(), 2)
	a.Put(Item{Key: "e", Version: Version{Lo: 1}, Data: brief("v")})
	if d := a.Digest(); len(d.Versions) > 0 {
		t.Errorf("digest: %v", d)
	}
	sum := Checksum{Hash: a.hash, N: a.durable}
	if sends := b.OnChecksum("a", sum); len(sends) > 0 {
		t.Errorf("an ephemeral item makes checksums differ: %v", sends)
	}
	a.Put(Item{Key: "d", Version: Version{Lo: 1}, Data: text("v")})
	if sum = (Checksum{Hash: a.hash, N: a.durable}); len(b.OnChecksum("a", sum)) == 0 {
		t.Error("a durable item makes no difference")
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

// Whatever order and however often the same versions come, stores end alike and hold the newest of each key.
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
	if one.hash != two.hash || one.durable != two.durable || !reflect.DeepEqual(one.Digest(), two.Digest()) {
		t.Errorf("seed %d: stores differ: %v %v", seed, one.Digest(), two.Digest())
	}
	for key, version := range latest {
		if !holds(key, version)(one) {
			t.Errorf("seed %d: %s is not at its newest", seed, key)
		}
	}
}

// randomItems are some items under few keys, and the latest version of each key.
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

// With no digests at all, the first push brings an item to every zone.
func TestPushReachesEveryZone(t *testing.T) {
	for seed := range uint64(seeds) {
		cfg := Defaults()
		cfg.SameZoneChecksumInterval, cfg.OtherZoneChecksumInterval = time.Hour, time.Hour
		m := newMesh(cfg, seed, 0)
		m.stores["n0"].Put(Item{Key: "k", Version: Version{Lo: 1}, Data: text("v")})
		m.until(cfg.PushInterval+meshTick+mostDelay+meshTick, func(*Store) bool { return false })
		reached := map[string]bool{}
		for name, s := range m.stores {
			_, has := s.Get("k")
			reached[m.zones[name]] = reached[m.zones[name]] || has
		}
		for at := range meshZones {
			if !reached[zoneOf(at)] {
				t.Errorf("seed %d: %s has heard nothing", seed, zoneOf(at))
			}
		}
	}
}

// One digest repairs both sides.
func TestDigestRepairsBothSides(t *testing.T) {
	a, b := New(Defaults(), 1), New(Defaults(), 2)
	a.Put(Item{Key: "old", Version: Version{Lo: 2}, Data: text("v")})
	a.Put(Item{Key: "a", Version: Version{Lo: 1}, Data: text("v")})
	b.Put(Item{Key: "old", Version: Version{Lo: 1}, Data: text("v")})
	b.Put(Item{Key: "b", Version: Version{Lo: 1}, Data: text("v")})
	brings, asks := 0, 0
	for _, s := range b.OnDigest("a", a.Digest()) {
		switch msg := s.Msg.(type) {
		case Update:
			for _, it := range msg.Items {
				a.Merge(it, true)
				brings++
			}
		case Pull:
			asks += len(msg.Keys)
			for _, answer := range a.OnPull("b", msg) {
				for _, it := range answer.Msg.(Update).Items {
					b.Merge(it, true)
				}
			}
		}
	}
	if brings != 1 || asks != 2 || !reflect.DeepEqual(a.Digest(), b.Digest()) {
		t.Errorf("%d brought, %d asked for: %v %v", brings, asks, a.Digest(), b.Digest())
	}
}
