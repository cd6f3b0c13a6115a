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
	// chunksBuild is the first build that reads manifests.
	chunksBuild = 3
	// keptDocuments, keptBodies and keptBytes bound the documents, whole documents and bytes of chunks that a node holds for others.
	keptDocuments = 32
	keptBodies    = 3
	keptBytes     = 8 << 20
	// pullMost is how many chunks are asked for at once, and pieceBytes how many bytes of them one message carries, so that pings
	// wait behind no more.
	pullMost   = 96
	pieceBytes = 64 << 10
	// pullFew segments are asked of who announced them if it is near; more are asked of the nearest machine with a disk first.
	pullFew = 2
	// pullAgain is how long an answer may stay away before the next holder is asked.
	pullAgain = 400 * time.Millisecond
	// fetchFor and fetchMost bound how long messages wait for chunks, and for how many documents.
	fetchFor    = 4 * time.Second
	fetchMost   = 16
	waitingMost = 32
)

// ChunkPull asks for chunks by name.
type ChunkPull struct{ Names []byte }

// ChunkData answers a ChunkPull, in several messages where the chunks are many. Lacks names those that the sender doesn't have.
type ChunkData struct {
	Pieces [][]byte
	Lacks  []byte
}

// Since is the first build that reads the message.
func (ChunkPull) Since() (build uint32) { return chunksBuild }

// Since is the first build that reads the message.
func (ChunkData) Since() (build uint32) { return chunksBuild }

// fetch is a document whose chunks are being fetched, and the messages that wait for it.
type fetch struct {
	manifest *chunk.Manifest
	waiting  []Received
	sources  []string
	at       int
	left     int
	born     time.Duration
	moved    time.Duration
}

// documents holds chunks, what is being fetched, and the builds of neighbours as they said themselves.
type documents struct {
	store   *chunk.Store
	fetches []*fetch
	flying  map[chunk.Name]time.Duration
	builds  map[string]uint32
}

func newDocuments() (d documents) {
	return documents{store: chunk.NewStore(keptDocuments, keptBodies, keptBytes), flying: map[chunk.Name]time.Duration{}, builds: map[string]uint32{}}
}

// thin puts the manifest in place of a large document.
func (n *Node) thin(v *register.Value) (same *register.Value) {
	if v == nil || len(v.Body) <= register.WholeBytes {
		return v
	}
	same = v.Clone()
	same.Body, same.Parts = nil, n.documents.store.Manifest(v.Body)
	return same
}

// thinned is the message as a neighbour that reads manifests gets it.
func (n *Node) thinned(msg any) (same any) {
	switch m := msg.(type) {
	case register.Promise:
		m.Value = n.thin(m.Value)
		return m
	case register.Accept:
		m.Value = n.thin(m.Value)
		return m
	case gossip.Update:
		items := slices.Clone(m.Items)
		for i := range items {
			if v, is := items[i].Data.(*register.Value); is {
				items[i].Data = n.thin(v)
			}
		}
		return gossip.Update{Items: items}
	}
	return msg
}

// thicken puts documents in the place of manifests. A message whose chunks aren't all here waits for them, and comes in again then:
// no acceptor, proposer or gossip store sees a value without its document.
func (n *Node) thicken(now time.Duration, r Received) (whole Received, ok bool) {
	switch m := r.Msg.(type) {
	case register.Promise:
		m.Value, ok = n.whole(now, r, m.Value)
		r.Msg = m
	case register.Accept:
		m.Value, ok = n.whole(now, r, m.Value)
		r.Msg = m
	case gossip.Update:
		r.Msg, ok = n.wholeItems(now, r.From, m)
		if !ok {
			n.mergeItems(now, r.From, r.Msg.(gossip.Update).Items)
		}
	default:
		ok = true
	}
	return r, ok
}

func (n *Node) wholeItems(now time.Duration, from string, m gossip.Update) (whole gossip.Update, ok bool) {
	ok = true
	for _, it := range m.Items {
		v, is := it.Data.(*register.Value)
		if !is {
			whole.Items = append(whole.Items, it)
			continue
		}
		alone := Received{From: from, Msg: gossip.Update{Items: []gossip.Item{it}}}
		v, here := n.whole(now, alone, v)
		if !here {
			ok = false
			continue
		}
		it.Data = v
		whole.Items = append(whole.Items, it)
	}
	return whole, ok
}

func (n *Node) whole(now time.Duration, r Received, v *register.Value) (same *register.Value, ok bool) {
	if v == nil || v.Parts == nil {
		return v, true
	}
	body, err := n.documents.store.Body(v.Parts)
	var missing *chunk.MissingError
	switch {
	case err == nil:
		same = v.Clone()
		same.Body, same.Parts = body, nil
		return same, true
	case errors.As(err, &missing):
		n.fetch(now, r, v.Parts, missing.Names)
	default:
		n.change("document denied", err.Error())
	}
	return nil, false
}

