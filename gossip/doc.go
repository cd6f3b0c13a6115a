// Package gossip spreads versioned items between nodes. A new item is pushed to a few peers for a few rounds. Anti-entropy repairs what
// the pushes missed: peers periodically compare checksums and exchange digests if these differ. Large items are only announced, and a
// peer that lacks one pulls it.
//
// A Store holds the newest version of each Item. It does no I/O: its owner calls Tick with the time and the current peers, passes received
// messages to the On methods and Merge, and sends the messages that they return.
package gossip
