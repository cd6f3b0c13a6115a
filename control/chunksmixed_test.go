package control

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/chunk"
	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/register"
)

func TestOlderBuildGetsInlineDocuments(t *testing.T) {
	l := newMixedLab(t, 9)
	var seen valueForms
	l.sent = func(from, to string, msg any) bool {
		old := l.builds[to] != 0 || l.builds[from] != 0
		if old && isChunkMessage(msg) {
			t.Errorf("message %T, which an older build cannot decode or send, from %s to %s", msg, from, to)
		}
		for _, v := range valuesOf(msg) {
			seen.withManifest, seen.inline = count(t, old, v, seen.withManifest, seen.inline)
		}
		return false
	}
	l.run(6 * time.Second)
	for i := range 8 {
		next := document(1+i, 100*i)
		if a := l.put(fmt.Sprint("n", i), next); a.Err != nil {
			t.Fatal(a.Err)
		}
		l.untilApplied(next, applyWithin)
	}
	if seen.withManifest == 0 || seen.inline == 0 {
		t.Errorf("%d values were sent as manifests and %d inline: the test proves little", seen.withManifest, seen.inline)
	}
}

// newMixedLab returns a lab with the given number of nodes. Every other node runs the build before chunks; four nodes have disks.
func newMixedLab(t *testing.T, nodes int) *lab {
	t.Helper()
	l := newLab(t, 0)
	for i := range nodes {
		name := fmt.Sprint("n", i)
		l.order = append(l.order, name)
		if i < 4 {
			l.disks[name] = "disk-" + name
		}
		if i%2 == 1 {
			l.builds[name] = chunksBuild - 1
		}
	}
	for _, name := range l.order {
		l.boot(name, true)
	}
	return l
}

func isChunkMessage(msg any) bool {
	switch msg.(type) {
	case ChunkPull, ChunkData:
		return true
	}
	return false
}

// valueForms counts the values that were sent with manifests and those with inline documents.
type valueForms struct{ withManifest, inline int }

// valuesOf returns the register values in a message.
func valuesOf(msg any) []*register.Value {
	var values []*register.Value
	switch m := msg.(type) {
	case register.Accept:
		values = append(values, m.Value)
	case register.Promise:
		values = append(values, m.Value)
	case gossip.Update:
		for _, it := range m.Items {
			if v, is := it.Data.(*register.Value); is {
				values = append(values, v)
			}
		}
	}
	return values
}

func count(t *testing.T, old bool, v *register.Value, manifests, inline int) (newManifests, newInline int) {
	switch {
	case v == nil:
	case !v.Complete() && old, v.DocumentManifest != nil && len(v.Document) > 0, v.LogManifest != nil && len(v.EditLog)+len(v.OrderLog) > 0:
		t.Error("a manifest to or from an older build, or together with a document")
	case v.DocumentManifest != nil:
		return manifests + 1, inline
	case len(v.Document) > register.MaxInlineDocument:
		if !old {
			t.Error("an inline document between builds that can decode manifests")
		}
		return manifests, inline + 1
	}
	return manifests, inline
}

// TestModifiedChunkIsRejected checks that chunks that were modified in transit, and so are not those requested, are neither stored nor used
// in a document.
func TestModifiedChunkIsRejected(t *testing.T) {
	l := newLab(t, 8)
	l.run(6 * time.Second)
	modify := true
	l.sent = func(from, to string, msg any) bool {
		if data, is := msg.(ChunkData); is && modify {
			for _, piece := range data.Chunks {
				bad := bytes.Clone(piece)
				bad[len(bad)/2] ^= 1
				l.inFlight = append(l.inFlight, delivery{at: l.now + time.Millisecond, from: from, to: to, msg: ChunkData{Chunks: [][]byte{bad}}})
			}
			return true
		}
		return false
	}
	if a := l.put("n4", document(1, -1)); a.Err == nil {
		t.Error("a document with modified chunks was acknowledged")
	}
	modify = false
	next := document(2, 5)
	if a := l.put("n4", next); a.Err != nil {
		t.Fatal(a.Err)
	}
	l.untilApplied(next, applyWithin)
}

