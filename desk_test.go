package mallowbridge_test

import (
	"fmt"
	"testing"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/mallowbridge/mallowbridge"
)

func TestDecisionsThatNobodyReadsEndInAClosedChannel(t *testing.T) {
	r := router(t, replica("d1", "both", "a", 1))
	tb := &tomb.Tomb{}
	d := mallowbridge.NewDesk(tb, r, func() time.Duration { return settled }, time.Hour)
	decisions := d.Submit(mallowbridge.Arrive{Request: "q", Offer: "o", Kind: "k", Prefix: "sys/10", Tail: 5})
	first := <-decisions
	for i := range 200 {
		d.Tell(mallowbridge.Leave{Request: "q", Go: fmt.Sprint("n1.b.", 100+i)})
	}
	if first.Verdict != mallowbridge.Place {
		t.Fatal(first)
	}
	running := 0
	d.Look(func(r *mallowbridge.Router) { running = r.Running() })
	n := 0
	for range decisions {
		n++
	}
	if n != 64 || running != 0 {
		t.Errorf("%d decisions, then closed, with %d requests running", n, running)
	}
	tb.Kill(nil)
	if err := tb.Wait(); err != nil {
		t.Error(err)
	}
}
