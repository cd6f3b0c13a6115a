package router_test

import (
	"fmt"
	"testing"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/mallowbridge/mallowbridge/router"
)

// TestUnreadDecisionsCloseTheChannel checks that a request whose decisions are not read is ended, and its channel closed, once the channel is
// full.
func TestUnreadDecisionsCloseTheChannel(t *testing.T) {
	r := newRouter(t, replica("d1", "both", "a", 1))
	tb := &tomb.Tomb{}
	loop := router.NewLoop(tb, r, func() time.Duration { return convergeTime }, time.Hour)
	decisions := loop.Submit(router.Arrival{Request: "q", Service: "o", Class: "k", Prefix: "sys/10", TailTokens: 5})
	first := <-decisions
	for i := range 200 {
		loop.Notify(router.ReadyToSend{Request: "q", AttemptID: fmt.Sprint("n1.b.", 100+i)})
	}
	if first.Verdict != router.Place {
		t.Fatal(first)
	}
	running := 0
	loop.Inspect(func(r *router.Router) { running = r.ActiveRequests() })
	n := 0
	for range decisions {
		n++
	}
	if n != 64 || running != 0 {
		t.Errorf("%d decisions before the channel was closed, %d requests still running", n, running)
	}
	tb.Kill(nil)
	if err := tb.Wait(); err != nil {
		t.Error(err)
	}
}

func TestLoopSleepsUntilRouterIsDue(t *testing.T) {
	r, tb := routerWith(routes(1, route("k", "/", entireTraffic("a")))), &tomb.Tomb{}
	start := time.Now()
	loop := router.NewLoop(tb, r, func() time.Duration { return convergeTime + time.Since(start) }, time.Hour)
	decisions := loop.Submit(router.Arrival{Request: "q", Host: "h.example", Path: "/x"})
	select {
	case first := <-decisions:
		if first.Verdict != router.Reject || time.Since(start) < 900*time.Millisecond {
			t.Errorf("%+v after %v", first, time.Since(start))
		}
	case <-time.After(5 * time.Second):
		t.Error("the loop did not wake for the router's next tick")
	}
	tb.Kill(nil)
	if err := tb.Wait(); err != nil {
		t.Error(err)
	}
}

func TestRouterLoopExchangesLongPrompts(t *testing.T) {
	r, tb := routerWith(routes(1, route("k", "/", entireTraffic("a"))), instance("i1", "a"), instance("i2", "a")), &tomb.Tomb{}
	loop := router.NewLoop(tb, r, func() time.Duration { return convergeTime }, time.Hour)
	announced := make(chan router.Prefill, 8)
	loop.OnPrefill(func(p router.Prefill) { announced <- p })
	ask := func(id string, tokens int) string {
		return (<-loop.Submit(router.Arrival{Request: id, Host: "h.example", Path: "/x", PromptTokens: tokens})).Replica
	}
	ask("short", 100)
	first := ask("long", 20000)
	loop.Inspect(func(*router.Router) {})
	if len(announced) != 1 {
		t.Fatalf("%d prompts were announced, not 1", len(announced))
	}
	if p := <-announced; p.Replica != first || p.Tokens != 20000 {
		t.Errorf("announced %+v for a prompt at %s", p, first)
	}
	other := map[string]string{"i1": "i2", "i2": "i1"}[first]
	loop.NotifyIfIdle(router.Prefill{Replica: other, Tokens: 60000})
	loop.NotifyIfIdle(router.Prefill{Replica: "unknown", Tokens: 60000})
	if at := ask("after", 15000); at != first {
		t.Errorf("placed at %s, to which another router sent a long prompt", at)
	}
	tb.Kill(nil)
	if err := tb.Wait(); err != nil {
		t.Error(err)
	}
}

// TestSubmitEndsAfterTheLoopEnded checks that a request which is submitted while the loop ends, or after, does not wait forever for decisions.
func TestSubmitEndsAfterTheLoopEnded(t *testing.T) {
	for range 50 {
		tb := &tomb.Tomb{}
		loop := router.NewLoop(tb, router.New(router.Defaults("n1", "b", "a")), func() time.Duration { return 0 }, time.Hour)
		tb.Kill(nil)
		_ = tb.Wait()
		select {
		case <-loop.Submit(router.Arrival{Request: "q"}):
		case <-time.After(time.Second):
			t.Fatal("the request still waits after the loop has ended")
		}
	}
}
