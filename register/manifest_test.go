package register

import (
	"errors"
	"reflect"
	"testing"

	"github.com/mallowbridge/mallowbridge/chunk"
)

func TestAcceptorNeverVotesForAManifest(t *testing.T) {
	a := &Acceptor{State{Disk: "d"}}
	m := &chunk.Manifest{Size: 9000, Segments: make([]byte, chunk.NameBytes)}
	for _, v := range []*Value{{Mark: 1, Parts: m}, {Mark: 1, Orders: m}} {
		if r, write := a.Accept(Accept{Disk: "d", Ballot: Ballot{N: 1}, Value: v}); r.OK || r.Disk != "" || write || a.Value != nil {
			t.Errorf("%+v, written: %v", r, write)
		}
	}
}

func TestMemoryOfOrdersComesBack(t *testing.T) {
	for _, v := range []*Value{{}, {Edits: Changes("edits")}, {Recent: Recent("recent")}, {Edits: make(Changes, 4000), Recent: Recent("recent")}} {
		back := &Value{Edits: Changes("others"), Recent: Recent("others")}
		if err := back.SetMemory(v.Memory()); err != nil || !reflect.DeepEqual(back, v) {
			t.Errorf("%+v, %v, not %+v", back, err, v)
		}
	}
	var bad *MemoryError
	for _, raw := range [][]byte{nil, {200}, {5, 1, 2}} {
		if err := (&Value{}).SetMemory(raw); !errors.As(err, &bad) {
			t.Errorf("%v: %v", raw, err)
		}
	}
}
