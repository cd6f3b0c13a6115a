package prefixindex

import (
	"testing"
	"time"
)

const ms = time.Millisecond

func parts(t *testing.T, header string) []Block {
	t.Helper()
	ps, err := Parse("m", header)
	if err != nil {
		t.Fatal(err)
	}
	return ps
}

func fresh() *Index {
	x := New(Defaults())
	x.AddReplica(4000)
	x.AddReplica(4000)
	return x
}

func TestPairedRequests(t *testing.T) {
	for _, c := range []struct {
		name       string
		then       func(x *Index, id uint64)
		gap        time.Duration
		conf, pred int
	}{
		{"gap below p50, not answered yet", nil, 100 * ms, 0, 900},
		{"gap near p95, not answered yet", nil, 620 * ms, 0, 900},
		{"gap just under T", nil, 1999 * ms, 0, 900},
		{"gap of T", nil, 2000 * ms, 0, 0},
		{"gap beyond T", nil, 2500 * ms, 0, 0},
		{"answered, below p50", func(x *Index, id uint64) { x.Confirm(50*ms, 0, id) }, 100 * ms, 900, 0},
		{"answered, beyond T", func(x *Index, id uint64) { x.Confirm(620*ms, 0, id) }, 3000 * ms, 900, 0},
		{"cancelled, trusted till T", func(x *Index, id uint64) { x.EndAttempt(id) }, 1999 * ms, 0, 900},
		{"cancelled, gone at T", func(x *Index, id uint64) { x.EndAttempt(id); x.Tick(2000 * ms) }, 2000 * ms, 0, 0},
		{"prefill failed, answer of another go proves nothing", func(x *Index, id uint64) { x.EndAttempt(id); x.Confirm(500*ms, 0, id+1) }, 2100 * ms, 0, 0},
		{"cancelled, its late answer proves nothing", func(x *Index, id uint64) { x.EndAttempt(id); x.Confirm(500*ms, 0, id) }, 2100 * ms, 0, 0},
		{"answer of another replica proves nothing", func(x *Index, id uint64) { x.Confirm(500*ms, 1, id) }, 2100 * ms, 0, 0},
		{"replica restarted", func(x *Index, _ uint64) { x.Reset(0, 0) }, 100 * ms, 0, 0},
		{"replica restarted after its answer", func(x *Index, id uint64) { x.Confirm(50*ms, 0, id); x.Reset(0, 0) }, 100 * ms, 0, 0},
		{"answer after T still confirms", func(x *Index, id uint64) { x.Tick(2100 * ms); x.Confirm(2200*ms, 0, id) }, 2300 * ms, 900, 0},
	} {
		x := fresh()
		ps := parts(t, "sys/300, city/600")
		x.Predict(0, 0, 7, ps)
		if c.then != nil {
			c.then(x, 7)
		}
		if conf, pred := x.Lookup(c.gap, 0, ps); conf != c.conf || pred != c.pred {
			t.Errorf("%s: confirmed %d, predicted %d; want %d, %d", c.name, conf, pred, c.conf, c.pred)
		}
		if conf, pred := x.Lookup(c.gap, 1, ps); conf+pred != 0 {
			t.Errorf("%s: the other replica holds %d, %d", c.name, conf, pred)
		}
	}
}

func TestPredictionsOfOnePartAreIndependent(t *testing.T) {
	x := fresh()
	ps := parts(t, "sys/300")
	x.Predict(0, 0, 1, ps)
	x.Predict(1000*ms, 0, 2, ps)
	x.Tick(2000 * ms)
	if _, pred := x.Lookup(2500*ms, 0, ps); pred != 300 {
		t.Error("the second prediction went with the first")
	}
	if _, pred := x.Lookup(3000*ms, 0, ps); pred != 0 {
		t.Error("the second prediction outlived its own time")
	}
	x.Predict(4000*ms, 0, 3, ps)
	x.Reset(0, 3)
	if _, ok := x.Confirm(4100*ms, 0, 3); !ok {
		t.Error("a restarted replica's own first answer did not count")
	}
}

func TestPrefixOrderCounts(t *testing.T) {
	x := fresh()
	x.Predict(0, 0, 1, parts(t, "a/100, b/100"))
	x.Confirm(10*ms, 0, 1)
	x.Predict(20*ms, 0, 2, parts(t, "a/100, b/100, c/100"))
	if conf, pred := x.Lookup(30*ms, 0, parts(t, "a/100, b/100, c/100, d/100")); conf != 200 || pred != 100 {
		t.Errorf("confirmed %d, predicted %d", conf, pred)
	}
	if conf, pred := x.Lookup(30*ms, 0, parts(t, "b/100, a/100")); conf+pred != 0 {
		t.Errorf("a part in another place counted: %d, %d", conf, pred)
	}
}

