package control

import (
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/chunk"
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
	// pullRetryAfter is how long to wait for a reply before the next source is asked. A source that did not reply is asked after all others
	// for silentFor: it may be alive for others but unreachable from here.
	pullRetryAfter = 400 * time.Millisecond
	silentFor      = 4 * time.Second
	// fetchTimeout, maxFetches and maxPendingMessages bound how long messages wait for chunks, for how many documents, and how many
	// messages wait for each.
	fetchTimeout       = 4 * time.Second
	maxFetches         = 16
	maxPendingMessages = 32
)

// fetch is a document whose chunks are being fetched, with the messages that wait for it. missing is the number of chunks missing, and
// progressAt when the last of them arrived or the source last changed.
type fetch struct {
	manifest *chunk.Manifest
	pending  []Received
	// sources are the nodes that may have the chunks, in the order in which to ask them; senders are those that sent a message with the
	// document and so have it. lacking are the sources that replied that they do not have a chunk.
	sources []string
	senders []string
	lacking []string
	// current is the source that was asked last. sawSilence is set once a source did not reply.
	current    string
	sawSilence bool
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
	f.addSender(r.From)
	f.addSources(n.sources(r, len(missing)))
	n.pull(now, f, missing)
}

// pull requests the missing chunks from the fetch's next source, except those that were requested shortly before and may still arrive.
func (n *Node) pull(now time.Duration, f *fetch, missing []chunk.Name) {
	source := n.nextSource(now, f)
	mayArrive := source == f.current || !f.sawSilence
	var names []byte
	for _, name := range missing {
		since, requested := n.documents.requestedAt[name]
		if requested && mayArrive && now-since < pullRetryAfter {
			continue
		}
		n.documents.requestedAt[name] = now
		names = append(names, name[:]...)
		if len(names) >= maxPullChunks*chunk.NameBytes {
			break
		}
	}
	if len(names) > 0 {
		f.current = source
		n.send(source, ChunkPull{Names: names})
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
	delete(n.documents.silentUntil, from)
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
		if slices.ContainsFunc(missing, func(name chunk.Name) bool { return missingAtSender[name] }) {
			f.lacking = append(f.lacking, from)
		}
		return n.nextSource(now, f) != ""
	})
}

// tickFetches switches to the next source if the current one does not reply, and abandons fetches that did not finish within fetchTimeout.
func (n *Node) tickFetches(now time.Duration) {
	n.advance(now, func(f *fetch, _ []chunk.Name) bool {
		if now-f.progressAt >= pullRetryAfter {
			n.documents.silentUntil[f.current] = now + silentFor
			f.sawSilence, f.progressAt = true, now
			if n.documents.silentUntil[n.nextSource(now, f)] > now {
				n.addFurtherSource(f)
			}
		}
		return now-f.startedAt < fetchTimeout
	})
	maps.DeleteFunc(n.documents.silentUntil, func(_ string, until time.Duration) bool { return now >= until })
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
