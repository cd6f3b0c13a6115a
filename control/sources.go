package control

import (
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/scheduler"
)

// addSender adds the sender of a message with the document. It has the chunks now, even if it lacked them before.
func (f *fetch) addSender(from string) {
	if !slices.Contains(f.senders, from) {
		f.senders = append(f.senders, from)
	}
	f.lacking = slices.DeleteFunc(f.lacking, func(source string) bool { return source == from })
}

// addSources adds the sources named by a later message. They go before the known ones if the message names another first source.
func (f *fetch) addSources(sources []string) {
	first, rest := sources, f.sources
	if len(rest) > 0 && rest[0] == first[0] {
		first, rest = rest, first
	}
	for _, source := range rest {
		if !slices.Contains(first, source) {
			first = append(first, source)
		}
	}
	f.sources = first
}

// nextSource returns the source to ask now: the first that is not known to lack a chunk or to be silent, and after a silence a sender before
// others. If all are silent, it is the one whose silence was noticed first. The result is empty if all sources lack a chunk.
func (n *Node) nextSource(now time.Duration, f *fetch) string {
	best, bestCost := "", time.Duration(0)
	for _, source := range f.sources {
		if slices.Contains(f.lacking, source) {
			continue
		}
		cost := max(n.documents.silentUntil[source]-now, 0)
		if cost == 0 && f.sawSilence && !slices.Contains(f.senders, source) {
			cost = time.Nanosecond
		}
		if best == "" || cost < bestCost {
			best, bestCost = source, cost
		}
	}
	return best
}

// sources returns the nodes that may have the chunks of a message, in the order in which to ask them. The sender has them. If the sender is
// in another zone, or many chunks are missing, machines with a disk in this node's zone are asked first: they may have the chunks because
// they voted for the value.
func (n *Node) sources(r Received, missing int) []string {
	_, gossiped := r.Msg.(gossip.Update)
	if !gossiped || (missing <= maxNearPull && n.near(r.From)) {
		return []string{r.From}
	}
	var addrs []string
	for _, m := range n.Members.Table.All() {
		if m.Disk != "" && m.Name != n.config.Name && m.Zone == n.config.Zone && m.State == membership.Alive && n.buildOf(m.Addr) >= chunksBuild {
			addrs = append(addrs, m.Addr)
		}
	}
	return append(addrs, r.From)
}

// addFurtherSource adds an alive member that is no source yet to a fetch whose sources are all silent; members of this node's zone come
// first. The member may turn out to lack the chunks.
func (n *Node) addFurtherSource(f *fetch) {
	addrs := map[string]string{}
	var near, far []string
	for _, m := range n.Members.Table.All() {
		switch {
		case m.State != membership.Alive || m.Name == n.config.Name || slices.Contains(f.sources, m.Addr) || n.buildOf(m.Addr) < chunksBuild:
			continue
		case m.Zone == n.config.Zone:
			near = append(near, m.Name)
		default:
			far = append(far, m.Name)
		}
		addrs[m.Name] = m.Addr
	}
	names := append(scheduler.SortByWeight(n.config.Name, near), scheduler.SortByWeight(n.config.Name, far)...)
	if len(names) == 0 {
		return
	}
	f.sources = append(f.sources, addrs[names[0]])
}
