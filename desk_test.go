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

func TestADeskSleepsUntilTheRouterNeedsTheTime(t *testing.T) {
	r, tb := routed(routes(1, route("k", "/", all("a")))), &tomb.Tomb{}
	start := time.Now()
	d := mallowbridge.NewDesk(tb, r, func() time.Duration { return settled + time.Since(start) }, time.Hour)
	decisions := d.Submit(mallowbridge.Arrive{Request: "q", Host: "h.example", Path: "/x"})
	select {
	case x := <-decisions:
		if x.Verdict != mallowbridge.Deny || x.Late || time.Since(start) < 100*time.Millisecond {
			t.Errorf("%+v after %v", x, time.Since(start))
		}
	case <-time.After(5 * time.Second):
		t.Error("the desk slept on")
	}
	tb.Kill(nil)
	if err := tb.Wait(); err != nil {
		t.Error(err)
	}
}