func TestInferredEviction(t *testing.T) {
	x := fresh()
	a, b := parts(t, "a/3000"), parts(t, "b/3000")
	x.Predict(0, 0, 1, a)
	x.Confirm(10*ms, 0, 1)
	x.Predict(20*ms, 0, 2, b)
	x.Confirm(30*ms, 0, 2)
	if conf, _ := x.Lookup(40*ms, 0, a); conf != 0 {
		t.Error("more is held than the replica keeps")
	}
	x.Predict(50*ms, 0, 3, b)
	x.DropBlocks(0, b)
	if conf, pred := x.Lookup(60*ms, 0, b); conf != 0 || pred != 3000 {
		t.Errorf("confirmed %d, predicted %d: an eviction must leave a newer prediction alone", conf, pred)
	}
}

func TestPauseWhenConfirmationsAreOverdue(t *testing.T) {
	x := fresh()
	ps := parts(t, "a/100")
	x.Predict(0, 0, 1, ps)
	x.Predict(2900*ms, 0, 2, ps)
	if _, pred := x.Lookup(3000*ms, 0, ps); pred != 100 {
		t.Error("paused too early")
	}
	if _, pred := x.Lookup(3001*ms, 0, ps); pred != 0 {
		t.Error("a silent replica's prediction is trusted")
	}
	x.Confirm(3100*ms, 0, 2)
	x.Predict(3200*ms, 0, 3, parts(t, "z/50"))
	if _, pred := x.Lookup(3300*ms, 0, parts(t, "z/50")); pred != 50 {
		t.Error("an answer did not end the pause")
	}
}

func TestTTLFollowsLatencySlowlyAndUnderItsCap(t *testing.T) {
	x := fresh()
	id, now := uint64(0), time.Duration(0)
	run := func(secs int, latency time.Duration) {
		for range secs * 50 {
			id++
			x.Predict(now, 0, id, parts(t, "a/1"))
			x.Confirm(now+latency, 0, id)
			now += 20 * ms
			was := x.TTL()
			x.Tick(now)
			if d := x.TTL() - was; d > was/20+1 || -d > was/20+1 {
				t.Fatalf("T moved by %s from %s in one step", d, was)
			}
			if x.TTL() > 2000*ms {
				t.Fatalf("T is %s, over its cap", x.TTL())
			}
		}
	}
	if x.TTL() != 2000*ms {
		t.Errorf("T starts at %s", x.TTL())
	}
	run(60, 150*ms)
	if x.TTL() != 500*ms {
		t.Errorf("T is %s for answers after 150 ms and 350 ms slack", x.TTL())
	}
	run(60, 1150*ms)
	if x.TTL() != 1500*ms {
		t.Errorf("T is %s for answers after 1.15 s and 350 ms slack", x.TTL())
	}
	run(60, 9000*ms)
	if x.TTL() != 2000*ms {
		t.Errorf("T is %s under a cap of 2 s", x.TTL())
	}
	x.SetMaxTTL(1200 * ms)
	if x.TTL() != 1200*ms {
		t.Errorf("T is %s under a cap of 1.2 s", x.TTL())
	}
}

func TestExpiryCounters(t *testing.T) {
	x := fresh()
	ps := parts(t, "a/100")
	for id := range uint64(100) {
		x.Predict(0, 0, id, ps)
		if id < 90 {
			x.Confirm(100*ms, 0, id)
		}
	}
	x.Tick(2100 * ms)
	x.Confirm(2200*ms, 0, 90)
	x.EndAttempt(91)
	x.Tick(11 * time.Second)
	if x.EarlyExpiries != 1 || x.StaleExpiries != 9 || x.Confirmed != 91 {
		t.Errorf("early %d, stale %d, confirmed %d", x.EarlyExpiries, x.StaleExpiries, x.Confirmed)
	}
	if early, stale := x.Alerts(); early || !stale {
		t.Errorf("alerts: early %v, stale %v", early, stale)
	}
}

func TestAlertsRiseAndClear(t *testing.T) {
	x := fresh()
	ps := parts(t, "a/100")
	id, now := uint64(0), time.Duration(0)
	serve := func(answered bool, until time.Duration) {
		for ; now < until; now += 100 * ms {
			id++
			x.Predict(now, 0, id, ps)
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
		t.Error("200 gos that were never answered raise no alert after a good hour")
	}
	serve(true, time.Hour+100*time.Second)
	if early, stale := x.Alerts(); early || stale {
		t.Error("the alert does not clear")
	}
}
