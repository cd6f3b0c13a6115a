package control

import (
	"errors"
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/chunk"
	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/register"
)

const (
	// maxPullChunks is the maximum number of chunks requested at once. chunkBatchBytes is the number of bytes of chunks at which a reply is
	// sent and another one started, so that no reply delays pings by more than the time to send about that much.
	maxPullChunks   = 96
	chunkBatchBytes = 64 << 10
	// maxNearPull is the maximum number of missing segments for which the sender of the announcement is asked alone, if it is near. For
	// more, the machines with a disk in this node's zone are asked first.
	maxNearPull = 2
	// pullRetryAfter is how long to wait for a reply before the next source is asked.
	pullRetryAfter = 400 * time.Millisecond
	// fetchTimeout, maxFetches and maxPendingMessages bound how long messages wait for chunks, for how many documents, and how many
	// messages wait for each.
	fetchTimeout       = 4 * time.Second
	maxFetches         = 16
	maxPendingMessages = 32
)

// fetch is a document whose chunks are being fetched, with the messages that wait for it. current is the index of the source that is asked
// now, missing the number of chunks missing, and progressAt when the last of them arrived or the source last changed.
type fetch struct {
	manifest   *chunk.Manifest
	pending    []Received
	sources    []string
	current    int
	missing    int
	startedAt  time.Duration
	progressAt time.Duration
}

func (n *Node) fetch(now time.Duration, r Received, parts *chunk.Manifest, missing []chunk.Name, waits bool) {
	d := &n.documents
	at := slices.IndexFunc(d.fetches, func(f *fetch) bool { return f.manifest.Equal(parts) })
	if at < 0 {
		if len(d.fetches) >= maxFetches {
			d.fetches = d.fetches[1:]
		}
		d.fetches = append(d.fetches, &fetch{manifest: parts, missing: len(missing), startedAt: now, progressAt: now})
		at = len(d.fetches) - 1
	}
	f := d.fetches[at]
	if waits && len(f.pending) < maxPendingMessages {
		f.pending = append(f.pending, r)
	}
	f.addSources(n.sources(r, len(missing)))
	n.pull(now, f, missing)
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
	if len(f.sources) == 0 || f.sources[0] != first[0] {
		f.current = 0
	}
	f.sources = first
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

// pull requests the missing chunks that are not already requested from the fetch's current source.
func (n *Node) pull(now time.Duration, f *fetch, missing []chunk.Name) {
	var names []byte
	for _, name := range missing {
		since, requested := n.documents.requestedAt[name]
		if requested && now-since < pullRetryAfter {
			continue
		}
		n.documents.requestedAt[name] = now
		names = append(names, name[:]...)
		if len(names) >= maxPullChunks*chunk.NameBytes {
			break
		}
	}
	if len(names) > 0 {
		n.send(f.sources[f.current], ChunkPull{Names: names})
	}
}

func (n *Node) onChunkPull(from string, m ChunkPull) {
	for _, v := range []*register.Value{n.value, n.acceptedValue(), n.documents.offered} {
		n.storeDocuments(v)
	}
	var answer ChunkData
	bytes := 0
	for names := m.Names; len(names) >= chunk.NameBytes; names = names[chunk.NameBytes:] {
		data := n.documents.store.Get(chunk.Name(names))
		if data == nil {
			answer.Missing = append(answer.Missing, names[:chunk.NameBytes]...)
			continue
		}
		answer.Chunks = append(answer.Chunks, data)
		if bytes += len(data); bytes >= chunkBatchBytes {
			n.send(from, answer)
			answer, bytes = ChunkData{}, 0
		}
	}
	if len(answer.Chunks)+len(answer.Missing) > 0 {
		n.send(from, answer)
	}
}

func (n *Node) acceptedValue() *register.Value {
	if n.acceptor == nil {
		return nil
	}
	return n.acceptor.Value
}

func (n *Node) onChunkData(now time.Duration, from string, m ChunkData) {
	for _, data := range m.Chunks {
		delete(n.documents.requestedAt, chunk.NameOf(data))
		n.documents.store.Put(data)
	}
	missingAtSender := map[chunk.Name]bool{}
	for names := m.Missing; len(names) >= chunk.NameBytes; names = names[chunk.NameBytes:] {
		missingAtSender[chunk.Name(names)] = true
		delete(n.documents.requestedAt, chunk.Name(names))
	}
	n.advance(now, func(f *fetch, missing []chunk.Name) bool {
		if len(missing) < f.missing {
			f.missing, f.progressAt = len(missing), now
		}
		if f.sources[f.current] == from && slices.ContainsFunc(missing, func(name chunk.Name) bool { return missingAtSender[name] }) {
			f.current++
		}
		return f.current < len(f.sources)
	})
}

// tickFetches switches to the next source if the current one does not reply, and abandons fetches that did not finish within fetchTimeout.
func (n *Node) tickFetches(now time.Duration) {
	n.advance(now, func(f *fetch, _ []chunk.Name) bool {
		if now-f.progressAt >= pullRetryAfter {
			f.current, f.progressAt = (f.current+1)%len(f.sources), now
		}
		return now-f.startedAt < fetchTimeout
	})
	for name, since := range n.documents.requestedAt {
		if now-since >= fetchTimeout {
			delete(n.documents.requestedAt, name)
		}
	}
}

// advance handles the messages whose documents are complete, and requests more chunks for the other fetches for which keepFetching returns
// true.
func (n *Node) advance(now time.Duration, keepFetching func(f *fetch, missing []chunk.Name) bool) {
	fetches := n.documents.fetches
	n.documents.fetches = nil
	var ready []Received
	for _, f := range fetches {
		_, err := n.documents.store.Document(f.manifest)
		var missing *chunk.MissingError
		switch {
		case err == nil:
			ready = append(ready, f.pending...)
		case errors.As(err, &missing) && keepFetching(f, missing.Names):
			n.documents.fetches = append(n.documents.fetches, f)
			n.pull(now, f, missing.Names)
		}
	}
	for _, r := range ready {
		n.recv(now, r)
	}
}
