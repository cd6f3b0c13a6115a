package register

import (
	"testing"

	"github.com/mallowbridge/mallowbridge/chunk"
)

func TestAcceptorNeverVotesForAManifest(t *testing.T) {
	a := &Acceptor{State{Disk: "d"}}
	v := &Value{Mark: 1, Parts: &chunk.Manifest{Size: 9000, Segments: make([]byte, chunk.NameBytes)}}
	if r, write := a.Accept(Accept{Disk: "d", Ballot: Ballot{N: 1}, Value: v}); r.OK || r.Disk != "" || write || a.Value != nil {
		t.Errorf("%+v, written: %v", r, write)
	}
}
