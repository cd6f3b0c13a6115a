package gossip

// OnChecksum replies with this store's digest if the peer's checksum differs from its own.
func (s *Store) OnChecksum(from string, m Checksum) []Send {
	if m.Hash == s.hash && m.N == s.durableCount {
		return nil
	}
	return []Send{{To: from, Msg: s.ReplyDigest()}}
}

// OnDigest sends the peer the items that are newer in this store and pulls those that are newer at the peer.
func (s *Store) OnDigest(from string, m Digest) []Send {
	theirs := map[string]Version{}
	var want []string
	for _, kv := range m.Versions {
		theirs[kv.Key] = kv.Version
		if it, ok := s.items[kv.Key]; !ok || it.Version.Less(kv.Version) {
			want = append(want, kv.Key)
		}
	}
	var newer []string
	for _, key := range s.durableKeys() {
		if version, ok := theirs[key]; !ok || version.Less(s.items[key].Version) {
			newer = append(newer, key)
		}
	}
	var sends []Send
	if len(newer) > 0 || m.Reply {
		sends = append(sends, Send{To: from, Msg: s.Update(newer)})
	}
	if len(want) > 0 {
		sends = append(sends, Send{To: from, Msg: Pull{Keys: want}})
	}
	return sends
}

// OnPull replies with the requested items.
func (s *Store) OnPull(from string, m Pull) []Send {
	return []Send{{To: from, Msg: s.Update(m.Keys)}}
}
