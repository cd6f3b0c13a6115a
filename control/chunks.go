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
	// chunksBuild is the first build that reads manifests.
	chunksBuild = 3
	// keptDocuments, keptBodies and keptBytes bound the documents, whole documents and bytes of chunks that a node holds for others.
	keptDocuments = 64
	keptBodies    = 8
	keptBytes     = 8 << 20
	// offeredBytes is the most that a proposal carries of a document besides its manifest.
	offeredBytes = 64 << 10
)

// ChunkPull asks for chunks by name.
type ChunkPull struct{ Names []byte }

// ChunkData answers a ChunkPull, in several messages where the chunks are many. Missing names those that the sender doesn't have.
type ChunkData struct {
	Chunks  [][]byte
	Missing []byte
}

// Since is the first build that reads the message.
func (ChunkPull) Since() uint32 { return chunksBuild }

// Since is the first build that reads the message.
func (ChunkData) Since() uint32 { return chunksBuild }

// documents holds chunks, what is being fetched, and the builds of neighbours as they said themselves.
type documents struct {
	store       *chunk.Store
	offered     *register.Value
	fetches     []*fetch
	requestedAt map[chunk.Name]time.Duration
	builds      map[string]uint32
}

func newDocuments() documents {
	return documents{store: chunk.NewStore(keptDocuments, keptBodies, keptBytes), requestedAt: map[chunk.Name]time.Duration{}, builds: map[string]uint32{}}
}

// stripDocuments puts manifests in place of a large document and a large memory of orders.
func (n *Node) stripDocuments(v *register.Value) *register.Value {
	if v == nil {
		return nil
	}
	body, memory := len(v.Document) > register.MaxInlineDocument, len(v.EditLog)+len(v.OrderLog) > register.MaxInlineLogs
	if !body && !memory {
		return v
	}
	same := v.Clone()
	if body {
		same.Document, same.DocumentManifest = nil, n.documents.store.Add(v.Document)
	}
	if memory {
		same.EditLog, same.OrderLog, same.LogManifest = nil, nil, n.documents.store.AddFine(v.EncodeOrderLogs())
	}
	return same
}

// storeDocuments takes the documents of a value into the store, unless they are there.
func (n *Node) storeDocuments(v *register.Value) {
	if v != nil {
		n.documents.store.Add(v.Document)
		n.documents.store.AddFine(v.EncodeOrderLogs())
	}
}

// withMissingChunks is a value that is proposed, as voters get it: with what they lack of it, if they have the value that this node applied
// and that isn't much.
func (n *Node) withMissingChunks(v *register.Value) *register.Value {
	same := n.stripDocuments(v)
	if same == v {
		return v
	}
	n.documents.offered = v
	if n.value == nil {
		return same
	}
	store := n.documents.store
	if same.DocumentManifest != nil && len(n.value.Document) > 0 {
		same.DocumentManifest = n.addMissingChunks(same.DocumentManifest, store.Add(n.value.Document))
	}
	if same.LogManifest != nil {
		same.LogManifest = n.addMissingChunks(same.LogManifest, store.AddFine(n.value.EncodeOrderLogs()))
	}
	return same
}

func (n *Node) addMissingChunks(m, base *chunk.Manifest) *chunk.Manifest {
	return &chunk.Manifest{Size: m.Size, Segments: m.Segments, Fresh: n.documents.store.AddedChunks(m, base, offeredBytes)}
}

// stripMessage is the message as a neighbour that reads manifests gets it.
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

// restoreDocuments puts documents in the place of manifests. A message whose chunks aren't all here waits for them, and comes in again then:
// no acceptor, proposer or gossip store sees a value without its document.
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

// restoreItems takes the other items first: they may name nearer machines that have the chunks.
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
	same := v.Clone()
	var ok bool
	if v.DocumentManifest != nil {
		same.Document, ok = n.restorePart(now, r, v.DocumentManifest, true)
		same.DocumentManifest = nil
	}
	if v.LogManifest == nil {
		return same, ok
	}
	memory, here := n.restorePart(now, r, v.LogManifest, v.DocumentManifest == nil || ok)
	if !here || (v.DocumentManifest != nil && !ok) {
		return nil, false
	}
	same.LogManifest = nil
	if err := same.DecodeOrderLogs(memory); err != nil {
		n.logChange(ChangeOrderLogRejected, err.Error())
		return nil, false
	}
	return same, true
}

// restorePart is what a manifest stands for. Where it isn't here it is fetched, and the message waits for it, unless it waits already.
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
