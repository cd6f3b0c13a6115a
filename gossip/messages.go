package gossip

// KeyVersion identifies one version of an item.
type KeyVersion struct {
	Key     string
	Version Version
}

// Message is a message between stores. Older builds read the encoded forms, which are in encoding.go.
type Message interface{ gossipMessage() }

// Update carries items to a peer.
type Update struct{ Items []Item }

// Checksum summarizes the durable items of a store: Hash covers their keys and versions, and N is their number. Stores with equal
// checksums have equal items.
type Checksum struct {
	Hash uint64
	N    int
}

// Digest lists the versions of all durable items of a store. Reply requests an Update even if it would be empty.
type Digest struct {
	Versions []KeyVersion
	Reply    bool
}

// Announcement lists the versions of items that are too large to push. A peer that lacks one of them pulls it.
type Announcement struct{ Versions []KeyVersion }

// Pull requests items by key.
type Pull struct{ Keys []string }

func (Update) gossipMessage()       {}
func (Checksum) gossipMessage()     {}
func (Digest) gossipMessage()       {}
func (Pull) gossipMessage()         {}
func (Announcement) gossipMessage() {}

// Peer is another node. SameZone reports whether it is in this node's failure zone.
type Peer struct {
	Name, Addr, Zone string
	SameZone         bool
}

// Send is a message to be sent to the address To.
type Send struct {
	To  string
	Msg Message
}
