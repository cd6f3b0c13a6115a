// Package gossip spreads versioned items between nodes: a new item is pushed to a few peers for a few rounds, and periodic checksums,
// followed by digests where they differ, repair what a push missed. Large items are announced and pulled.
package gossip