func (n *Node) fetch(now time.Duration, r Received, parts *chunk.Manifest, missing []chunk.Name) {
	d := &n.documents
	at := slices.IndexFunc(d.fetches, func(f *fetch) bool { return f.manifest.Same(parts) })
	if at < 0 {
		if len(d.fetches) >= fetchMost {
			d.fetches = d.fetches[1:]
		}
		d.fetches = append(d.fetches, &fetch{manifest: parts, left: len(missing), born: now, moved: now})
		at = len(d.fetches) - 1
	}
	f := d.fetches[at]
	if len(f.waiting) < waitingMost {
		f.waiting = append(f.waiting, r)
	}
	for _, source := range n.sources(r, len(missing)) {
		if !slices.Contains(f.sources, source) {
			f.sources = append(f.sources, source)
		}
	}
	n.pull(now, f, missing)
}

// sources are who may have the chunks of a message, in the order in which they are asked. The sender has them; where it is far, or
// they are many, a near machine with a disk may have them by its vote.
func (n *Node) sources(r Received, missing int) (addrs []string) {
	_, told := r.Msg.(gossip.Update)
	if !told || (missing <= pullFew && n.near(r.From)) {
		return []string{r.From}
	}
	for _, m := range n.Members.Table.All() {
		if m.Disk != "" && m.Name != n.config.Name && m.Domain == n.config.Domain && m.State == membership.Alive && n.buildOf(m.Addr) >= chunksBuild {
			addrs = append(addrs, m.Addr)
		}
	}
	return append(addrs, r.From)
}

// pull asks the fetch's current source for what is missing and not on its way.
func (n *Node) pull(now time.Duration, f *fetch, missing []chunk.Name) {
	var names []byte
	for _, name := range missing {
		since, flying := n.documents.flying[name]
		if flying && now-since < pullAgain {
			continue
		}
		n.documents.flying[name] = now
		names = append(names, name[:]...)
		if len(names) >= pullMost*chunk.NameBytes {
			break
		}
	}
	if len(names) > 0 {
		n.send(f.sources[f.at], ChunkPull{Names: names})
	}
}

func (n *Node) onChunkPull(from string, m ChunkPull) {
	for _, v := range []*register.Value{n.value, n.acceptedValue()} {
		if v != nil {
			n.documents.store.Manifest(v.Body)
		}
	}
	var answer ChunkData
	bytes := 0
	for names := m.Names; len(names) >= chunk.NameBytes; names = names[chunk.NameBytes:] {
		piece := n.documents.store.Get(chunk.Name(names))
		if piece == nil {
			answer.Lacks = append(answer.Lacks, names[:chunk.NameBytes]...)
			continue
		}
		answer.Pieces = append(answer.Pieces, piece)
		if bytes += len(piece); bytes >= pieceBytes {
			n.send(from, answer)
			answer, bytes = ChunkData{}, 0
		}
	}
	if len(answer.Pieces)+len(answer.Lacks) > 0 {
		n.send(from, answer)
	}
}

func (n *Node) acceptedValue() (v *register.Value) {
	if n.acceptor == nil {
		return nil
	}
	return n.acceptor.Value
}

func (n *Node) onChunkData(now time.Duration, from string, m ChunkData) {
	for _, piece := range m.Pieces {
		delete(n.documents.flying, chunk.NameOf(piece))
		n.documents.store.Put(piece)
	}
	lacks := map[chunk.Name]bool{}
	for names := m.Lacks; len(names) >= chunk.NameBytes; names = names[chunk.NameBytes:] {
		lacks[chunk.Name(names)] = true
		delete(n.documents.flying, chunk.Name(names))
	}
	n.advance(now, func(f *fetch, missing []chunk.Name) (more bool) {
		if len(missing) < f.left {
			f.left, f.moved = len(missing), now
		}
		if f.sources[f.at] == from && slices.ContainsFunc(missing, func(name chunk.Name) bool { return lacks[name] }) {
			f.at++
		}
		return f.at < len(f.sources)
	})
}

// tickFetches turns to the next holder where an answer stays away, and gives up what nobody brought in time.
func (n *Node) tickFetches(now time.Duration) {
	n.advance(now, func(f *fetch, _ []chunk.Name) (more bool) {
		if now-f.moved >= pullAgain {
			f.at, f.moved = (f.at+1)%len(f.sources), now
		}
		return now-f.born < fetchFor
	})
	for name, since := range n.documents.flying {
		if now-since >= fetchFor {
			delete(n.documents.flying, name)
		}
	}
}

// advance hands on the messages whose documents are whole, and asks for more of the others where go on says so.
func (n *Node) advance(now time.Duration, goOn func(f *fetch, missing []chunk.Name) (more bool)) {
	fetches := n.documents.fetches
	n.documents.fetches = nil
	var ready []Received
	for _, f := range fetches {
		_, err := n.documents.store.Body(f.manifest)
		var missing *chunk.MissingError
		switch {
		case err == nil:
			ready = append(ready, f.waiting...)
		case errors.As(err, &missing) && goOn(f, missing.Names):
			n.documents.fetches = append(n.documents.fetches, f)
			n.pull(now, f, missing.Names)
		}
	}
	for _, r := range ready {
		n.recv(now, r)
	}
}
