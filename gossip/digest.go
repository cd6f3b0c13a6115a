package gossip

// OnChecksum answers a checksum that differs with this store's digest.
func (s *Store) OnChecksum(from string, m Checksum) []Send {
	if m.Hash == s.hash && m.N == s.durable {
		return nil
	}
	return []Send{{To: from, Msg: s.ReplyDigest()}}
}

// OnDigest sends what is newer here and asks for what is newer there.
func (s *Store) OnDigest(from string, m Digest) []Send {
	theirs := map[string]Version{}
	var want []string
	for _, km := range m.Versions {
		theirs[km.Key] = km.Version
		if it, ok := s.items[km.Key]; !ok || it.Version.Less(km.Version) {
			want = append(want, km.Key)
		}
	}
	var ahead []string
	for _, k := range s.keys() {
		if t, ok := theirs[k]; !ok || t.Less(s.items[k].Version) {
			ahead = append(ahead, k)
		}
	}
	var sends []Send
	if len(ahead) > 0 || m.Reply {
		sends = append(sends, Send{To: from, Msg: s.Update(ahead)})
	}
	if len(want) > 0 {
		sends = append(sends, Send{To: from, Msg: Pull{Keys: want}})
	}
	return sends
}

// OnPull sends what was asked for.
func (s *Store) OnPull(from string, m Pull) []Send {
	return []Send{{To: from, Msg: s.Update(m.Keys)}}
}
