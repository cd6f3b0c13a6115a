package control

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/register"
)

func TestOlderBuildGetsWholeDocuments(t *testing.T) {
	l := newLab(t, 0)
	for i := range 9 {
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
	thin, whole := 0, 0
	l.sent = func(from, to string, msg any) (lost bool) {
		old := l.builds[to] != 0 || l.builds[from] != 0
		switch x := msg.(type) {
		case ChunkPull, ChunkData:
			if old {
				t.Errorf("%T from %s to %s", msg, from, to)
			}
		case register.Accept:
			thin, whole = count(t, old, x.Value, thin, whole)
		case register.Promise:
			thin, whole = count(t, old, x.Value, thin, whole)
		case gossip.Update:
			for _, it := range x.Items {
				if v, is := it.Data.(*register.Value); is {
					thin, whole = count(t, old, v, thin, whole)
				}
			}
		}
		return false
	}
	l.run(6 * time.Second)
	for i := range 8 {
		next := document(1+i, 100*i)
		if a := l.put(fmt.Sprint("n", i), next); a.Err != nil {
			t.Fatal(a.Err)
		}
		l.obeyed(next, applyWithin)
	}
	if thin == 0 || whole == 0 {
		t.Errorf("%d values went as manifests and %d whole: the test proves little", thin, whole)
	}
}

func count(t *testing.T, old bool, v *register.Value, thin, whole int) (newThin, newWhole int) {
	switch {
	case v == nil:
	case !v.Whole() && old, v.Parts != nil && len(v.Body) > 0, v.Orders != nil && len(v.Edits)+len(v.Recent) > 0:
		t.Error("a manifest to or from an older build, or beside a document")
	case v.Parts != nil:
		return thin + 1, whole
	case len(v.Body) > register.WholeBytes:
		if !old {
			t.Error("a whole document between builds that know manifests")
		}
		return thin, whole + 1
	}
	return thin, whole
}

// Pieces that nobody asked for, or that were changed on the way, take no room and make no document.
func TestChangedChunkIsNotTaken(t *testing.T) {
	l := newLab(t, 8)
	l.run(6 * time.Second)
	spoil := true
	l.sent = func(from, to string, msg any) (lost bool) {
		if data, is := msg.(ChunkData); is && spoil {
			for _, piece := range data.Pieces {
				bad := bytes.Clone(piece)
				bad[len(bad)/2] ^= 1
				l.mail = append(l.mail, parcel{at: l.now + time.Millisecond, from: from, to: to, msg: ChunkData{Pieces: [][]byte{bad}}})
			}
			return true
		}
		return false
	}
	if a := l.put("n4", document(1, -1)); a.Err == nil {
		t.Error("a document of spoiled chunks was acknowledged")
	}
	spoil = false
	next := document(2, 5)
	if a := l.put("n4", next); a.Err != nil {
		t.Fatal(a.Err)
	}
	l.obeyed(next, applyWithin)
}

// The machines with a disk are asked first; where they don't answer, or lack the pieces, the one that told of the document is.
func TestNextHolderIsAskedInTurn(t *testing.T) {
	for _, how := range []string{"silent", "lacking"} {
		l := newLab(t, 18)
		l.run(6 * time.Second)
		asked := 0
		l.sent = func(from, to string, msg any) (lost bool) {
			pull, is := msg.(ChunkPull)
			if !is || l.disks[to] == "" {
				return false
			}
			asked++
			if how == "lacking" {
				l.mail = append(l.mail, parcel{at: l.now + time.Millisecond, from: to, to: from, msg: ChunkData{Lacks: pull.Names}})
			}
			return true
		}
		next := document(1, -1)
		if a := l.put("n4", next); a.Err != nil {
			t.Fatal(how, a.Err)
		}
		t.Logf("%s: in force after %v, disks asked %d times", how, l.obeyed(next, applyWithin), asked)
		if asked == 0 {
			t.Errorf("%s: the test proves nothing", how)
		}
	}
}
