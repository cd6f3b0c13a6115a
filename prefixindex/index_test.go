package prefixindex

import (
	"testing"
	"time"
)

const ms = time.Millisecond

func parseBlocks(t *testing.T, header string) []Block {
	t.Helper()
	blocks, err := Parse("m", header)
	if err != nil {
		t.Fatal(err)
	}
	return blocks
}

func newTestIndex() *Index {
	x := New(Defaults())
	x.AddReplica(4000)
	x.AddReplica(4000)
	return x
}

func TestLookupAfterPrediction(t *testing.T) {
	for _, c := range []struct {
		name                 string
		event                func(x *Index, id uint64)
		lookupAt             time.Duration
		confirmed, predicted int
	}{
		{"lookup before the median latency, not confirmed", nil, 100 * ms, 0, 900},
		{"lookup near the 95th percentile, not confirmed", nil, 620 * ms, 0, 900},
		{"lookup just before the TTL ends", nil, 1999 * ms, 0, 900},
		{"lookup when the TTL ends", nil, 2000 * ms, 0, 0},
		{"lookup after the TTL", nil, 2500 * ms, 0, 0},
		{"confirmed, lookup before the TTL ends", func(x *Index, id uint64) { x.Confirm(50*ms, 0, id) }, 100 * ms, 900, 0},
		{"confirmed, lookup after the TTL", func(x *Index, id uint64) { x.Confirm(620*ms, 0, id) }, 3000 * ms, 900, 0},
		{"attempt ended, lookup before the TTL ends", func(x *Index, id uint64) { x.EndAttempt(id) }, 1999 * ms, 0, 900},
		{"attempt ended, lookup when the TTL ends", func(x *Index, id uint64) { x.EndAttempt(id); x.Tick(2000 * ms) }, 2000 * ms, 0, 0},
		{"prefill failed, response to another attempt confirms nothing", func(x *Index, id uint64) { x.EndAttempt(id); x.Confirm(500*ms, 0, id+1) }, 2100 * ms, 0, 0},
		{"attempt ended, its late response confirms nothing", func(x *Index, id uint64) { x.EndAttempt(id); x.Confirm(500*ms, 0, id) }, 2100 * ms, 0, 0},
		{"response of another replica confirms nothing", func(x *Index, id uint64) { x.Confirm(500*ms, 1, id) }, 2100 * ms, 0, 0},
		{"replica restarted", func(x *Index, _ uint64) { x.Reset(0, 0) }, 100 * ms, 0, 0},
		{"replica restarted after its response", func(x *Index, id uint64) { x.Confirm(50*ms, 0, id); x.Reset(0, 0) }, 100 * ms, 0, 0},
		{"response after the TTL still confirms", func(x *Index, id uint64) { x.Tick(2100 * ms); x.Confirm(2200*ms, 0, id) }, 2300 * ms, 900, 0},
	} {
		x := newTestIndex()
		blocks := parseBlocks(t, "sys/300, city/600")
		x.Predict(0, 0, 7, blocks)
		if c.event != nil {
			c.event(x, 7)
		}
		if confirmed, predicted := x.Lookup(c.lookupAt, 0, blocks); confirmed != c.confirmed || predicted != c.predicted {
			t.Errorf("%s: confirmed %d, predicted %d; want %d, %d", c.name, confirmed, predicted, c.confirmed, c.predicted)
		}
		if confirmed, predicted := x.Lookup(c.lookupAt, 1, blocks); confirmed+predicted != 0 {
			t.Errorf("%s: the other replica has confirmed %d, predicted %d", c.name, confirmed, predicted)
		}
	}
}

func TestPredictionsOfOneBlockAreIndependent(t *testing.T) {
	x := newTestIndex()
	blocks := parseBlocks(t, "sys/300")
	x.Predict(0, 0, 1, blocks)
	x.Predict(1000*ms, 0, 2, blocks)
	x.Tick(2000 * ms)
	if _, predicted := x.Lookup(2500*ms, 0, blocks); predicted != 300 {
		t.Error("the second prediction expired with the first")
	}
	if _, predicted := x.Lookup(3000*ms, 0, blocks); predicted != 0 {
		t.Error("the second prediction is trusted after its own TTL")
	}
	x.Predict(4000*ms, 0, 3, blocks)
	x.Reset(0, 3)
	if _, ok := x.Confirm(4100*ms, 0, 3); !ok {
		t.Error("the spared attempt was not confirmed after a reset")
	}
}

func TestPrefixOrderMatters(t *testing.T) {
	x := newTestIndex()
	x.Predict(0, 0, 1, parseBlocks(t, "a/100, b/100"))
	x.Confirm(10*ms, 0, 1)
	x.Predict(20*ms, 0, 2, parseBlocks(t, "a/100, b/100, c/100"))
	if confirmed, predicted := x.Lookup(30*ms, 0, parseBlocks(t, "a/100, b/100, c/100, d/100")); confirmed != 200 || predicted != 100 {
		t.Errorf("confirmed %d, predicted %d, want 200 and 100", confirmed, predicted)
	}
	if confirmed, predicted := x.Lookup(30*ms, 0, parseBlocks(t, "b/100, a/100")); confirmed+predicted != 0 {
		t.Errorf("blocks in another order counted: confirmed %d, predicted %d", confirmed, predicted)
	}
}