// chunkSourceSeeds is the number of seeds of TestNextChunkSourceIsAskedInTurn.
const chunkSourceSeeds = 16

// TestNextChunkSourceIsAskedInTurn checks that machines with a disk are asked first and that the node that announced the document is asked
// if they do not reply or do not have the chunks. It also guards against nodes that wait for each silent source again and again while the
// document spreads from node to node.
func TestNextChunkSourceIsAskedInTurn(t *testing.T) {
	for seed := range uint64(chunkSourceSeeds) {
		for _, how := range []string{"silent", "without chunks"} {
			t.Run(fmt.Sprint(how, "/", seed), func(t *testing.T) {
				t.Parallel()
				askDisksInVain(t, seed, how)
			})
		}
	}
}

// askDisksInVain puts a document while no machine with a disk gives chunks.
func askDisksInVain(t *testing.T, seed uint64, how string) {
	l := newSizedLab(t, fleetShape{nodes: 18, zones: 3, disks: 4, tolerate: 1}, seed)
	l.run(6 * time.Second)
	asked := 0
	l.sent = func(from, to string, msg any) bool {
		pull, is := msg.(ChunkPull)
		if !is || l.disks[to] == "" {
			return false
		}
		asked++
		if how == "without chunks" {
			l.inFlight = append(l.inFlight, delivery{at: l.now + time.Millisecond, from: to, to: from, msg: ChunkData{Missing: pull.Names}})
		}
		return true
	}
	next := document(1, -1)
	if a := l.put("n4", next); a.Err != nil {
		t.Fatal(a.Err)
	}
	t.Logf("applied after %v, disks asked %d times", l.untilApplied(next, applyWithin), asked)
	if asked == 0 {
		t.Error("the test proves nothing")
	}
}

// TestMessagesWaitingThroughPauseAreDropped checks that updates that waited for chunks through a pause do not let the node join: they were
// sent before the pause.
func TestMessagesWaitingThroughPauseAreDropped(t *testing.T) {
	for _, paused := range []bool{false, true} {
		l := newLoneNode()
		l.run(500 * time.Millisecond)
		v, store := value(7), chunk.NewStore(4, 4, 8<<20)
		v.Document = append(bytes.Repeat([]byte(" "), 2*register.MaxInlineDocument), v.Document...)
		stripped := v.Clone()
		stripped.Document, stripped.DocumentManifest = nil, store.Add(v.Document)
		for _, from := range []string{"a2", "a4"} {
			item := gossip.Item{Key: "c", Version: gossip.Version{Hi: 7, Lo: 1}, Data: stripped}
			l.step(Received{From: from, Build: chunksBuild, Msg: gossip.Update{Items: []gossip.Item{item}}})
		}
		if paused {
			l.now += 5 * time.Second
		}
		for range 4 {
			l.step(Received{From: "a2", Build: chunksBuild, Msg: data(store, stripped.DocumentManifest)})
		}
		if known := l.n.value != nil; known == paused || len(l.n.joining.neighboursRead) != map[bool]int{false: 2, true: 0}[paused] {
			t.Errorf("paused %v: value known %v, neighbours read %v", paused, known, l.n.joining.neighboursRead)
		}
	}
}

// data returns all chunks of a document, segments first.
func data(from *chunk.Store, m *chunk.Manifest) ChunkData {
	empty := chunk.NewStore(2, 2, 8<<20)
	var msg ChunkData
	for {
		_, err := empty.Document(m)
		var missing *chunk.MissingError
		if !errors.As(err, &missing) {
			return msg
		}
		for _, name := range missing.Names {
			empty.Put(from.Get(name))
			msg.Chunks = append(msg.Chunks, from.Get(name))
		}
	}
}
