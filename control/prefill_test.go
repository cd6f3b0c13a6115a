package control

import (
	"slices"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/router"
)

func TestPrefillsAreSentToLiveMembersOnce(t *testing.T) {
	l := newLab(t, 6)
	l.run(5 * time.Second)
	row := router.Prefill{Replica: "i1", Tokens: 9000}
	out := l.nodes["n4"].Step(l.now, Prefills{Rows: []router.Prefill{row}})
	var to []string
	for _, s := range out.Sends {
		if _, is := s.Msg.(Prefills); is {
			to = append(to, s.To)
		}
	}
	slices.Sort(to)
	if !slices.Equal(to, []string{"n0", "n1", "n2", "n3", "n5"}) {
		t.Errorf("sent to %v", to)
	}
	out = l.nodes["n5"].Step(l.now, Received{From: "n4", Msg: Prefills{Rows: []router.Prefill{row}}})
	if len(out.Events) != 1 || out.Events[0] != row {
		t.Errorf("a received message caused the events %+v", out.Events)
	}
	for _, s := range out.Sends {
		if _, is := s.Msg.(Prefills); is {
			t.Error("a received message was forwarded")
		}
	}
}
