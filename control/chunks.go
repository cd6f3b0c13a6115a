package control

import (
	"errors"
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/chunk"
	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/register"
)

const (
	// chunksBuild is the first build that can decode manifests.
	chunksBuild = 3
	// keptDocuments, keptBodies and keptBytes bound what a node stores for others: the documents whose chunks it keeps, the documents that
	// it also keeps assembled, and the bytes of the chunks.
	keptDocuments = 64
	keptBodies    = 8
	keptBytes     = 8 << 20
	// maxProposalChunkBytes is the maximum size of the chunks that a proposal contains together with a manifest.
	maxProposalChunkBytes = 64 << 10
)

// ChunkPull requests chunks. Names is the concatenation of their names, chunk.NameBytes each.
type ChunkPull struct{ Names []byte }

// ChunkData replies to a ChunkPull, in several messages if the chunks are many. Missing is the concatenation of the names of the chunks
// that the sender does not have.
type ChunkData struct {
	Chunks  [][]byte
	Missing []byte
}

// Since returns the first build that can decode the message.
func (ChunkPull) Since() uint32 { return chunksBuild }

// Since returns the first build that can decode the message.
func (ChunkData) Since() uint32 { return chunksBuild }

// documents contains stored chunks, the fetches in progress and the builds of other nodes as they last reported them, by address. offered
// is the value that this node proposed last; requestedAt is when each missing chunk was requested; silentUntil is until when a source that
// did not reply is asked after all others.
type documents struct {
	store       *chunk.Store
	offered     *register.Value
	fetches     []*fetch
	requestedAt map[chunk.Name]time.Duration
	builds      map[string]uint32
	silentUntil map[string]time.Duration
}

func newDocuments() documents {
	return documents{store: chunk.NewStore(keptDocuments, keptBodies, keptBytes), requestedAt: map[chunk.Name]time.Duration{}, builds: map[string]uint32{}, silentUntil: map[string]time.Duration{}}
}

// stripDocuments returns the value with manifests in place of a large document and large order logs.
func (n *Node) stripDocuments(v *register.Value) *register.Value {
	if v == nil {
		return nil
	}
	largeDocument, largeLogs := len(v.Document) > register.MaxInlineDocument, len(v.EditLog)+len(v.OrderLog) > register.MaxInlineLogs
	if !largeDocument && !largeLogs {
		return v
	}
	stripped := v.Clone()
	if largeDocument {
		stripped.Document, stripped.DocumentManifest = nil, n.documents.store.Add(v.Document)
	}
	if largeLogs {
		stripped.EditLog, stripped.OrderLog, stripped.LogManifest = nil, nil, n.documents.store.AddFine(v.EncodeOrderLogs())
	}
	return stripped
}

// storeDocuments adds a value's document and order logs to the store, unless they are there.
func (n *Node) storeDocuments(v *register.Value) {
	if v != nil {
		n.documents.store.Add(v.Document)
		n.documents.store.AddFine(v.EncodeOrderLogs())
	}
}

// withMissingChunks returns a proposed value as it is sent to voters: with manifests, and with the chunks that voters lack if they have the
// value that this node applied and the chunks are few.
func (n *Node) withMissingChunks(v *register.Value) *register.Value {
	stripped := n.stripDocuments(v)
	if stripped == v {
		return v
	}
	n.documents.offered = v
	if n.value == nil {
		return stripped
	}
	store := n.documents.store
	if stripped.DocumentManifest != nil && len(n.value.Document) > 0 {
		stripped.DocumentManifest = n.addMissingChunks(stripped.DocumentManifest, store.Add(n.value.Document))
	}
	if stripped.LogManifest != nil {
		stripped.LogManifest = n.addMissingChunks(stripped.LogManifest, store.AddFine(n.value.EncodeOrderLogs()))
	}
	return stripped
}

func (n *Node) addMissingChunks(m, base *chunk.Manifest) *chunk.Manifest {
	return &chunk.Manifest{Size: m.Size, Segments: m.Segments, Fresh: n.documents.store.AddedChunks(m, base, maxProposalChunkBytes)}
}

// stripMessage returns the message as it is sent to a node that can decode manifests.
func (n *Node) stripMessage(msg any) any {
	switch m := msg.(type) {
	case register.Promise:
		m.Value = n.stripDocuments(m.Value)
		return m
	case register.Accept:
		m.Value = n.withMissingChunks(m.Value)
		return m
	case gossip.Update:
		items := slices.Clone(m.Items)
		for i := range items {
			if v, is := items[i].Data.(*register.Value); is {
				items[i].Data = n.stripDocuments(v)
			}
		}
		return gossip.Update{Items: items}
	}
	return msg
}

// restoreDocuments replaces manifests in a message with the documents. A message whose chunks are not all here waits for them and is then
// received again: no acceptor, proposer or gossip store ever gets a value without its document.
func (n *Node) restoreDocuments(now time.Duration, r Received) (Received, bool) {
	var ok bool
	switch m := r.Msg.(type) {
	case register.Promise:
		m.Value, ok = n.restoreValue(now, r, m.Value)
		r.Msg = m
	case register.Accept:
		m.Value, ok = n.restoreValue(now, r, m.Value)
		r.Msg = m
	case gossip.Update:
		r.Msg, ok = n.restoreItems(now, r.From, m)
	default:
		ok = true
	}
	return r, ok
}

// restoreItems merges the other items first: they may contain the member entries of nearer machines that have the chunks.
func (n *Node) restoreItems(now time.Duration, from string, m gossip.Update) (gossip.Update, bool) {
	at := slices.IndexFunc(m.Items, func(it gossip.Item) bool { v, is := it.Data.(*register.Value); return is && !v.Complete() })
	if at < 0 {
		return m, true
	}
	it := m.Items[at]
	n.mergeItems(now, from, slices.Concat(m.Items[:at], m.Items[at+1:]))
	alone := Received{From: from, Msg: gossip.Update{Items: []gossip.Item{it}}}
	var ok bool
	it.Data, ok = n.restoreValue(now, alone, it.Data.(*register.Value))
	return gossip.Update{Items: []gossip.Item{it}}, ok
}

func (n *Node) restoreValue(now time.Duration, r Received, v *register.Value) (*register.Value, bool) {
	if v == nil || v.Complete() {
		return v, true
	}
	restored := v.Clone()
	var ok bool
	if v.DocumentManifest != nil {
		restored.Document, ok = n.restorePart(now, r, v.DocumentManifest, true)
		restored.DocumentManifest = nil
	}
	if v.LogManifest == nil {
		return restored, ok
	}
	orderLogs, complete := n.restorePart(now, r, v.LogManifest, v.DocumentManifest == nil || ok)
	if !complete || (v.DocumentManifest != nil && !ok) {
		return nil, false
	}
	restored.LogManifest = nil
	if err := restored.DecodeOrderLogs(orderLogs); err != nil {
		n.logChange(ChangeOrderLogRejected, err.Error())
		return nil, false
	}
	return restored, true
}

// restorePart returns the content of a manifest. If chunks are missing, they are fetched and, if waits is set, the message waits for them.
func (n *Node) restorePart(now time.Duration, r Received, m *chunk.Manifest, waits bool) ([]byte, bool) {
	parts := &chunk.Manifest{Size: m.Size, Segments: m.Segments}
	body, err := n.documents.store.DocumentWith(parts, m.Fresh)
	var missing *chunk.MissingError
	switch {
	case err == nil:
		return body, true
	case errors.As(err, &missing):
		n.fetch(now, r, parts, missing.Names, waits)
	default:
		n.logChange(ChangeDocumentRejected, err.Error())
	}
	return nil, false
}
