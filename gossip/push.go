package gossip

import (
	"sort"
	"time"
)

// sized is implemented by item data that may be too large to push. Size returns its size in bytes.
type sized interface{ Size() int }

const (
	// maxPushBytes is the size of the largest item that is pushed; larger ones are announced.
	maxPushBytes = 1024
	// pullRetryAfter is how long a store waits for a pulled version before it pulls it again.
	pullRetryAfter = 300 * time.Millisecond
)

// pullAttempt records the version of an item that was last pulled, and when.
type pullAttempt struct {
	version Version
	at      time.Duration
}

// pushMessages returns the messages that push the items: one Update with the small ones and one Announcement of the large ones.
func (s *Store) pushMessages(keys []string) []Message {
	var small []string
	var announced Announcement
	sort.Strings(keys)
	for _, k := range keys {
		if d, ok := s.items[k].Data.(sized); ok && d.Size() > maxPushBytes {
			announced.Versions = append(announced.Versions, KeyVersion{Key: k, Version: s.items[k].Version})
			continue
		}
		small = append(small, k)
	}
	var msgs []Message
	if len(small) > 0 {
		msgs = append(msgs, s.Update(small))
	}
	if len(announced.Versions) > 0 {
		msgs = append(msgs, announced)
	}
	return msgs
}

// push runs one push round. All pending items go to SameZoneFanout peers in the same zone. Items that originated at this node also go to one
// peer in every other zone, and items that came from a peer in the same zone go, in their first round only, to OtherZoneFanout peers in other
// zones.
func (s *Store) push(peers []Peer) []Send {
	var sameZone, otherZones, everyZone []string
	for k, p := range s.pending {
		sameZone = append(sameZone, k)
		switch {
		case p.scope == everyOtherZone:
			everyZone = append(everyZone, k)
		case p.scope == alsoOtherZones && p.firstRound:
			otherZones = append(otherZones, k)
		}
		p.roundsLeft, p.firstRound = p.roundsLeft-1, false
		if p.roundsLeft <= 0 {
			delete(s.pending, k)
		}
	}
	sends := s.sendAll(s.pickPeers(peers, true, s.cfg.SameZoneFanout), sameZone)
	sends = append(sends, s.sendAll(s.peerPerOtherZone(peers), everyZone)...)
	return append(sends, s.sendAll(s.pickPeers(peers, false, s.cfg.OtherZoneFanout), otherZones)...)
}

// peerPerOtherZone returns a random peer in each of the other zones.
func (s *Store) peerPerOtherZone(peers []Peer) []Peer {
	seen := map[string]bool{}
	var to []Peer
	for _, p := range s.pickPeers(peers, false, len(peers)) {
		if !seen[p.Zone] {
			seen[p.Zone] = true
			to = append(to, p)
		}
	}
	return to
}

// sendAll returns the messages that push the items to each of the peers.
func (s *Store) sendAll(to []Peer, keys []string) []Send {
	msgs := s.pushMessages(keys)
	var sends []Send
	for _, p := range to {
		for _, m := range msgs {
			sends = append(sends, Send{To: p.Addr, Msg: m})
		}
	}
	return sends
}

// OnAnnouncement pulls the announced items that are newer than this store's, except those that were pulled less than pullRetryAfter ago.
func (s *Store) OnAnnouncement(now time.Duration, from string, m Announcement) []Send {
	var want []string
	for _, kv := range m.Versions {
		if it, ok := s.items[kv.Key]; ok && !it.Version.Less(kv.Version) {
			continue
		}
		if last, ok := s.pulls[kv.Key]; ok && !last.version.Less(kv.Version) && now-last.at < pullRetryAfter {
			continue
		}
		s.pulls[kv.Key] = pullAttempt{version: kv.Version, at: now}
		want = append(want, kv.Key)
	}
	if len(want) == 0 {
		return nil
	}
	return []Send{{To: from, Msg: Pull{Keys: want}}}
}

// Tick pushes pending items and sends checksums to peers, each at its configured interval.
func (s *Store) Tick(now time.Duration, peers []Peer) []Send {
	var sends []Send
	if len(s.pending) > 0 && now-s.lastPushAt >= s.cfg.PushInterval {
		s.lastPushAt = now
		sends = s.push(peers)
	}
	for i, interval := range []time.Duration{s.cfg.SameZoneChecksumInterval, s.cfg.OtherZoneChecksumInterval} {
		if now-s.lastChecksumAt[i] < interval {
			continue
		}
		s.lastChecksumAt[i] = now
		for _, p := range s.pickPeers(peers, i == 0, 1) {
			sends = append(sends, Send{To: p.Addr, Msg: Checksum{Hash: s.hash, N: s.durableCount}})
		}
	}
	return sends
}

// PushNow pushes pending items without waiting for the next round.
func (s *Store) PushNow(peers []Peer) []Send {
	if len(s.pending) == 0 {
		return nil
	}
	return s.push(peers)
}
