package gossip

import "github.com/mallowbridge/mallowbridge/wire"

// The types in this file are the encoded forms of messages. Their field names are part of the wire format and must not change.

func init() {
	wire.Register("rn", encodeUpdate, decodeUpdate)
	wire.RegisterPlain("rs", Checksum{})
	wire.Register("rm", encodeDigest, decodeDigest)
	wire.RegisterPlain("rw", Pull{})
	wire.Register("rt", encodeAnnouncement, decodeAnnouncement)
}

type encodedItem struct {
	Key  string
	Mark Version
	Data any
}

func encodeItem(i Item) encodedItem {
	return encodedItem{Key: i.Key, Mark: i.Version, Data: wire.Encode(i.Data)}
}

func decodeItem(f encodedItem) Item {
	return Item{Key: f.Key, Version: f.Mark, Data: wire.Decode(f.Data)}
}

type encodedUpdate struct{ Items []encodedItem }

func encodeUpdate(m Update) encodedUpdate {
	return encodedUpdate{Items: wire.ConvertSlice(m.Items, encodeItem)}
}

func decodeUpdate(f encodedUpdate) Update {
	return Update{Items: wire.ConvertSlice(f.Items, decodeItem)}
}

type encodedKeyVersion struct {
	Key  string
	Mark Version
}

func encodeKeyVersion(k KeyVersion) encodedKeyVersion {
	return encodedKeyVersion{Key: k.Key, Mark: k.Version}
}

func decodeKeyVersion(f encodedKeyVersion) KeyVersion {
	return KeyVersion{Key: f.Key, Version: f.Mark}
}

type encodedDigest struct {
	Marks []encodedKeyVersion
	Reply bool
}

func encodeDigest(m Digest) encodedDigest {
	return encodedDigest{Marks: wire.ConvertSlice(m.Versions, encodeKeyVersion), Reply: m.Reply}
}

func decodeDigest(f encodedDigest) Digest {
	return Digest{Versions: wire.ConvertSlice(f.Marks, decodeKeyVersion), Reply: f.Reply}
}

type encodedAnnouncement struct{ Marks []encodedKeyVersion }

func encodeAnnouncement(m Announcement) encodedAnnouncement {
	return encodedAnnouncement{Marks: wire.ConvertSlice(m.Versions, encodeKeyVersion)}
}

func decodeAnnouncement(f encodedAnnouncement) Announcement {
	return Announcement{Versions: wire.ConvertSlice(f.Marks, decodeKeyVersion)}
}
