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
	for _, v := range []*Value{{Version: 1, DocumentManifest: m}, {Version: 1, LogManifest: m}} {
		if r, write := a.Accept(Accept{Disk: "d", Ballot: Ballot{N: 1}, Value: v}); r.OK || r.Disk != "" || write || a.Value != nil {
			t.Errorf("%+v, written: %v", r, write)
		}
	}
}

func TestOrderLogsRoundTrip(t *testing.T) {
	for _, v := range []*Value{{}, {EditLog: EditLog("edits")}, {OrderLog: OrderLog("recent")}, {EditLog: make(EditLog, 4000), OrderLog: OrderLog("recent")}} {
		back := &Value{EditLog: EditLog("others"), OrderLog: OrderLog("others")}
		if err := back.DecodeOrderLogs(v.EncodeOrderLogs()); err != nil || !reflect.DeepEqual(back, v) {
			t.Errorf("%+v, %v, not %+v", back, err, v)
		}
	}
	var bad *OrderLogError
	for _, raw := range [][]byte{nil, {200}, {5, 1, 2}} {
		if err := (&Value{}).DecodeOrderLogs(raw); !errors.As(err, &bad) {
			t.Errorf("%v was decoded: %v", raw, err)
		}
	}
}
