package control

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/chunk"
)

// TestChunksOfLocalValuesAreAlwaysSent checks that a node sends the chunks of its own values no matter how many other documents it has
// stored since.
func TestChunksOfLocalValuesAreAlwaysSent(t *testing.T) {
	l := newLab(t, 8)
	l.run(6 * time.Second)
	if a := l.put("n4", document(1, -1)); a.Err != nil {
		t.Fatal(a.Err)
	}
	l.untilApplied(document(1, -1), applyWithin)
	for _, name := range []string{"n0", "n4", "n6"} {
		n := l.nodes[name]
		other := chunk.NewStore(4, 4, 8<<20)
		parts := other.Add(document(1, -1))
		for i := range 2 * keptDocuments {
			n.documents.store.Add(bytes.Repeat([]byte(fmt.Sprintf("another document, %d;", i)), 1000))
		}
		out := n.Step(l.now, Received{From: "n5", Build: chunksBuild, Msg: ChunkPull{Names: parts.Segments}})
		sent := 0
		for _, s := range out.Sends {
			if data, is := s.Msg.(ChunkData); is {
				sent += len(data.Chunks)
			}
		}
		if sent != len(parts.Segments)/chunk.NameBytes {
			t.Errorf("%s sent %d chunks of %d", name, sent, len(parts.Segments)/chunk.NameBytes)
		}
	}
}