func TestInferredEviction(t *testing.T) {
	x := newTestIndex()
	a, b := parseBlocks(t, "a/3000"), parseBlocks(t, "b/3000")
	x.Predict(0, 0, 1, a)
	x.Confirm(10*ms, 0, 1)
	x.Predict(20*ms, 0, 2, b)
	x.Confirm(30*ms, 0, 2)
	if confirmed, _ := x.Lookup(40*ms, 0, a); confirmed != 0 {
		t.Error("more blocks are confirmed than the cache holds")
	}
	x.Predict(50*ms, 0, 3, b)
	x.DropBlocks(0, b)
	if confirmed, predicted := x.Lookup(60*ms, 0, b); confirmed != 0 || predicted != 3000 {
		t.Errorf("confirmed %d, predicted %d: an eviction must not drop a newer prediction", confirmed, predicted)
	}
}

func TestPredictionsAreIgnoredWhileResponsesAreOverdue(t *testing.T) {
	x := newTestIndex()
	blocks := parseBlocks(t, "a/100")
	x.Predict(0, 0, 1, blocks)
	x.Predict(2900*ms, 0, 2, blocks)
	if _, predicted := x.Lookup(3000*ms, 0, blocks); predicted != 100 {
		t.Error("predictions are ignored too early")
	}
	if _, predicted := x.Lookup(3001*ms, 0, blocks); predicted != 0 {
		t.Error("a prediction is trusted although the replica's response is overdue")
	}
	x.Confirm(3100*ms, 0, 2)
	x.Predict(3200*ms, 0, 3, parseBlocks(t, "z/50"))
	if _, predicted := x.Lookup(3300*ms, 0, parseBlocks(t, "z/50")); predicted != 50 {
		t.Error("predictions are still ignored after a response")
	}
}

func TestTTLFollowsLatencySlowlyUpToItsMaximum(t *testing.T) {
	x := newTestIndex()
	id, now := uint64(0), time.Duration(0)
	run := func(secs int, latency time.Duration) {
		for range secs * 50 {
			id++
			x.Predict(now, 0, id, parseBlocks(t, "a/1"))
			x.Confirm(now+latency, 0, id)
			now += 20 * ms
			was := x.TTL()
			x.Tick(now)
			if d := x.TTL() - was; d > was/20+1 || -d > was/20+1 {
				t.Fatalf("the TTL moved by %s from %s in one step", d, was)
			}
			if x.TTL() > 2000*ms {
				t.Fatalf("the TTL is %s, above its maximum", x.TTL())
			}
		}
	}
	if x.TTL() != 2000*ms {
		t.Errorf("the initial TTL is %s", x.TTL())
	}
	run(60, 150*ms)
	if x.TTL() != 500*ms {
		t.Errorf("the TTL is %s for latencies of 150 ms and a margin of 350 ms", x.TTL())
	}
	run(60, 1150*ms)
	if x.TTL() != 1500*ms {
		t.Errorf("the TTL is %s for latencies of 1.15 s and a margin of 350 ms", x.TTL())
	}
	run(60, 9000*ms)
	if x.TTL() != 2000*ms {
		t.Errorf("the TTL is %s, want the maximum of 2 s", x.TTL())
	}
	x.SetMaxTTL(1200 * ms)
	if x.TTL() != 1200*ms {
		t.Errorf("the TTL is %s, want the maximum of 1.2 s", x.TTL())
	}
}

func TestExpiryCounters(t *testing.T) {
	x := newTestIndex()
	blocks := parseBlocks(t, "a/100")
	for id := range uint64(100) {
		x.Predict(0, 0, id, blocks)
		if id < 90 {
			x.Confirm(100*ms, 0, id)
		}
	}
	x.Tick(2100 * ms)
	x.Confirm(2200*ms, 0, 90)
	x.EndAttempt(91)
	x.Tick(11 * time.Second)
	if x.EarlyExpiries != 1 || x.StaleExpiries != 9 || x.Confirmed != 91 {
		t.Errorf("early %d, stale %d, confirmed %d; want 1, 9, 91", x.EarlyExpiries, x.StaleExpiries, x.Confirmed)
	}
	if early, stale := x.Alerts(); early || !stale {
		t.Errorf("alerts: early %v, stale %v; want only stale", early, stale)
	}
}

func TestAlertsRiseAndClear(t *testing.T) {
	x := newTestIndex()
	blocks := parseBlocks(t, "a/100")
	id, now := uint64(0), time.Duration(0)
	serve := func(answered bool, until time.Duration) {
		for ; now < until; now += 100 * ms {
			id++
			x.Predict(now, 0, id, blocks)
			if answered {
				x.Confirm(now+50*ms, 0, id)
			} else {
				x.EndAttempt(id)
			}
			x.Tick(now)
		}
	}
	serve(true, time.Hour)
	serve(false, time.Hour+20*time.Second)
	if _, stale := x.Alerts(); !stale {
		t.Error("200 unanswered attempts raise no alert after an hour of normal operation")
	}
	serve(true, time.Hour+100*time.Second)
	if early, stale := x.Alerts(); early || stale {
		t.Error("the alert does not clear")
	}
}
