package gossip

import (
	"sort"
	"time"
)

// Announcement names items that are too large to be sent unasked; who lacks one pulls it.
type Announcement struct{ Versions []KeyVersion }

type sized interface{ Size() int }

const (
	maxPushBytes   = 1024
	pullRetryAfter = 300 * time.Millisecond
)

type pulled struct {
	version Version
	at      time.Duration
}

func (s *Store) pack(keys []string) []Message {
	var small []string
	var t Announcement
	sort.Strings(keys)
	for _, k := range keys {
		if d, ok := s.items[k].Data.(sized); ok && d.Size() > maxPushBytes {
			t.Versions = append(t.Versions, KeyVersion{Key: k, Version: s.items[k].Version})
			continue
		}
		small = append(small, k)
	}
	var msgs []Message
	if len(small) > 0 {
		msgs = append(msgs, s.Update(small))
	}
	if len(t.Versions) > 0 {
		msgs = append(msgs, t)
	}
	return msgs
}

// push tells near nodes; what began here goes to every other zone, what a near node told goes to one far node once more.
func (s *Store) push(peers []Peer) []Send {
	var near, far, each []string
	for k, h := range s.pending {
		near = append(near, k)
		switch {
		case h.far == eachDomain:
			each = append(each, k)
		case h.far == oneFar && h.first:
			far = append(far, k)
		}
		h.left, h.first = h.left-1, false
		if h.left <= 0 {
			delete(s.pending, k)
		}
	}
	sends := s.spread(s.pick(peers, true, s.cfg.SameZoneFanout), near)
	sends = append(sends, s.spread(s.perDomain(peers), each)...)
	return append(sends, s.spread(s.pick(peers, false, s.cfg.OtherZoneFanout), far)...)
}

func (s *Store) perDomain(peers []Peer) []Peer {
	seen := map[string]bool{}
	var to []Peer
	for _, p := range s.pick(peers, false, len(peers)) {
		if !seen[p.Zone] {
			seen[p.Zone] = true
			to = append(to, p)
		}
	}
	return to
}

func (s *Store) spread(to []Peer, keys []string) []Send {
	msgs := s.pack(keys)
	var sends []Send
	for _, p := range to {
		for _, m := range msgs {
			sends = append(sends, Send{To: p.Addr, Msg: m})
		}
	}
	return sends
}

// OnAnnouncement pulls what is newer than here, unless it was asked for a moment ago.
func (s *Store) OnAnnouncement(now time.Duration, from string, m Announcement) []Send {
	var want []string
	for _, km := range m.Versions {
		if it, ok := s.items[km.Key]; ok && !it.Version.Less(km.Version) {
			continue
		}
		if a, ok := s.asked[km.Key]; ok && !a.version.Less(km.Version) && now-a.at < pullRetryAfter {
			continue
		}
		s.asked[km.Key] = pulled{version: km.Version, at: now}
		want = append(want, km.Key)
	}
	if len(want) == 0 {
		return nil
	}
	return []Send{{To: from, Msg: Pull{Keys: want}}}
}

// Tick pushes new items and compares checksums, when it is time for either.
func (s *Store) Tick(now time.Duration, peers []Peer) []Send {
	var sends []Send
	if len(s.pending) > 0 && now-s.pushed >= s.cfg.PushInterval {
		s.pushed = now
		sends = s.push(peers)
	}
	for i, every := range []time.Duration{s.cfg.SameZoneChecksumInterval, s.cfg.OtherZoneChecksumInterval} {
		if now-s.digested[i] < every {
			continue
		}
		s.digested[i] = now
		for _, p := range s.pick(peers, i == 0, 1) {
			sends = append(sends, Send{To: p.Addr, Msg: Checksum{Hash: s.hash, N: s.durable}})
		}
	}
	return sends
}

// PushNow pushes new items without waiting for the next round.
func (s *Store) PushNow(peers []Peer) []Send {
	if len(s.pending) == 0 {
		return nil
	}
	return s.push(peers)
}
